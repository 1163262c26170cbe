package gateway

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/httpconn"
	"foxhall/internal/quarantine"
	"foxhall/internal/routing"
	"foxhall/internal/usage"
)

// ends is the script of a replica that ends under the call.
func ends(context.Context, *Attempt) (*Response, error) { return nil, errEnds }

// endsAfter streams some events, and then the replica ends.
func endsAfter(events ...string) script {
	return func(context.Context, *Attempt) (*Response, error) {
		body := endingBody{io.MultiReader(strings.NewReader(strings.Join(events, "")), errorReader{io.ErrUnexpectedEOF})}
		return NewResponse(Response{Status: 200, Verified: true, Executed: true, Length: -1, Body: body}, func() {}), nil
	}
}

// inGateway plays f with a function that serves one call after the other, by the script, in a gateway
// that remembers. Retries are as frequent as the route allows.
func inGateway(t *testing.T, customers *routing.Customers, route routing.Route, turns *fakeTurns, f func(w *testGateway, serve func(Call, script) testOutcome)) {
	synctest.Test(t, func(t *testing.T) {
		service := routing.Service{Name: "s"}
		if route.Kind == routing.Stream {
			service.Engine = &routing.Engine{TokensPerEvent: 2}
		}
		w := newTestGateway(service, customers, Settings{}, route, turns, nil)
		// Completed calls allow retries.
		for i := range 40 {
			w.replicas.steps = []script{succeedsWith("ok")}
			if service.Engine != nil {
				w.replicas.steps = []script{streams(nil, event(1))}
			}
			warm := Call{Body: []byte(fmt.Sprint("warm", i))}
			if customers != nil {
				digest := routing.DigestKey("k1")
				warm.Key = &digest
			}
			w.serve(&fakeCaller{}, warm)
		}
		f(w, func(call Call, s script) testOutcome {
			w.replicas.steps = []script{s}
			return w.serve(&fakeCaller{}, call)
		})
	})
}

// Guards against a replica that ends twice under one call: it has started again by the time of the
// second sending, which the route's attempts do not count.
func TestReplicaThatEndedIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	got := serve(t, routing.Route{Kind: routing.Idempotent, Attempts: 1}, Call{}, nil, ends, succeedsWith("again"))
	is.Equal(got.result.Outcome, Unknown)
	is.Equal(len(got.targets), 1)
	got = serve(t, routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 1}, Call{}, nil, endsAfter(event(1)), streams(nil, event(2)))
	is.Equal(got.result.Outcome, Truncated)
	is.Equal(len(got.targets), 1)
	is.Equal(got.logFields("attempt failed")["replica_state"], "refused")
}

// Guards against a content that ends one replica after the other: by the attempts of one call, and by
// further calls with the same content and other ids. They must end at once and as not run.
func TestContentThatEndedThreeReplicasIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		route   routing.Route
		script  script
		outcome Outcome
	}{
		"idempotent": {routing.Route{Kind: routing.Idempotent, Attempts: 4}, ends, Unknown},
		"stream":     {routing.Route{Kind: routing.Stream, Resumable: true, Attempts: 4}, endsAfter(event(1)), Truncated},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inGateway(t, nil, c.route, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
				got := serve(Call{ID: "1", Body: []byte("b")}, c.script)
				is.Equal(len(got.targets), quarantine.MaxEnds)
				is.Equal(countDistinct(got.targets), quarantine.MaxEnds)
				is.Equal(got.result.Outcome, c.outcome)
				is.Equal(got.result.Reason, Quarantined)

				got = serve(Call{ID: "2", Body: []byte("b")}, c.script)
				is.Equal(len(got.targets), 0)
				is.Equal(got.result.Outcome, NotRun)
				is.Equal(got.result.Reason, Quarantined)
				is.True(got.result.RetryAfter > quarantine.Lifetime/2)
				is.Equal(got.duration, time.Duration(0))
				line := got.logFields("call rejected: replicas ended under its content")
				is.Equal(strings.Count(line["ends"].(string), "proven"), quarantine.MaxEnds)

				got = serve(Call{ID: "3", Body: []byte("other")}, refuses)
				is.True(len(got.targets) > 0)
			})
		})
	}
}

// Guards against a call that may not be repeated and is sent again because its replica ended, and
// against callers that send it again under another id without end.
func TestNonRepeatableContentIsSentOnceForEachEnd(t *testing.T) {
	is := is.New(t)
	inGateway(t, nil, routing.Route{Kind: routing.AtMostOnce, Attempts: 3}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		for i := range 2 * quarantine.MaxEnds {
			got := serve(Call{ID: fmt.Sprint(i), Body: []byte("b")}, ends)
			if i < quarantine.MaxEnds {
				is.Equal(len(got.targets), 1)
				is.Equal(got.result.Outcome, Unknown)
				continue
			}
			is.Equal(len(got.targets), 0)
			is.Equal(got.result.Outcome, NotRun)
		}
	})
}

// Guards against a chain that ends replicas and is sent again as a turn with the same input, and against
// other chains with that input which are rejected for it. A turn that is rejected gives its tokens back.
func TestTurnIsKnownByItsWholeChain(t *testing.T) {
	is := is.New(t)
	route := routing.Route{Kind: routing.Stream, Attempts: 1, RetainsTurns: true}
	call := func(id string) Call {
		return Call{ID: id, Previous: "p", Body: []byte("input"), Program: Program{ID: "a", Budget: 100}, MaxOutputTokens: 10}
	}
	turns := &fakeTurns{}
	inGateway(t, nil, route, turns, func(w *testGateway, serve func(Call, script) testOutcome) {
		turns.chain = []Turn{{ID: "p", Input: []byte("poison")}}
		for i := range quarantine.MaxEnds {
			is.Equal(len(serve(call(fmt.Sprint(i)), ends).targets), 1)
		}
		turns.settlements = nil
		got := serve(call("n"), ends)
		is.Equal(len(got.targets), 0)
		is.Equal(got.result.Reason, Quarantined)
		is.Equal(len(turns.settlements), 1)
		is.Equal(turns.settlements[0].OutputTokens, 0)
		turns.chain = []Turn{{ID: "p", Input: []byte("sound")}}
		is.Equal(serve(call("o"), streams(nil, event(1))).result.Outcome, Completed)
	})
}

// Guards against a client account whose calls are rejected for those of another.
func TestContentOfAnotherAccountIsServed(t *testing.T) {
	is := is.New(t)
	customers, err := routing.NewCustomers([]routing.Customer{
		{Name: "one", Keys: []routing.KeyDigest{routing.DigestKey("k1")}}, {Name: "two", Keys: []routing.KeyDigest{routing.DigestKey("k2")}},
	})
	is.NoErr(err)
	call := func(key string) Call {
		digest := routing.DigestKey(key)
		return Call{Body: []byte("b"), Key: &digest}
	}
	inGateway(t, customers, routing.Route{Kind: routing.Idempotent, Attempts: 3}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		serve(call("k1"), ends)
		is.Equal(serve(call("k1"), succeedsWith("ok")).result.Reason, Quarantined)
		is.Equal(serve(call("k2"), succeedsWith("ok")).result.Outcome, Completed)
	})
}

// Guards against answers that are lost and replicas that reset connections and run on: they must not
// count as ends, however often, and a call is sent to such a replica again as before.
func TestBrokenConnectionOfAListeningReplicaIsNoEnd(t *testing.T) {
	is := is.New(t)
	route := routing.Route{Kind: routing.Idempotent, Attempts: 1}
	inGateway(t, nil, route, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		for range 2 * quarantine.MaxEnds {
			got := serve(Call{Body: []byte("b")}, failsWith(httpconn.ErrBroken))
			is.Equal(len(got.targets), 2)
			is.Equal(countDistinct(got.targets), 1)
			is.Equal(got.result.Reason, ReplicaLost)
		}
		got := serve(Call{Body: []byte("b")}, succeedsWith("ok"))
		is.Equal(got.result.Outcome, Completed)
		is.True(got.logFields("content cleared by a complete response") != nil)
	})
	for _, lost := range []script{failsWith(httpconn.ErrResponseLost), failsWith(httpconn.ErrUnresponsive), hangs} {
		got := serve(t, route, Call{Body: []byte("b")}, nil, lost)
		is.True(got.logFields("replica ended under a call") == nil)
	}
}

// Guards against a content that ends replicas which start again at once: they accept connections, so that
// only the list proves their ends. The next send waits for that proof, for a while.
func TestSendWaitsForTheProofOfDoubtfulEnds(t *testing.T) {
	for _, proven := range []bool{true, false} {
		is := is.New(t)
		inGateway(t, nil, routing.Route{Kind: routing.AtMostOnce, Attempts: 1}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
			now := time.Now()
			content := quarantine.Content{Host: "h", Body: []byte("b")}
			table := w.gateway.settings.Quarantine
			for i := range quarantine.MaxEnds {
				e := quarantine.End{Replica: fmt.Sprint("r", i), Evidence: quarantine.Broken, Began: now, At: now}
				table.RecordEnd(content.Fingerprint(), e, now)
			}
			if proven {
				time.AfterFunc(proofWait/2, func() {
					for i := range quarantine.MaxEnds {
						table.ConfirmEnds(fmt.Sprint("r", i), true, time.Now())
					}
				})
			}
			got := serve(Call{Body: []byte("b")}, succeedsWith("ok"))
			if proven {
				is.Equal(got.result.Reason, Quarantined)
				is.Equal(len(got.targets), 0)
				is.True(got.duration < proofWait)
				return
			}
			is.Equal(got.result.Outcome, Completed)
			is.True(got.duration >= proofWait)
		})
	}
}

// Guards against a call that waits, is placed and sent although other instances told of the third end
// meanwhile.
func TestEndsLearntWhileACallWaitsCount(t *testing.T) {
	is := is.New(t)
	content := quarantine.Content{Host: "h", Body: []byte("b")}
	inGateway(t, nil, routing.Route{Kind: routing.Idempotent, Attempts: 3}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		got := serve(Call{Body: []byte("b")}, func(ctx context.Context, s *Attempt) (*Response, error) {
			now := time.Now()
			for i := range quarantine.MaxEnds {
				e := quarantine.End{Replica: fmt.Sprint("elsewhere", i), Evidence: quarantine.Proven, Began: now, At: now}
				w.gateway.settings.Quarantine.RecordEnd(content.Fingerprint(), e, now)
			}
			return refuses(ctx, s)
		})
		is.Equal(len(got.targets), 1)
		is.Equal(got.result.Outcome, NotRun)
		is.Equal(got.result.Reason, Quarantined)
	})
}

// Guards against calls that wait for one with the same content until their deadline: a content that is
// isolated runs once at a time, and the others are told to come back.
func TestIsolatedContentRunsOnceAtATime(t *testing.T) {
	is := is.New(t)
	inGateway(t, nil, routing.Route{Kind: routing.Idempotent, Attempts: 1}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		for range quarantine.MaxEnds - 1 {
			serve(Call{Body: []byte("b")}, ends)
		}
		w.replicas.steps = []script{delayed(3*time.Second, ends)}
		sent := len(w.replicas.attempts)
		results := make(chan Result, 3)
		began := time.Now()
		for range cap(results) {
			go func() {
				call := Call{Host: "h", Path: "/x", Arrived: time.Now(), Body: []byte("b")}
				results <- w.gateway.Serve(context.Background(), &call, &fakeCaller{})
			}()
		}
		var isolated int
		for range cap(results) {
			if result := <-results; result.Reason == Isolated {
				isolated++
				is.Equal(result.Outcome, NotRun)
				is.Equal(time.Since(began), quarantine.IsolationWait)
			}
		}
		is.Equal(isolated, cap(results)-1)
		is.Equal(len(w.replicas.attempts), sent+1)
	})
}

// Guards against a call that is sent once a replica has room for it, although the third end under its
// content became known while it waited.
func TestEndsLearntInTheQueueCount(t *testing.T) {
	is := is.New(t)
	inGateway(t, nil, routing.Route{Kind: routing.Idempotent, Attempts: 1}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		w.replicas.steps = []script{delayed(time.Second, succeedsWith("ok"))}
		start := func(body string, done func(Result)) {
			go func() {
				call := Call{Host: "h", Path: "/x", Arrived: time.Now(), Body: []byte(body)}
				done(w.gateway.Serve(context.Background(), &call, &fakeCaller{}))
			}()
		}
		for i := range 64 {
			start(fmt.Sprint("other", i), func(Result) {})
		}
		synctest.Wait()
		result := make(chan Result, 1)
		start("b", func(r Result) { result <- r })
		synctest.Wait()
		content := quarantine.Content{Host: "h", Body: []byte("b")}
		now := time.Now()
		for i := range quarantine.MaxEnds {
			e := quarantine.End{Replica: fmt.Sprint("elsewhere", i), Evidence: quarantine.Proven, Began: now, At: now}
			w.gateway.settings.Quarantine.RecordEnd(content.Fingerprint(), e, now)
		}
		is.Equal((<-result).Reason, Quarantined)
		time.Sleep(time.Minute)
		synctest.Wait()
		for _, a := range w.replicas.attempts {
			is.True(string(a.Body) != "b")
		}
	})
}

// withVersion has all replicas run a version, and the gateway take its turn alone.
func (w *testGateway) withVersion(version string) {
	var list []usage.Upstream
	for _, u := range w.upstreams.Snapshot().All {
		listed := u.Upstream
		listed.Version = version
		list = append(list, listed)
	}
	w.upstreams.Apply(nil, time.Now())
	w.upstreams.Apply(list, time.Now())
	w.gateway.settings.Turn = func() quarantine.Turn { return quarantine.Turn{Count: 1} }
	w.gateway.settings.RunsVersion = func(_, v string) bool { return v == version }
}

// Guards against good calls that stay refused after the service was mended: the version under which
// replicas ended is gone, and one call shows whether the next one serves the content.
func TestMendedServiceServesRejectedContent(t *testing.T) {
	is := is.New(t)
	inGateway(t, nil, routing.Route{Kind: routing.Idempotent, Attempts: 4}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		w.withVersion("v1")
		is.Equal(len(serve(Call{Body: []byte("b")}, ends).targets), quarantine.MaxEnds)
		w.withVersion("v2")
		is.Equal(serve(Call{Body: []byte("b")}, succeedsWith("ok")).result.Reason, Quarantined) // too early
		got := serve(Call{Body: []byte("b")}, succeedsWith("ok"))
		is.Equal(got.result.Outcome, Completed)
		is.Equal(len(got.targets), 1)
		is.True(got.logFields("trial of a rejected content") != nil)
		is.Equal(serve(Call{Body: []byte("b")}, succeedsWith("ok")).result.Outcome, Completed)
	})
}

// Guards against a trial that ends one replica after the other, by the attempts of the call or by the
// next ones.
func TestTrialOfARejectedContentEndsOneReplica(t *testing.T) {
	is := is.New(t)
	inGateway(t, nil, routing.Route{Kind: routing.Idempotent, Attempts: 4}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		w.withVersion("v1")
		serve(Call{Body: []byte("b")}, ends)
		w.withVersion("v2")
		serve(Call{Body: []byte("b")}, ends)
		got := serve(Call{Body: []byte("b")}, ends)
		is.Equal(len(got.targets), 1)
		is.Equal(got.result.Reason, Quarantined)
		is.Equal(got.result.Outcome, Unknown)
		w.withVersion("v3")
		is.Equal(len(serve(Call{Body: []byte("b")}, ends).targets), 0) // the delay is doubled
	})
}

// Guards against a version that is tried again and again while it still runs.
func TestContentOfARunningVersionIsNotTriedSoon(t *testing.T) {
	is := is.New(t)
	inGateway(t, nil, routing.Route{Kind: routing.Idempotent, Attempts: 4}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		w.withVersion("v1")
		serve(Call{Body: []byte("b")}, ends)
		for range 5 {
			is.Equal(len(serve(Call{Body: []byte("b")}, ends).targets), 0)
		}
	})
}

// isProvenLater returns the script of a replica that ends under the call and accepts connections again at
// once: only the list, a while later, proves the end.
func (w *testGateway) isProvenLater(after time.Duration) script {
	return func(_ context.Context, a *Attempt) (*Response, error) {
		replica := a.Target.ID
		time.AfterFunc(after, func() { w.gateway.settings.Quarantine.ConfirmEnds(replica, true, time.Now()) })
		return nil, httpconn.ErrBroken
	}
}

// Guards against a call that sends its content to a fourth replica at once after it ended the third, the
// proof of which is yet to arrive: the call has waited for its place before, when two ends were known and
// none was in doubt.
func TestCallWaitsForTheProofOfItsOwnEnds(t *testing.T) {
	is := is.New(t)
	for _, known := range []int{1, quarantine.MaxEnds - 1} {
		inGateway(t, nil, routing.Route{Kind: routing.Idempotent, Attempts: 4}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
			content := quarantine.Content{Host: "h", Body: []byte("b")}
			now := time.Now()
			for i := range known {
				e := quarantine.End{Replica: fmt.Sprint("elsewhere", i), Evidence: quarantine.Proven, Began: now, At: now}
				w.gateway.settings.Quarantine.RecordEnd(content.Fingerprint(), e, now)
			}
			got := serve(Call{Body: []byte("b")}, w.isProvenLater(proofWait/2))
			is.Equal(len(got.targets), quarantine.MaxEnds-known)
			is.Equal(got.result.Reason, Quarantined)
			is.Equal(got.result.Outcome, Unknown)
		})
	}
}

// Guards against a content that is held back for ever because its ends stay in doubt: a call waits once
// for each state of the doubts and is sent then.
func TestCallIsSentOnAfterTheWaitForProof(t *testing.T) {
	is := is.New(t)
	inGateway(t, nil, routing.Route{Kind: routing.Idempotent, Attempts: 5}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		got := serve(Call{Body: []byte("b")}, failsWith(httpconn.ErrBroken))
		is.Equal(len(got.targets), maxAttempts)
		is.Equal(countDistinct(got.targets), maxAttempts)
		is.Equal(got.result.Reason, ReplicaLost)
		is.Equal(got.duration, proofWait)
	})
}

// endsAtTheDeadline is the script of a replica that is silent, and ends in the moment in which the call's
// time is up.
func endsAtTheDeadline(ctx context.Context, _ *Attempt) (*Response, error) {
	<-ctx.Done()
	return nil, errEnds
}

// Guards against a content that is sent to a fourth replica because the end of one was read in the moment
// in which the call's time was up or its caller left, and against callers that wait for what is found out
// about it.
func TestEndInTheMomentOfTheDeadlineCounts(t *testing.T) {
	is := is.New(t)
	const timeout = 500 * time.Millisecond
	inGateway(t, nil, routing.Route{Kind: routing.Idempotent, Attempts: 4, Timeout: timeout}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		w.replicas.probeDelay = 50 * time.Millisecond
		for range quarantine.MaxEnds - 1 {
			got := serve(Call{Body: []byte("b")}, endsAtTheDeadline)
			is.Equal(len(got.targets), 1)
			is.Equal(got.result.Reason, TimedOut)
			is.Equal(got.duration, timeout)
		}
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(timeout/2, leave)
		call := Call{Host: "h", Path: "/x", Arrived: time.Now(), Body: []byte("b")}
		is.Equal(w.gateway.Serve(ctx, &call, &fakeCaller{}).Outcome, CallerGone)
		is.Equal(time.Since(call.Arrived), timeout/2)

		// The last end is in doubt until the probe has shown it.
		got := serve(Call{Body: []byte("b")}, succeedsWith("sent on"))
		is.Equal(len(got.targets), 0)
		is.Equal(got.result.Reason, Quarantined)
	})
}

// Guards against connections that this side closed at the deadline and that count as ends of replicas.
func TestConnectionClosedAtTheDeadlineIsNoEnd(t *testing.T) {
	is := is.New(t)
	inGateway(t, nil, routing.Route{Kind: routing.Idempotent, Attempts: 4, Timeout: 500 * time.Millisecond}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
		for range 2 * quarantine.MaxEnds {
			got := serve(Call{Body: []byte("b")}, hangs)
			is.Equal(len(got.targets), 1)
			is.Equal(got.result.Reason, TimedOut)
			is.True(got.logFields("replica ended under a call") == nil)
		}
		is.Equal(serve(Call{Body: []byte("b")}, succeedsWith("ok")).result.Outcome, Completed)
	})
}

// Guards against a content that ends silent replicas after its calls were given up, which nobody sees: the
// list has later starts of them. A replica that is heard on other calls, or is removed, proves nothing.
func TestReplicaThatStartsAgainAfterAGivenUpCallCounts(t *testing.T) {
	for name, c := range map[string]struct {
		replaced, heard bool
		timeout         time.Duration
		rejected        bool
	}{
		"started again":              {replaced: true, timeout: 500 * time.Millisecond, rejected: true},
		"removed":                    {timeout: 500 * time.Millisecond},
		"heard on another call":      {replaced: true, heard: true, timeout: 500 * time.Millisecond},
		"not silent for long enough": {replaced: true, timeout: minAttemptTimeout / 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			inGateway(t, nil, routing.Route{Kind: routing.AtMostOnce, Attempts: 1, Timeout: c.timeout}, nil, func(w *testGateway, serve func(Call, script) testOutcome) {
				hangsUntilHeard := func(ctx context.Context, a *Attempt) (*Response, error) {
					if c.heard {
						time.AfterFunc(c.timeout-minAttemptTimeout/2, func() {
							for _, u := range w.upstreams.Snapshot().All {
								u.RecordHeard(time.Now().UnixNano())
							}
						})
					}
					return hangs(ctx, a)
				}
				w.replicas.steps = []script{hangsUntilHeard}
				sent := len(w.replicas.attempts)
				var calls sync.WaitGroup
				const callsAtOnce = 16 // more than three replicas have slots for
				for range callsAtOnce {
					calls.Go(func() {
						call := Call{Host: "h", Path: "/x", Arrived: time.Now(), Body: []byte("b")}
						w.gateway.Serve(context.Background(), &call, &fakeCaller{})
					})
				}
				calls.Wait()
				is.True(countDistinct(w.replicas.targets()[sent:]) >= quarantine.MaxEnds)
				for _, name := range testReplicas {
					w.gateway.settings.Quarantine.ConfirmEnds(name, c.replaced, time.Now())
				}
				got := serve(Call{ID: "n", Body: []byte("b")}, succeedsWith("ok"))
				is.Equal(got.result.Reason == Quarantined, c.rejected)
			})
		})
	}
}
