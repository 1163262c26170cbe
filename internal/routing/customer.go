package routing

import (
	"crypto/sha256"
	"encoding/hex"
	"math"

	"github.com/pkg/errors"

	"foxhall/internal/limit"
)

// KeyDigest stands for an API key, which is kept nowhere itself. Digests are looked up in
// a hash table: the time that takes tells nothing of how much of a key is right.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the beginning of the digest, enough to tell keys apart in errors.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:4]) }

// Customer is a client account: calls with one of its keys are its own.
type Customer struct {
	Name string
	Keys []KeyDigest
	// Priority goes before that of the route; nil where the route's counts.
	Priority *int
	Quota    limit.Quota
}

// check returns why the customer can't be used, if it can't.
func (c *Customer) validate() error {
	switch {
	case c.Name == "":
		return errors.New("customer: name is missing")
	case !isFiniteNonNegative(c.Quota.Rate):
		return errors.Errorf("customer %s: rate %v is no limit", c.Name, c.Quota.Rate)
	case !isFiniteNonNegative(c.Quota.Burst):
		return errors.Errorf("customer %s: burst %v is no limit", c.Name, c.Quota.Burst)
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

// NewCustomers returns the customers of one version. Two of one name, or with one key,
// are an error: it could not be told whose a call is.
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

// Quotas returns the limits of those customers that have one, by name.
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

// ByKey returns the customer that holds the key, or nil.
func (c *Customers) ByKey(key KeyDigest) *Customer { return c.byKey[key] }
