package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"math"

	"github.com/pkg/errors"

	"foxhall/internal/limit"
)

// KeyDigest is the SHA-256 digest of an API key; the key itself is not stored. Digests are looked up
// in a hash table, so that the time of a look-up does not reveal how much of a guessed key is right.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the first 4 bytes of the digest in hexadecimal, enough to distinguish keys in errors.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:4]) }

// Customer is a client account. Calls with one of its keys belong to it.
type Customer struct {
	Name string
	Keys []KeyDigest
	// Priority overrides the route's priority; nil for the route's.
	Priority *int
	Quota    limit.Quota
}

// validate returns an error if the customer's name or quota is invalid.
func (c *Customer) validate() error {
	switch {
	case c.Name == "":
		return errors.New("customer: name is missing")
	case !isFiniteNonNegative(c.Quota.Rate):
		return errors.Errorf("customer %s: expected a finite rate of 0 or more, found rate %v", c.Name, c.Quota.Rate)
	case !isFiniteNonNegative(c.Quota.Burst):
		return errors.Errorf("customer %s: expected a finite burst of 0 or more, found burst %v", c.Name, c.Quota.Burst)
	default:
		return nil
	}
}

func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Customers finds customers by their keys. It is immutable.
type Customers struct {
	list  []Customer
	byKey map[KeyDigest]*Customer
}

// NewCustomers returns the customers of one configuration version. Two customers with the same name
// or the same key are an error: the customer of a call would be ambiguous.
func NewCustomers(list []Customer) (*Customers, error) {
	c := &Customers{list: list, byKey: map[KeyDigest]*Customer{}}
	names := map[string]bool{}
	for i := range list {
		customer := &list[i]
		if err := customer.validate(); err != nil {
			return nil, err
		}
		if names[customer.Name] {
			return nil, errors.Errorf("customer %s: listed twice", customer.Name)
		}
		names[customer.Name] = true
		for _, key := range customer.Keys {
			if other := c.byKey[key]; other != nil && other != customer {
				return nil, errors.Errorf("customers %s and %s share the key with digest %s", other.Name, customer.Name, key)
			}
			c.byKey[key] = customer
		}
	}
	return c, nil
}

// Quotas returns the quotas of the customers that have one, by customer name.
func (c *Customers) Quotas() map[string]limit.Quota {
	quotas := map[string]limit.Quota{}
	if c == nil {
		return quotas
	}
	for i := range c.list {
		if q := c.list[i].Quota; q.Limited() {
			quotas[c.list[i].Name] = q
		}
	}
	return quotas
}

// ByKey returns the customer with the key, or nil.
func (c *Customers) ByKey(key KeyDigest) *Customer { return c.byKey[key] }
