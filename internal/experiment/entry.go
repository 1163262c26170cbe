package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"foxhall/internal/cache"
	"foxhall/internal/placement"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

const (
	modelName = "model"
	// viewBlocks is the maximum number of blocks in an entry's view of the engines' caches.
	viewBlocks = 1 << 16
	// progressTimeout is the time without progress after which an engine counts as stalled. It is
	// longer than any wait in the model.
	progressTimeout = time.Minute
)

// modelEntry is an instance that places turns with the product's upstream table, cache view and
// placement decision, in virtual time.
type modelEntry struct {
	policy  placement.Policy
	clock   *clock
	random  *rand.Rand
	table   *upstream.Table
	view    *cache.View
	matches cache.Matches
	turn    uint64
}

func newModelEntry(p placement.Policy, c *clock, random *rand.Rand, engines, slots int) *modelEntry {
	e := &modelEntry{policy: p, clock: c, random: random, table: upstream.NewTable(), view: cache.New(cache.Options{MaxBlocks: viewBlocks})}
	e.applyUpstreams(engines, slots, func(int) bool { return false })
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

// place chooses an engine for a turn. It returns false if no engine can take it.
func (e *modelEntry) place(p *program, output int, tried []int) (*placedTurn, bool) {
	e.turn++
	step := placement.Step{
		PromptTokens: p.prompt, OutputTokens: output, LatencyWeight: 1, CacheWeight: 0.5,
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
		if isTried(u, tried) {
			c.Rejection = placement.Tried
		}
		candidates = append(candidates, c)
	}
	d := placement.Decide(e.policy, candidates, &step)
	if d.Chosen < 0 {
		return nil, false
	}
	chosen := &candidates[d.Chosen]
	endpoint := endpoints[chosen.Index]
	trial, ok := endpoint.Upstream.TakeTrial()
	if !ok {
		return nil, false
	}
	c := &placedTurn{
		trial:  trial,
		engine: engineOf(endpoint.Upstream), endpoint: endpoint, step: step, estimate: d.Estimate,
		batch: chosen.Load.Total + 1, cached: chosen.CachedTokens, sentAt: e.clock.now,
	}
	endpoint.Upstream.Begin(e.clock.now.UnixNano(), c.uncached(), progressTimeout)
	e.view.RecordSent(endpoint.Upstream.ID, p.blocks)
	return c, true
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
}

// recordFailure records that the engine responded with an error.
func (e *modelEntry) recordFailure(c *placedTurn) {
	e.recordRefusal(c)
	c.endpoint.Upstream.RecordFailure(e.clock.now, upstream.Failure{Kind: upstream.Errored})
	c.endpoint.Upstream.ReleaseTrial(c.trial)
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
}

// upstreamLoad is the load of one engine that an entry reports to the other entries.
type upstreamLoad struct {
	calls, backlog int
	highErrorRate  bool
}

// loads returns the load that this entry sees of each engine, by name.
func (e *modelEntry) loads() map[string]upstreamLoad {
	loads := map[string]upstreamLoad{}
	for _, u := range e.table.Snapshot().All {
		l := u.Load(e.clock.now.UnixNano())
		loads[u.Name] = upstreamLoad{calls: l.Own, backlog: max(0, l.OwnBacklog), highErrorRate: u.HasHighErrorRate(e.clock.now)}
	}
	return loads
}
