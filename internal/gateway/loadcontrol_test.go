package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/routing"
)

// Guards against engines that preempt running calls for those of a higher rank: under load control all calls
// carry the same priority there. Services that are no engines, and deployments without load control, still
// get the rank.
func TestEnginesGetOnePriorityUnderLoadControl(t *testing.T) {
	first := 0
	customers := newCustomers(t, routing.Customer{Name: "one", Keys: []routing.KeyDigest{*digestOf("k1")}, Priority: &first})
	for _, c := range []struct {
		name        string
		loadControl bool
		kind        routing.Kind
		key         *routing.KeyDigest
		priority    int
	}{
		{"engine, rank of the customer", true, routing.Stream, digestOf("k1"), commonEnginePriority},
		{"engine, rank of the route", true, routing.Stream, nil, commonEnginePriority},
		{"service", true, routing.AtMostOnce, digestOf("k1"), 0},
		{"engine without load control", false, routing.Stream, digestOf("k1"), 0},
		{"engine without load control, rank of the route", false, routing.Stream, nil, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			route := routing.Route{Kind: c.kind, Attempts: 1, Priority: 2, Public: true}
			respond := succeedsWith("done")
			if c.kind == routing.Stream {
				respond = streams(nil, event(1))
			}
			got := serveWith(t, customers, Settings{LoadControl: c.loadControl}, route, Call{ID: "r", Key: c.key}, nil, respond)
			is.Equal(got.result.Outcome, Completed)
			is.Equal(got.attempts[0].Priority, c.priority)
		})
	}
}

// Guards against calls that are placed without regard to their rank or their program's objective, or whose
// resent attempts wait as long as the first one.
func TestUrgencyOfACallReachesTheScheduler(t *testing.T) {
	is := is.New(t)
	call := Call{ID: "r", Program: Program{ID: "p", Objective: time.Unix(1, 0)}}
	route := routing.Route{Kind: routing.Stream, Attempts: 2, Priority: 1}
	got := serveWith(t, nil, Settings{LoadControl: true}, route, call, nil, refuses, streams(nil, event(1)))
	is.Equal(got.result.Outcome, Completed)
	var classes []any
	for _, line := range got.lines {
		if line.Message == "placed" {
			is.Equal(line.Fields["rank"], 1)
			is.Equal(line.Fields["request"], "r")
			classes = append(classes, line.Fields["class"])
		}
	}
	is.Equal(classes, []any{"late", "ordinary"})
}
