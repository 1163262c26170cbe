package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"foxhall/internal/cache"
	"foxhall/internal/placement"
	"foxhall/internal/queue"
	"foxhall/internal/upstream"
	"foxhall/internal/urgency"
	"foxhall/internal/usage"
)

const (
	modelName = "model"
	// viewBlocks is the maximum number of blocks in an entry's view of the engines' caches.
	viewBlocks = 1 << 16
	// progressTimeout is the time without progress after which an engine counts as stalled. It is
	// longer than any wait in the model.
	progressTimeout = time.Minute
	// scanInterval is that of the product: how often the queue is scanned without an event.
	scanInterval = 50 * time.Millisecond
)

// modelEntry is an instance that places turns with the product's upstream table, cache view and
// placement decision, in virtual time.
type modelEntry struct {
	policy  placement.Policy
	control Control
	clock   *clock
	random  *rand.Rand
	table   *upstream.Table
	view    *cache.View
	matches cache.Matches
	turn    uint64
	queue   queue.Queue[*waitingTurn]
	// ticking is true while a scan is scheduled.
	ticking bool
	// send sends a turn to the engine chosen for it. refuse refuses it; the caller sends it again
	// after the time given.
	send   func(*waitingTurn, *placedTurn)
	refuse func(w *waitingTurn, retryAfter time.Duration)
}

// waitingTurn is a turn that waits for an engine.
type waitingTurn struct {
	program *program
	// hint is the expected, output the real number of output tokens.
	hint, output int
	// tried are the engines that refused the turn.
	tried           []int
	since, deadline time.Time
	// order, class and allowance are set only with load control.
	order     queue.Order
	class     urgency.Class
	allowance int
	// done is called with true once the response is complete, and with false once the program has failed.
	done func(bool)
}

// enqueue queues a turn and places it at once if an engine has room.
func (e *modelEntry) enqueue(w *waitingTurn) {
	now, p := e.clock.now, w.program
	key := queue.Key{At: now}
	switch e.control {
	case RankPriorities:
		criteria := queue.Criteria{Enqueued: now, Deadline: w.deadline, Priority: 9 - p.rank}
		key.At = criteria.Key()
	case LoadControl:
		w.order = queue.Order{
			Rank: p.rank, Objective: p.deadline, Expected: e.expectedDuration(w), Resent: len(w.tried) > 0, Arrived: w.since, Deadline: w.deadline,
		}
		state := w.order.At(now)
		w.class, w.allowance, key = state.Class, state.Allowance(), w.order.Key(now)
		if e.refuseIfHopeless(w, e.ahead(w, key, nil)) {
			return
		}
	}
	e.queue.PushKey(key, w)
	e.scan()
}

// expectedDuration returns the expected duration of a turn on an engine with a free slot.
func (e *modelEntry) expectedDuration(w *waitingTurn) time.Duration {
	step := placement.Step{PromptTokens: w.program.prompt, OutputTokens: w.hint}
	endpoint := e.table.Snapshot().Model(modelName)[0]
	c := placement.Candidate{Slots: endpoint.Upstream.Slots, Speed: endpoint.MeanSpeed()}
	c.Load.Total, c.Load.Slowness = c.Slots-1, 1
	e.view.Lookup(w.program.blocks, &e.matches)
	if len(e.matches.Found) > 0 {
		c.CachedTokens = e.matches.Found[0].Blocks * blockTokens
	}
	estimate := placement.EstimateCost(&c, &step, c.CachedTokens)
	return time.Duration(estimate.Total() * float64(time.Second))
}

// ahead returns the number of waiting turns that get a place before one with the key: those with a
// larger allowance, and earlier ones with the same. skipped are those that a scan has passed.
func (e *modelEntry) ahead(w *waitingTurn, key queue.Key, skipped []*queue.Item[*waitingTurn]) int {
	n := 0
	count := func(item *queue.Item[*waitingTurn], weight int) {
		if other := item.Value.allowance; other > w.allowance || other == w.allowance && item.Key().Compare(key) < 0 {
			n += weight
		}
	}
	e.queue.Sample(count)
	for _, item := range skipped {
		count(item, 1)
	}
	return n
}

// refuseIfHopeless refuses a turn that almost certainly can't be done by its deadline with a number of turns
// ahead of it.
func (e *modelEntry) refuseIfHopeless(w *waitingTurn, ahead int) bool {
	var view urgency.View
	learned := false // default speeds refuse nothing
	for _, endpoint := range e.table.Snapshot().Model(modelName) {
		u := endpoint.Upstream
		l := u.Load(e.clock.now.UnixNano())
		learned = learned || endpoint.Speed().Samples > 0
		view.Calls, view.Own = view.Calls+l.Total, view.Own+l.Own
		view.Rate += urgency.CallRate(l.Total, u.Slots, endpoint.Speed().CallSeconds)
		view.Free += max(0, min(u.Slots+w.allowance-l.Total, l.Limit-l.Own))
	}
	wait := view.Wait(ahead)
	if !learned || urgency.CertainDuration(wait, w.order.Expected) <= w.deadline.Sub(e.clock.now) {
		return false
	}
	e.refuse(w, max(time.Second, wait))
	return true
}

// scan places the waiting turns for which an engine has room, in the order of the queue.
func (e *modelEntry) scan() {
	now := e.clock.now
	if e.control == LoadControl {
		e.queue.Rekey(func(w *waitingTurn) (queue.Key, bool) {
			w.allowance = w.order.At(now).Allowance()
			return w.order.Key(now), true
		})
	}
	var skipped []*queue.Item[*waitingTurn]
	full := -1 // the largest allowance for which all engines are full
	for range e.queue.Len() {
		item := e.queue.Pop()
		w := item.Value
		if !now.Before(w.deadline) {
			e.refuse(w, retryDelay)
		} else if e.control == LoadControl && e.refuseIfHopeless(w, e.ahead(w, item.Key(), skipped)) {
			continue
		} else if w.allowance <= full {
			skipped = append(skipped, item)
		} else if c, allFull := e.place(w); c != nil {
			e.send(w, c)
		} else {
			skipped = append(skipped, item)
			if allFull {
				full = w.allowance
			}
		}
	}
	for _, item := range skipped {
		e.queue.Restore(item)
	}
	if e.queue.Len() > 0 && !e.ticking {
		e.ticking = true
		e.clock.schedule(scanInterval, func() {
			e.ticking = false
			e.scan()
		})
	}
}

func newModelEntry(o *Options, c *clock, random *rand.Rand) *modelEntry {
	e := &modelEntry{policy: o.Policy, control: o.Control, clock: c, random: random, table: upstream.NewTable(), view: cache.New(cache.Options{MaxBlocks: viewBlocks})}
	e.applyUpstreams(o.Shape.Engines, o.Shape.Engine.Slots, func(int) bool { return false })
	return e
}

// applyUpstreams sets the list of engines to those that have not left.
func (e *modelEntry) applyUpstreams(engines, slots int, left func(int) bool) {
	var list []usage.Upstream
	for i := range engines {
		if !left(i) {
			list = append(list, usage.Upstream{Name: strconv.Itoa(i), Address: strconv.Itoa(i), Kind: usage.KindEngine, Models: []string{modelName}, Slots: slots})
		}
	}
	e.table.Apply(list, e.clock.now)
}

// placedTurn is a turn with the engine chosen for it.
type placedTurn struct {
	engine   int
	endpoint *upstream.Endpoint
	step     placement.Step
	estimate placement.Estimate
	trial    uint64
	batch    int
	cached   int
	sentAt   time.Time
}

// place chooses an engine for a turn. It returns nil if the turn has to wait, and whether that is
// because all engines are full.
func (e *modelEntry) place(w *waitingTurn) (c *placedTurn, allFull bool) {
	e.turn++
	p := w.program
	step := placement.Step{
		PromptTokens: p.prompt, OutputTokens: w.hint, LatencyWeight: 1, CacheWeight: 0.5, Waited: e.clock.now.Sub(w.since),
		ProgramHash: uint64(p.number), DecisionNumber: e.turn, Random: e.random.Uint64(),
	}
	endpoints := e.table.Snapshot().Model(modelName)
	e.view.Lookup(p.blocks, &e.matches)
	candidates := make([]placement.Candidate, 0, len(endpoints))
	for i, endpoint := range endpoints {
		u := endpoint.Upstream
		c := placement.Candidate{
			Index: i, ID: u.ID, Slots: u.Slots, Load: u.Load(e.clock.now.UnixNano()), Speed: endpoint.Speed(),
			CachedTokens: min(p.prompt, e.matches.Depth(u.ID)*blockTokens),
		}
		if e.control == LoadControl && c.Load.Condition == upstream.Usable && urgency.IsFull(c.Load.Total, c.Slots, w.allowance) {
			c.Load.Condition = upstream.Full
		}
		if isTried(u, w.tried) {
			c.Rejection = placement.Tried
		}
		candidates = append(candidates, c)
	}
	d := placement.Decide(e.policy, candidates, &step)
	if d.Chosen < 0 || d.ShouldWait {
		return nil, d.Rejections[placement.Full] == len(candidates)
	}
	chosen := &candidates[d.Chosen]
	endpoint := endpoints[chosen.Index]
	trial, ok := endpoint.Upstream.TakeTrial()
	if !ok {
		return nil, false
	}
	c = &placedTurn{
		trial:  trial,
		engine: engineOf(endpoint.Upstream), endpoint: endpoint, step: step, estimate: d.Estimate,
		batch: chosen.Load.Total + 1, cached: chosen.CachedTokens, sentAt: e.clock.now,
	}
	endpoint.Upstream.Begin(e.clock.now.UnixNano(), c.uncached(), progressTimeout)
	e.view.RecordSent(endpoint.Upstream.ID, p.blocks)
	return c, false
}

func engineOf(u *upstream.Upstream) int {
	n, err := strconv.Atoi(u.Name)
	if err != nil {
		panic("experiment: engine named " + u.Name)
	}
	return n
}

func isTried(u *upstream.Upstream, tried []int) bool {
	for _, n := range tried {
		if engineOf(u) == n {
			return true
		}
	}
	return false
}

func (c *placedTurn) uncached() int { return max(0, c.step.PromptTokens-c.cached) }

// recordFirstToken records that the first token of the turn arrived.
func (e *modelEntry) recordFirstToken(c *placedTurn) {
	c.endpoint.Upstream.RecordProgress(e.clock.now.UnixNano())
	c.endpoint.Upstream.RecordPrefilled(c.uncached())
}

// recordRefusal records that the turn does not run at the chosen engine.
func (e *modelEntry) recordRefusal(c *placedTurn) {
	c.endpoint.Upstream.RecordPrefilled(c.uncached())
	c.endpoint.Upstream.Finish(e.clock.now.UnixNano())
	e.scan()
}

// recordFailure records that the engine responded with an error.
func (e *modelEntry) recordFailure(c *placedTurn) {
	c.endpoint.Upstream.RecordFailure(e.clock.now, upstream.Failure{Kind: upstream.Errored})
	c.endpoint.Upstream.ReleaseTrial(c.trial)
	e.recordRefusal(c)
}

// recordCompletion updates the table, the learned speed and the cache view from a complete response.
func (e *modelEntry) recordCompletion(c *placedTurn, first time.Duration, cached, output int) {
	now := e.clock.now
	u := c.endpoint.Upstream
	u.Finish(now.UnixNano())
	u.RecordSuccess(now)
	u.ReleaseTrial(c.trial)
	total := now.Sub(c.sentAt)
	u.ObserveLatency(now, total, c.estimate.ExpectedDuration(&c.step, output))
	c.endpoint.Learn(upstream.Sample{
		Uncached: c.step.PromptTokens - cached, Output: output, Batch: min(c.batch, u.Slots), FirstToken: first, Total: total,
	})
	e.view.ObserveCached(u.ID, c.cached, cached)
	e.scan()
}

// upstreamLoad is the load of one engine that an entry reports to the other entries.
type upstreamLoad struct {
	calls, backlog int
	highErrorRate  bool
}

// loads returns the load that this entry sees of each engine.
func (e *modelEntry) loads(engines int) []upstreamLoad {
	loads := make([]upstreamLoad, engines)
	for _, u := range e.table.Snapshot().All {
		l := u.Load(e.clock.now.UnixNano())
		loads[engineOf(u)] = upstreamLoad{calls: l.Own, backlog: max(0, l.OwnBacklog), highErrorRate: u.HasHighErrorRate(e.clock.now)}
	}
	return loads
}
