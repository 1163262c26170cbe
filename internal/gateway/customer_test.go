package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/httpconn"
	"foxhall/internal/limit"
	"foxhall/internal/routing"
)

func digestOf(k string) *routing.KeyDigest {
	digest := routing.DigestKey(k)
	return &digest
}

func newCustomers(t *testing.T, list ...routing.Customer) *routing.Customers {
	t.Helper()
	c, err := routing.NewCustomers(list)
	is.New(t).NoErr(err)
	return c
}

// Guards against calls that run with an unknown key, or for another customer than the key's.
func TestCallsRequireAKnownKey(t *testing.T) {
	first := 0
	customers := newCustomers(t,
		routing.Customer{Name: "one", Keys: []routing.KeyDigest{*digestOf("k1")}, Priority: &first},
		routing.Customer{Name: "two", Keys: []routing.KeyDigest{*digestOf("k2"), *digestOf("k3")}})
	for _, c := range []struct {
		name     string
		key      *routing.KeyDigest
		public   bool
		outcome  Outcome
		customer string
		priority int
	}{
		{"first key of a customer", digestOf("k1"), false, Completed, "one", 0},
		{"second key of a customer", digestOf("k3"), false, Completed, "two", 4},
		{"unknown key", digestOf("gone"), false, NotRun, "", 0},
		{"no key", nil, false, NotRun, "", 0},
		{"no key on a public route", nil, true, Completed, "", 4},
		{"key on a public route", digestOf("k2"), true, Completed, "two", 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			route := routing.Route{Kind: routing.AtMostOnce, Attempts: 1, Priority: 4, Public: c.public}
			got := serveWith(t, customers, Settings{}, route, Call{ID: "r", Key: c.key}, nil, succeedsWith("done"))
			is.Equal(got.result.Outcome, c.outcome)
			if c.outcome == NotRun {
				is.Equal(got.result.Reason, UnknownKey)
				is.Equal(len(got.attempts), 0)
				return
			}
			is.Equal(got.attempts[0].Customer, c.customer)
			is.Equal(got.attempts[0].Priority, c.priority)
		})
	}
}

// Guards against turns that are retained, and whose tokens are counted, under another customer.
func TestTurnsAreRetainedForTheirCustomer(t *testing.T) {
	is := is.New(t)
	customers := newCustomers(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*digestOf("k1")}})
	call := turnCall()
	call.Key = digestOf("k1")
	turns := &fakeTurns{}
	got := serveWith(t, customers, Settings{}, turnRoute, call, turns, streams(nil, event(1), event(2)))
	is.Equal(got.result.Outcome, Completed)
	is.Equal(turns.settlements[0].Customer, "one")
}

// fakeQuotas returns a fixed verdict and records returned admissions.
type fakeQuotas struct {
	verdict limit.Verdict
	// reports is the number of reports for which calls wait before the verdict.
	reports  int
	returned []string
}

func (f *fakeQuotas) Admit(limit.Call, time.Time) (limit.Verdict, time.Duration) {
	if f.reports > 0 {
		f.reports--
		return limit.AwaitsReports, 100 * time.Millisecond
	}
	return f.verdict, 300 * time.Millisecond
}

func (f *fakeQuotas) Return(customer string, _, _ time.Time) {
	f.returned = append(f.returned, customer)
}

// Guards against calls over their customer's quota that run, or that wait before they are refused.
func TestCallsOverQuotaAreRefusedImmediately(t *testing.T) {
	customers := newCustomers(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*digestOf("k1")}})
	for verdict, reason := range map[limit.Verdict]Reason{limit.OverQuota: OverQuota, limit.Undetermined: QuotaUndetermined} {
		is := is.New(t)
		quotas, turns := &fakeQuotas{verdict: verdict}, &fakeTurns{}
		call := turnCall()
		call.Key = digestOf("k1")
		got := serveWith(t, customers, Settings{Quotas: quotas}, turnRoute, call, turns, succeedsWith("never"))
		is.Equal(got.result.Outcome, NotRun)
		is.Equal(got.result.Reason, reason)
		is.Equal(got.result.RetryAfter, 300*time.Millisecond)
		is.Equal(got.duration, time.Duration(0))
		is.Equal(len(got.attempts), 0)
		is.Equal(len(turns.settlements), 0) // nothing was reserved
		is.Equal(len(quotas.returned), 0)
	}
}

// Guards against refusals of customers below their quota, whose calls arrive at one instance at once.
// A call must wait for the reports by which the others leave it room, but only for a bounded time and
// not for most of its deadline.
func TestCallsWaitForReportsOfTheirQuota(t *testing.T) {
	customers := newCustomers(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*digestOf("k1")}})
	for _, c := range []struct {
		reports int
		timeout time.Duration
		outcome Outcome
		waited  time.Duration
	}{
		{reports: 3, timeout: 5 * time.Second, outcome: Completed, waited: 300 * time.Millisecond},
		{reports: 99, timeout: 5 * time.Second, outcome: NotRun, waited: maxReportWait},
		{reports: 3, timeout: 150 * time.Millisecond, outcome: NotRun},
	} {
		is := is.New(t)
		route := routing.Route{Kind: routing.AtMostOnce, Attempts: 1, Timeout: c.timeout}
		quotas := &fakeQuotas{reports: c.reports}
		got := serveWith(t, customers, Settings{Quotas: quotas}, route, Call{ID: "r", Key: digestOf("k1")}, nil, succeedsWith("done"))
		is.Equal(got.result.Outcome, c.outcome)
		is.Equal(got.duration, c.waited)
	}
}

// Guards against quotas that are used up by calls that were refused and have not run.
func TestCallsThatDidNotRunAreReturnedToTheQuota(t *testing.T) {
	customers := newCustomers(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*digestOf("k1")}})
	route := routing.Route{Kind: routing.AtMostOnce, Attempts: 1}
	for _, c := range []struct {
		script   script
		returned int
	}{{refuses, 1}, {succeedsWith("done"), 0}, {failsWith(httpconn.ErrResponseLost), 0}} {
		is := is.New(t)
		quotas := &fakeQuotas{}
		serveWith(t, customers, Settings{Quotas: quotas}, route, Call{ID: "r", Key: digestOf("k1")}, nil, c.script)
		is.Equal(len(quotas.returned), c.returned)
	}
}

// Guards against metrics that grow without bound with the number of customers.
func TestCustomerCountersAreBounded(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	r := newReasonCounters(registry)
	for i := range 10 * maxCustomerCounters {
		r.count(OverQuota, fmt.Sprint("customer-", i))
	}
	n := 0
	registry.Each(func(string, any) { n++ })
	is.True(n <= maxCustomerCounters+2)
	is.Equal(r.overQuotaCounter("customer-0").Count(), int64(1))
	is.Equal(r.overQuotaCounter("one more").Count(), int64(9*maxCustomerCounters))
}

// Guards against a caller that spends all its tries at instances that have just started: each refused it at once, and
// told it to come back before the others can have been heard.
func TestCallWaitsUntilAStartedInstanceHasHeardTheOthers(t *testing.T) {
	for _, c := range []struct {
		heardAfter time.Duration
		outcome    Outcome
	}{{300 * time.Millisecond, Completed}, {time.Minute, NotRun}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			quotas := limit.NewQuotas("a", 1, limit.Tolerance{Window: time.Second})
			quotas.Set(map[string]limit.Quota{"one": {Rate: 100, Burst: 100}}, time.Now())
			hear := func(entries int) { quotas.SetFleet(entries, 3, 0, time.Now()) }
			hear(0)
			time.AfterFunc(c.heardAfter, func() { hear(3); hear(3) })
			customers := newCustomers(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*digestOf("k1")}})
			route := routing.Route{Kind: routing.AtMostOnce, Attempts: 1}
			w := newTestGateway(routing.Service{Name: "s"}, customers, Settings{Quotas: quotas}, route, nil, succeedsWith("done"))
			got := w.serve(&fakeCaller{}, Call{ID: "r", Key: digestOf("k1")})
			is.Equal(got.result.Outcome, c.outcome)
			if c.outcome == Completed {
				is.True(got.duration <= c.heardAfter+majorityPollInterval)
				return
			}
			is.Equal(got.result.Reason, QuotaUndetermined)
			is.Equal(got.duration, maxMajorityWait)
			is.Equal(got.result.RetryAfter, 400*time.Millisecond)
			time.Sleep(c.heardAfter)
		})
	}
}

// Guards against a caller that spends all its tries within a short silence of the others, of a process or a machine
// that was paused: each was refused at once, and told to come back when the calls of before have left the window.
func TestCallWaitsUntilAnInstanceHearsTheOthersAgain(t *testing.T) {
	const longSilence = 5 * time.Second
	for _, c := range []struct {
		silence, calledAfter time.Duration
		outcome              Outcome
		waits                time.Duration
	}{
		{silence: 600 * time.Millisecond, outcome: Completed, waits: 600 * time.Millisecond},
		{silence: 1500 * time.Millisecond, calledAfter: 900 * time.Millisecond, outcome: Completed, waits: 600 * time.Millisecond},
		{silence: time.Minute, outcome: NotRun, waits: maxMajorityWait},
		{silence: time.Minute, calledAfter: longSilence, outcome: NotRun},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			quotas := limit.NewQuotas("a", 1, limit.Tolerance{Window: 10 * time.Second})
			quotas.Set(map[string]limit.Quota{"one": {Rate: 100, Burst: 100}}, time.Now())
			hear := func(entries int) { quotas.SetFleet(entries, 8, 0, time.Now()) }
			hear(8)
			hear(8)
			time.Sleep(20 * time.Second)
			for range 50 {
				verdict, _ := quotas.Admit(limit.Call{Customer: "one"}, time.Now())
				is.Equal(verdict, limit.Admitted)
			}
			hear(1)
			time.AfterFunc(c.silence, func() { hear(8); hear(8) })
			time.Sleep(c.calledAfter)
			customers := newCustomers(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*digestOf("k1")}})
			route := routing.Route{Kind: routing.AtMostOnce, Attempts: 1}
			w := newTestGateway(routing.Service{Name: "s"}, customers, Settings{Quotas: quotas}, route, nil, succeedsWith("done"))
			got := w.serve(&fakeCaller{}, Call{ID: "r", Key: digestOf("k1")})
			is.Equal(got.result.Outcome, c.outcome)
			is.True(got.duration >= c.waits && got.duration <= c.waits+majorityPollInterval)
			if c.outcome == NotRun {
				is.Equal(got.result.Reason, QuotaUndetermined)
			}
			time.Sleep(c.silence)
		})
	}
}
