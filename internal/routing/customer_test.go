package routing

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"foxhall/internal/limit"
)

// Guards against configurations in which the customer of a call is ambiguous or a quota is invalid,
// so that calls are attributed to, or counted against, the wrong customer.
func TestInvalidCustomersAreRejected(t *testing.T) {
	shared := DigestKey("shared")
	for _, c := range []struct {
		list      []Customer
		wantError string
	}{
		{[]Customer{{Name: ""}}, "name is missing"},
		{[]Customer{{Name: "a"}, {Name: "a"}}, "listed twice"},
		{[]Customer{{Name: "a", Keys: []KeyDigest{shared}}, {Name: "b", Keys: []KeyDigest{shared}}}, "a and b share the key"},
		{[]Customer{{Name: "a", Quota: limit.Quota{Rate: -1}}}, "rate -1"},
		{[]Customer{{Name: "a", Quota: limit.Quota{Rate: math.NaN()}}}, "rate NaN"},
		{[]Customer{{Name: "a", Quota: limit.Quota{Burst: math.Inf(1)}}}, "burst +Inf"},
	} {
		is := is.New(t)
		_, err := NewCustomers(c.list)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), c.wantError))
		is.True(!strings.Contains(err.Error(), "shared")) // errors must not contain a key
	}
}

func TestCustomersAreFoundByTheirKeys(t *testing.T) {
	is := is.New(t)
	const customers = 10_000
	list := make([]Customer, customers)
	for i := range list {
		list[i] = Customer{Name: fmt.Sprint(i), Keys: []KeyDigest{DigestKey(fmt.Sprint("a", i)), DigestKey(fmt.Sprint("b", i))}}
	}
	list[0].Quota = limit.Quota{Rate: 1e12}
	c, err := NewCustomers(list)
	is.NoErr(err)
	is.Equal(c.ByKey(DigestKey("b9999")).Name, "9999")
	is.True(c.ByKey(DigestKey("b10000")) == nil)
}
