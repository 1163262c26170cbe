package gateway

import (
	"testing"

	"github.com/matryer/is"

	"foxhall/internal/routing"
)

func key(k string) *routing.KeyDigest {
	digest := routing.DigestKey(k)
	return &digest
}

func customersOf(t *testing.T, list ...routing.Customer) *routing.Customers {
	t.Helper()
	c, err := routing.NewCustomers(list)
	is.New(t).NoErr(err)
	return c
}

// A call runs for a caller whose key nobody holds, or for another customer than its key's.
func TestCallsRunOnlyForTheHoldersOfTheirKeys(t *testing.T) {
	first := 0
	customers := customersOf(t,
		routing.Customer{Name: "one", Keys: []routing.KeyDigest{*key("k1")}, Priority: &first},
		routing.Customer{Name: "two", Keys: []routing.KeyDigest{*key("k2"), *key("k3")}})
	for _, c := range []struct {
		name     string
		key      *routing.KeyDigest
		public   bool
		outcome  Outcome
		customer string
		priority int
	}{
		{"a key in force", key("k1"), false, Answered, "one", 0},
		{"a second key", key("k3"), false, Answered, "two", 4},
		{"a key that nobody holds", key("gone"), false, NotRun, "", 0},
		{"no key", nil, false, NotRun, "", 0},
		{"no key where none is needed", nil, true, Answered, "", 4},
		{"a key where none is needed", key("k2"), true, Answered, "two", 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			route := routing.Route{Repeat: routing.Once, Attempts: 1, Priority: 4, Public: c.public}
			out := serveFor(t, customers, Settings{}, route, Call{ID: "r", Key: c.key}, nil, good("done"))
			is.Equal(out.result.Outcome, c.outcome)
			if c.outcome == NotRun {
				is.Equal(out.result.Reason, KeyUnknown)
				is.Equal(len(out.sent), 0)
				return
			}
			is.Equal(out.sent[0].Customer, c.customer)
			is.Equal(out.sent[0].Priority, c.priority)
		})
	}
}

// A turn of one customer is kept, and its tokens counted, under another's name.
func TestTurnsAreReservedAndKeptForTheirCustomer(t *testing.T) {
	is := is.New(t)
	customers := customersOf(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*key("k1")}})
	call := turnCall()
	call.Key = key("k1")
	turns := &fakeTurns{}
	out := serveFor(t, customers, Settings{}, turnRoute, call, turns, streams(nil, event(1), event(2)))
	is.Equal(out.result.Outcome, Answered)
	is.Equal(turns.endings[0].Customer, "one")
}
