package queue

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/urgency"
)

var start = time.Unix(1000, 0)

func drawOrder(t *rapid.T) Order {
	millis := func(name string, low, high int) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
	}
	o := Order{
		Rank:     rapid.IntRange(0, 3).Draw(t, "rank"),
		Arrived:  start.Add(millis("arrived", 0, 8000)),
		Expected: millis("expected", 0, 2000),
		Resent:   rapid.Bool().Draw(t, "resent"),
		Attained: millis("attained", 0, 3),
	}
	if rapid.Bool().Draw(t, "has objective") {
		o.Objective = o.Arrived.Add(millis("left", -2000, 12000))
	}
	if rapid.Bool().Draw(t, "has deadline") {
		o.Deadline = o.Arrived.Add(millis("deadline", 0, 30000))
	}
	return o
}

// goesBefore is the order as the design page states it, written without keys.
func goesBefore(a, b *Order, now time.Time) bool {
	x, y := a.countsFrom(now), b.countsFrom(now)
	if !x.Equal(y) {
		return x.Before(y)
	}
	return a.Attained < b.Attained
}

// countsFrom returns the time by which a call is ordered: its objective, at the latest its deadline or 10 s
// after its arrival, whichever is later, or 4 s after its arrival if it is late, and a second more for each
// rank.
func (o *Order) countsFrom(now time.Time) time.Time {
	rank := time.Duration(o.Rank) * time.Second
	wait := 20 * time.Second
	if !o.Deadline.IsZero() {
		wait = o.Deadline.Sub(o.Arrived)
	}
	switch left := o.Objective.Sub(o.Arrived); {
	case o.class(now) == urgency.Late:
		return o.Arrived.Add(4*time.Second + rank)
	case !o.Objective.IsZero():
		return o.Arrived.Add(min(left, max(wait, 10*time.Second)) + rank)
	default:
		return o.Arrived.Add(min(wait, 10*time.Second) + rank)
	}
}

// Calls arrive, are placed, give up and wait until their classes change. The queue must always place the
// same call as the oracle, a sorted list. Guards against a call that keeps its former place in the order
// after its class has changed.
func TestUrgencyOrderAgainstOracle(t *testing.T) {
	type call struct {
		order     Order
		changesAt time.Time
		item      *Item[*call]
	}
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[*call]
		var oracle []*call // in the order of arrival at the queue
		now := start
		first := func() *call {
			sorted := slices.Clone(oracle)
			slices.SortStableFunc(sorted, func(a, b *call) int {
				if goesBefore(&a.order, &b.order, now) {
					return -1
				} else if goesBefore(&b.order, &a.order, now) {
					return 1
				}
				return 0
			})
			return sorted[0]
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				c := &call{order: drawOrder(t)}
				c.changesAt = c.order.ChangesAt(now)
				c.item = q.PushKey(c.order.Key(now), c)
				oracle = append(oracle, c)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				q.Rekey(func(c *call) (Key, bool) {
					due := !c.changesAt.IsZero() && !now.Before(c.changesAt)
					if due {
						c.changesAt = c.order.ChangesAt(now)
					}
					return c.order.Key(now), due
				})
			},
			"place": func(t *rapid.T) {
				if len(oracle) == 0 {
					return
				}
				want := first()
				if got := q.Pop().Value; got != want {
					t.Fatalf("placed %+v, oracle %+v", got.order, want.order)
				}
				oracle = slices.DeleteFunc(oracle, func(c *call) bool { return c == want })
			},
			"give up": func(t *rapid.T) {
				if len(oracle) == 0 {
					return
				}
				i := rapid.IntRange(0, len(oracle)-1).Draw(t, "which")
				if !q.Remove(oracle[i].item) {
					t.Fatal("a waiting call is not in the queue")
				}
				oracle = slices.Delete(oracle, i, i+1)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(oracle) {
					t.Fatalf("%d calls, oracle %d", q.Len(), len(oracle))
				}
			},
		})
	})
}

// Guards against a key that changes at another time than the announced one.
func TestKeyChangesOnlyAtTheAnnouncedTimes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := drawOrder(t)
		now := start.Add(time.Duration(rapid.IntRange(0, 40000).Draw(t, "now")) * time.Millisecond)
		changes := o.ChangesAt(now)
		if changes.IsZero() {
			changes = now.Add(time.Hour)
		}
		if !changes.After(now) {
			t.Fatalf("the next change is %v before now", now.Sub(changes))
		}
		until := now.Add(time.Duration(rapid.Float64Range(0, 0.999).Draw(t, "part") * float64(changes.Sub(now))))
		if o.Key(now) != o.Key(until) || o.class(now) != o.class(until) {
			t.Fatalf("the key of %+v changes before the announced time", o)
		}
	})
}

// Guards against a call that a stream of later arrivals holds until its deadline: a program of the same
// rank whose call arrives after the moment by which the waiting call is ordered goes behind it, whatever its
// class, unless it was late when it arrived.
func TestLaterArrivalsGoBehindAWaitingCall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o, later := drawOrder(t), drawOrder(t)
		later.Rank = o.Rank
		later.Arrived = o.Key(o.Arrived).At.Add(lateDelay + time.Duration(rapid.IntRange(1, 20000).Draw(t, "after"))*time.Millisecond)
		if later.Objective = later.Arrived; rapid.Bool().Draw(t, "has time") {
			later.Objective = later.Arrived.Add(time.Duration(rapid.IntRange(0, 12000).Draw(t, "left")) * time.Millisecond)
		}
		later.Deadline = time.Time{}
		now := later.Arrived.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "waited")) * time.Millisecond)
		if o.Key(now).Compare(later.Key(now)) >= 0 {
			t.Fatalf("%+v goes before %+v", later, o)
		}
	})
}

// Guards against ranks that don't count: at equal times a call of a higher rank goes first, by as many
// seconds as there are ranks between them, and it may use at least as many places at an engine.
func TestRanksCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		high := drawOrder(t)
		low := high
		difference := rapid.IntRange(1, 3).Draw(t, "difference")
		low.Rank += difference
		now := start.Add(8 * time.Second)
		if got := low.Key(now).At.Sub(high.Key(now).At); got != time.Duration(difference)*time.Second {
			t.Fatalf("%d ranks are worth %v", difference, got)
		}
		if high.At(now).Allowance() < low.At(now).Allowance() {
			t.Fatal("a call of a lower rank may use more places")
		}
	})
}

// Guards against an order within a rank that lets programs finish late that had time: the earliest
// objective goes first, and a late call goes behind those that are due within 4 s.
func TestOrderWithinARank(t *testing.T) {
	is := is.New(t)
	with := func(left time.Duration) Order {
		return Order{Arrived: start, Objective: start.Add(left), Expected: time.Second, Deadline: start.Add(time.Minute)}
	}
	orders := []Order{with(2 * time.Second), with(3 * time.Second), with(-time.Second), with(5 * time.Second), with(9 * time.Second), {Arrived: start, Expected: time.Second, Deadline: start.Add(time.Minute)}, with(20 * time.Second)}
	for i := range orders[1:] {
		is.True(orders[i].Key(start).Compare(orders[i+1].Key(start)) < 0)
	}
	more := with(5 * time.Second)
	more.Attained = time.Second
	is.True(orders[3].Key(start).Compare(more.Key(start)) < 0) // less attained service goes first
}

// Guards against counts of the calls ahead that are off in a long queue, of which only a sample is counted.
func TestSampleStandsForTheWholeQueue(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{0, 1, maxSampled, maxSampled + 1, 4096} {
		var q Queue[int]
		for i := range n {
			q.Push(start.Add(time.Duration(i*1237%4096)*time.Second), i)
		}
		all, firstHalf, visited := 0, 0, 0
		q.Sample(func(item *Item[int], weight int) {
			all, visited = all+weight, visited+1
			if item.Key().At.Before(start.Add(2048 * time.Second)) {
				firstHalf += weight
			}
		})
		is.Equal(all, n)
		is.True(visited <= maxSampled)
		is.True(n != 4096 || firstHalf > 2048-n/8 && firstHalf < 2048+n/8)
	}
}

// Guards against a call that waits until its deadline since its program has time for much longer: while
// calls without an objective arrive at one and a half times the rate of the places, it is placed in time.
func TestCallIsOrderedByItsDeadlineIfTheObjectiveIsLater(t *testing.T) {
	const between, timeout = 100 * time.Millisecond, 20 * time.Second
	var q Queue[int]
	push := func(i int, objective time.Time, now time.Time) {
		o := Order{Arrived: now, Objective: objective, Deadline: now.Add(timeout)}
		q.PushKey(o.Key(now), i)
	}
	push(0, start.Add(10*time.Minute), start)
	for i := 1; start.Add(time.Duration(i) * between).Before(start.Add(timeout)); i++ {
		now := start.Add(time.Duration(i) * between)
		push(i, time.Time{}, now)
		if i%3 != 0 && q.Pop().Value == 0 {
			return
		}
	}
	t.Fatal("the call was not placed before its deadline")
}
