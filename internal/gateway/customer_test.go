package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/httpconn"
	"foxhall/internal/limit"
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
			route := routing.Route{Kind: routing.Once, Attempts: 1, Priority: 4, Public: c.public}
			out := serveFor(t, customers, Settings{}, route, Call{ID: "r", Key: c.key}, nil, good("done"))
			is.Equal(out.result.Outcome, c.outcome)
			if c.outcome == NotRun {
				is.Equal(out.result.Reason, UnknownKey)
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

// fakeQuotas answers what it is told to.
type fakeQuotas struct {
	verdict  limit.Verdict
	returned []string
}

func (f *fakeQuotas) Admit(limit.Call, time.Time) (limit.Verdict, time.Duration) {
	return f.verdict, 300 * time.Millisecond
}

func (f *fakeQuotas) Return(customer string, _, _ time.Time) {
	f.returned = append(f.returned, customer)
}

// A call beyond its customer's quota runs, or waits for its end before it is refused.
func TestCallsBeyondTheQuotaAreRefusedAtOnce(t *testing.T) {
	customers := customersOf(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*key("k1")}})
	for verdict, reason := range map[limit.Verdict]Reason{limit.OverQuota: OverQuota, limit.Undetermined: QuotaUnknown} {
		is := is.New(t)
		quotas, turns := &fakeQuotas{verdict: verdict}, &fakeTurns{}
		call := turnCall()
		call.Key = key("k1")
		out := serveFor(t, customers, Settings{Quotas: quotas}, turnRoute, call, turns, good("never"))
		is.Equal(out.result.Outcome, NotRun)
		is.Equal(out.result.Reason, reason)
		is.Equal(out.result.RetryAfter, 300*time.Millisecond)
		is.Equal(out.took, time.Duration(0))
		is.Equal(len(out.sent), 0)
		is.Equal(len(turns.endings), 0) // nothing was reserved
		is.Equal(len(quotas.returned), 0)
	}
}

// A customer's quota is used up by calls that were refused and have not run.
func TestCallsThatHaveNotRunDoNotCountAgainstTheQuota(t *testing.T) {
	customers := customersOf(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*key("k1")}})
	route := routing.Route{Kind: routing.Once, Attempts: 1}
	for _, c := range []struct {
		script   script
		returned int
	}{{refuses, 1}, {good("done"), 0}, {fails(httpconn.ErrResponseLost), 0}} {
		is := is.New(t)
		quotas := &fakeQuotas{}
		serveFor(t, customers, Settings{Quotas: quotas}, route, Call{ID: "r", Key: key("k1")}, nil, c.script)
		is.Equal(len(quotas.returned), c.returned)
	}
}

// The metrics of an instance grow without end, by names that callers' accounts bear.
func TestCountersOfCustomersAreBounded(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	r := newRefusals(registry)
	for i := range 10 * customersCounted {
		r.count(OverQuota, fmt.Sprint("customer-", i))
	}
	n := 0
	registry.Each(func(string, any) { n++ })
	is.True(n <= customersCounted+2)
	is.Equal(r.overQuota("customer-0").Count(), int64(1))
	is.Equal(r.overQuota("one more").Count(), int64(9*customersCounted))
}
