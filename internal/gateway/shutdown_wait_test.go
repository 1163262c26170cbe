package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/limit"
	"foxhall/internal/origin"
	"foxhall/internal/routing"
)

// Guards against a call that waits on, for its keepers, its customer's reports or its stream's version, once a
// planned stop has made sure that it will not be sent, and against one that is refused although it may be.
func TestStopEndsWaitsOfCallsThatAreNotSent(t *testing.T) {
	const wait = 300 * time.Millisecond
	key := digestOf("k1")
	engine := routing.Service{Name: "s", Engine: &routing.Engine{TokensPerEvent: 2}}
	resumed := Call{ID: "r", Key: key, ResumeAfter: "1", Resumes: "first"}
	turn := turnCall()
	turn.Key = key
	for name, row := range map[string]struct {
		call     Call
		route    routing.Route
		turns    *fakeTurns
		settings Settings
	}{
		"keepers":             {turn, turnRoute, &fakeTurns{reserveDelay: wait}, Settings{}},
		"reports":             {turn, turnRoute, &fakeTurns{}, Settings{Quotas: &fakeQuotas{verdict: limit.Admitted, reports: 3}}},
		"version":             {resumed, resumableRoute(1), nil, Settings{Origins: &fakeOrigins{delay: wait}}},
		"version, once known": {resumed, resumableRoute(1), nil, Settings{Origins: &fakeOrigins{delay: wait, resolution: origin.Resolution{Source: origin.Own}}}},
	} {
		for _, fits := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, fits %v", name, fits), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					route, settings, now := row.route, row.settings, time.Now()
					route.Timeout = 10 * time.Second
					if q, ok := settings.Quotas.(*fakeQuotas); ok {
						settings.Quotas = &fakeQuotas{verdict: q.verdict, reports: q.reports}
					}
					w := newTestGateway(engine, newCustomers(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*key}}), settings, route, row.turns, streams(nil, event(1)))
					w.gateway.BeginShutdown(Shutdown{Began: now, Diverted: now.Add(wait / 2), End: now.Add(5 * time.Second)})
					call, ends := row.call, wait/2
					if fits {
						call.Deadline, ends = now.Add(time.Second), wait
					}
					got := w.serve(&fakeCaller{}, call)
					is.Equal(got.result.Reason == Stopping, !fits)
					is.Equal(got.duration, ends)
				})
			})
		}
	}
}
