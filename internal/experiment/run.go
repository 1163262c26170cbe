package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"foxhall/internal/placement"
	"foxhall/internal/urgency"
)

const (
	// networkDelay is the one-way delay between an entry and an engine or another entry.
	networkDelay = time.Millisecond
	// loadReportInterval is the interval at which entries report their loads to each other; a
	// report is valid for loadReportTTL.
	loadReportInterval = 60 * time.Millisecond
	loadReportTTL      = 1500 * time.Millisecond
	// maxEnginesTried is the number of engines tried for one turn before it waits for retryDelay.
	maxEnginesTried = 4
	retryDelay      = 150 * time.Millisecond
	// callTimeout is the time from a call to its deadline.
	callTimeout = 3 * time.Second
	// hintSpread is the error of callers' hints of a response's length, as the standard deviation
	// of its logarithm: the median is right, but single hints are often far off.
	hintSpread = 0.5
	// maxFailures is the number of failures in a row at which a program fails; resendDelay is the
	// pause before a failed turn is sent again.
	maxFailures = 3
	resendDelay = 250 * time.Millisecond
	// loopTurns is the number of turns of a program that loops, as limited by its budget.
	loopTurns = 40
	// ranks is the number of ranks that accounts may have.
	ranks = 3
	// deadlineAllowance is added to the deadline of each program.
	deadlineAllowance = 250 * time.Millisecond
)

// Options describes one run.
type Options struct {
	Shape   Shape
	Pattern *Pattern
	Policy  placement.Policy
	// Load is the offered load as a share of what the engines can serve.
	Load    float64
	Control Control
	Seed    uint64
}

// Control is how calls that compete for engines are ordered.
type Control uint8

// The kinds of control.
const (
	// FirstCome sends all calls with one engine priority. An entry's own calls bound an engine.
	FirstCome Control = iota
	// RankPriorities is FirstCome with ranks sent as engine priorities: without load control.
	RankPriorities
	// LoadControl sends all calls with one engine priority. The calls of all entries bound an engine
	// by urgency, and the others wait in the entries' queues.
	LoadControl
)

// Result holds the measurements of one run, over the programs that started after warmUp.
type Result struct {
	Policy placement.Policy
	// Programs is the number of programs that started; InTime, Late and Failed count their
	// outcomes. A late program took up to twice its allowed time; a longer one has failed.
	Programs, InTime, Late, Failed int
	// P95 is the 95th percentile of the ratio of a program's time to its time on idle engines.
	P95 float64
	// RepeatedPrefill is the share of prefilled prompt tokens that some engine had prefilled before.
	RepeatedPrefill float64
	// Refused is the number of turns that an engine refused because it was full or draining,
	// Preempted that of requests that lost their slot at an engine.
	Refused, Preempted int
	// Accounts has the programs of each account of the shape and how many of them were in time.
	Accounts []Tally
	// Queued has the turns of each rank and class that came to the entries and how many were sent to
	// an engine; LongestWait is the longest time between the two. Turns of all programs count.
	Queued      [ranks][len(urgency.Classes)]Tally
	LongestWait [ranks][len(urgency.Classes)]time.Duration
	// RefusedAfter has the waiting times of the turns that entries refused for overload; Expired
	// counts those whose deadline passed in the queue, Running the programs that had not ended.
	RefusedAfter     []time.Duration
	Expired, Running int
	// Series has, for each second, the share on time of the programs that started in it.
	Series []float64
}

// Tally counts cases, and those of them that were served.
type Tally struct{ Total, Served int }

// Share returns the share that was served; 1 if there was no case.
func (t Tally) Share() float64 {
	if t.Total == 0 {
		return 1
	}
	return float64(t.Served) / float64(t.Total)
}

// InTimeShare returns the share of programs that were on time.
func (r *Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(1, r.Programs)) }

// simulation is the state of one run.
type simulation struct {
	options Options
	clock   *clock
	// random draws the programs, the same for each policy; hints draws the errors of callers'
	// hints of response lengths.
	random, hints *rand.Rand
	// accounts draws the programs' accounts.
	accounts     *rand.Rand
	engines      []*modelEngine
	entries      []*modelEntry
	requestCount int
	// active is the number of programs that run.
	active int
	result Result
	ratios []float64
	// readBlocks is the set of blocks that some engine has prefilled; neededTokens counts the
	// tokens of those blocks, each block once.
	readBlocks       map[uint64]bool
	neededTokens     int
	startedPerSecond []int
	inTimePerSecond  []int
}

// Run simulates one run. The same options give the same result.
func Run(o Options) (*Result, error) {
	seconds := int(o.Pattern.period() / time.Second)
	r := &simulation{
		options: o, clock: &clock{now: simulationStart},
		random: rand.New(rand.NewPCG(o.Seed, 1)), hints: rand.New(rand.NewPCG(o.Seed, 2)), accounts: rand.New(rand.NewPCG(o.Seed, 0)),
		readBlocks: map[uint64]bool{}, startedPerSecond: make([]int, seconds), inTimePerSecond: make([]int, seconds),
	}
	r.result.Policy, r.result.Accounts = o.Policy, make([]Tally, len(o.Shape.Accounts))
	for i := range o.Shape.Engines {
		e, err := newModelEngine(o.Shape.Engine, r.clock, o.Shape.Speeds[i%len(o.Shape.Speeds)])
		if err != nil {
			return nil, err
		}
		r.engines = append(r.engines, e)
	}
	for i := range o.Shape.Entries {
		random := rand.New(rand.NewPCG(o.Seed, uint64(3+i)))
		e := newModelEntry(&o, r.clock, random)
		e.send, e.refuse = r.dispatch, r.refuse
		r.entries = append(r.entries, e)
	}
	r.clock.schedule(0, func() { r.arrive(0) })
	r.clock.schedule(loadReportInterval, r.exchangeLoads)
	r.clock.schedule(faultAt, r.injectFault)
	r.clock.run(simulationStart.Add(2 * o.Pattern.period()))
	return r.summarize(), nil
}

// arrive starts a program and draws the time at which the next one starts.
func (r *simulation) arrive(number int) {
	t := r.clock.now.Sub(simulationStart)
	if t >= r.options.Pattern.period() {
		return
	}
	r.startProgram(number, t)
	rate := r.options.Shape.rate(r.options.Load)
	if f := r.options.Pattern.rate; f != nil {
		rate *= f(t)
	}
	if f := r.options.Pattern.hot; f != nil {
		rate *= 1 + (f(t)-1)*r.options.Shape.Accounts[0].Share
	}
	r.clock.schedule(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), func() { r.arrive(number + 1) })
}

// startProgram draws a program, sets its deadline and runs its first turn.
func (r *simulation) startProgram(number int, t time.Duration) {
	s := &r.options.Shape
	u := r.random.Float64()
	entry := int(u * float64(s.Entries))
	if f := r.options.Pattern.chooseEntry; f != nil {
		entry = f(t, u, s.Entries)
	}
	p := &program{number: number, entry: entry, turns: draw(r.random, s.Turns), startedAt: r.clock.now}
	p.loops = r.random.Float64() < r.options.Pattern.loopShare
	p.account = r.drawAccount(t)
	if len(s.Accounts) > 0 {
		p.rank = s.Accounts[p.account].Rank
	}
	family := uint64(1 + r.random.IntN(s.Families))
	p.grow(s.Shared, family)
	inputs, outputs, pauses := r.drawTurns(p)
	ideal := s.idealTurn(s.Shared, 0)
	for i := range inputs {
		ideal += s.idealTurn(inputs[i], outputs[i]) + pauses[i]
	}
	p.deadline = p.startedAt.Add(time.Duration(s.DeadlineFactor*float64(ideal)) + deadlineAllowance)
	if t >= warmUp && !p.loops {
		r.result.Programs++
		if len(s.Accounts) > 0 {
			r.result.Accounts[p.account].Total++
		}
		r.startedPerSecond[int(t/time.Second)]++
	}
	r.active++
	r.runTurn(p, inputs, outputs, pauses, ideal)
}

// drawAccount draws a program's account.
func (r *simulation) drawAccount(t time.Duration) int {
	u, hot := r.accounts.Float64(), 1.0
	if f := r.options.Pattern.hot; f != nil {
		hot = f(t)
	}
	shares := r.options.Shape.Accounts
	for i, a := range shares {
		share := a.Share / (1 + (hot-1)*shares[0].Share)
		if i == 0 {
			share *= hot
		}
		if u -= share; u < 0 {
			return i
		}
	}
	return max(0, len(shares)-1)
}

// drawTurns draws all turns of a program in advance, so that all policies get the same ones.
func (r *simulation) drawTurns(p *program) (inputs, outputs []int, pauses []time.Duration) {
	s := &r.options.Shape
	turns := p.turns
	if p.loops {
		turns = loopTurns
	}
	for range turns {
		inputs = append(inputs, draw(r.random, s.Input))
		outputs = append(outputs, draw(r.random, s.Output))
		pauses = append(pauses, time.Duration(r.random.ExpFloat64()*float64(s.Pause)))
	}
	return inputs, outputs, pauses
}

// runTurn runs the program's next turn, and after it the remaining ones.
func (r *simulation) runTurn(p *program, inputs, outputs []int, pauses []time.Duration, ideal time.Duration) {
	p.grow(inputs[0], uint64(p.number)<<8|1<<63)
	r.sendTurn(p, outputs[0], func(ok bool) {
		if !ok || len(inputs) == 1 {
			r.endProgram(p, ok, ideal)
			return
		}
		p.grow(outputs[0], uint64(p.number)<<8|1<<63)
		r.clock.schedule(pauses[0], func() { r.runTurn(p, inputs[1:], outputs[1:], pauses[1:], ideal) })
	})
}

// sendTurn sends a turn to the program's entry, unless the program has failed by now.
func (r *simulation) sendTurn(p *program, output int, done func(bool)) {
	now := r.clock.now
	if now.Sub(p.startedAt) > 2*p.deadline.Sub(p.startedAt) {
		done(false)
		return
	}
	hint := max(1, int(float64(output)*math.Exp(hintSpread*r.hints.NormFloat64())))
	r.enqueue(&waitingTurn{program: p, hint: hint, output: output, since: now, deadline: now.Add(callTimeout), done: done})
}

// enqueue queues a turn at its entry, unless too many engines have refused it.
func (r *simulation) enqueue(w *waitingTurn) {
	if len(w.tried) >= maxEnginesTried {
		r.sendAgain(w, retryDelay)
		return
	}
	r.entries[w.program.entry].enqueue(w)
	r.result.Queued[w.program.rank][w.class].Total++
}

// sendAgain sends a turn again after a time, as its caller does.
func (r *simulation) sendAgain(w *waitingTurn, after time.Duration) {
	r.clock.schedule(after, func() { r.sendTurn(w.program, w.output, w.done) })
}

// refuse ends a turn that its entry refused.
func (r *simulation) refuse(w *waitingTurn, retryAfter time.Duration) {
	if r.clock.now.Before(w.deadline) {
		r.result.RefusedAfter = append(r.result.RefusedAfter, r.clock.now.Sub(w.since))
	} else {
		r.result.Expired++
	}
	r.sendAgain(w, retryAfter)
}

// dispatch sends a turn to its engine. If the engine refuses it, another one is tried.
func (r *simulation) dispatch(w *waitingTurn, c *placedTurn) {
	p, entry := w.program, r.entries[w.program.entry]
	r.result.Queued[p.rank][w.class].Served++
	longest := &r.result.LongestWait[p.rank][w.class]
	*longest = max(*longest, r.clock.now.Sub(w.since))
	r.requestCount++
	q := &request{sequence: r.requestCount, rank: r.engineRank(p), blocks: slices.Clone(p.blocks), prompt: p.prompt, toGenerate: w.output}
	var first time.Duration
	q.onFirstToken = func() {
		first = r.clock.now.Add(networkDelay).Sub(c.sentAt)
		r.clock.schedule(networkDelay, func() { entry.recordFirstToken(c) })
	}
	q.onDone = func() {
		p.failures = 0
		r.countNewBlocks(q)
		r.clock.schedule(networkDelay, func() {
			entry.recordCompletion(c, first, q.cached, w.output)
			w.done(true)
		})
	}
	r.clock.schedule(networkDelay, func() {
		if r.engines[c.engine].failing {
			r.clock.schedule(networkDelay, func() { r.handleFailure(w, c) })
			return
		}
		if r.engines[c.engine].submit(q) {
			return
		}
		r.result.Refused++
		r.clock.schedule(networkDelay, func() {
			entry.recordRefusal(c)
			w.tried = append(w.tried, c.engine)
			r.enqueue(w)
		})
	})
}

// engineRank returns the priority of a program's requests at an engine.
func (r *simulation) engineRank(p *program) int {
	if r.options.Control == RankPriorities {
		return p.rank
	}
	return 0
}

// handleFailure ends a turn that its engine failed. The caller sends it again from its start, and
// gives the program up after the third failure in a row.
func (r *simulation) handleFailure(w *waitingTurn, c *placedTurn) {
	p := w.program
	r.entries[p.entry].recordFailure(c)
	if p.failures++; p.failures >= maxFailures {
		w.done(false)
		return
	}
	r.sendAgain(w, resendDelay)
}

// countNewBlocks adds the tokens of a prompt that no engine had prefilled before.
func (r *simulation) countNewBlocks(q *request) {
	fresh := 0
	for _, b := range q.blocks {
		if !r.readBlocks[b] {
			r.readBlocks[b] = true
			fresh++
		}
	}
	r.neededTokens += fresh * blockTokens
}

// endProgram records the outcome of a program, unless it started within warmUp or loops.
func (r *simulation) endProgram(p *program, completed bool, ideal time.Duration) {
	r.active--
	t := p.startedAt.Sub(simulationStart)
	if t < warmUp || p.loops {
		return
	}
	took, allowed := r.clock.now.Sub(p.startedAt), p.deadline.Sub(p.startedAt)
	r.ratios = append(r.ratios, took.Seconds()/ideal.Seconds())
	switch {
	case !completed || took > 2*allowed:
		r.result.Failed++
	case took > allowed:
		r.result.Late++
	default:
		r.result.InTime++
		if len(r.result.Accounts) > 0 {
			r.result.Accounts[p.account].Served++
		}
		r.inTimePerSecond[int(t/time.Second)]++
	}
}

// exchangeLoads sends the load that each entry sees to all other entries.
func (r *simulation) exchangeLoads() {
	sums := make([]upstreamLoad, len(r.engines))
	own := make([][]upstreamLoad, len(r.entries))
	for i, e := range r.entries {
		own[i] = e.loads(len(r.engines))
		for n, l := range own[i] {
			sum := &sums[n]
			sum.calls, sum.backlog, sum.highErrorRate = sum.calls+l.calls, sum.backlog+l.backlog, sum.highErrorRate || l.highErrorRate
		}
	}
	r.clock.schedule(networkDelay, func() {
		for i, e := range r.entries {
			for _, u := range e.table.Snapshot().All {
				sum, self := sums[engineOf(u)], own[i][engineOf(u)]
				u.SetRemoteLoad(sum.calls-self.calls, sum.backlog-self.backlog, r.clock.now.Add(loadReportTTL))
				if sum.highErrorRate {
					u.PeerReportedErrors(r.clock.now.Add(loadReportTTL))
				}
			}
			e.scan()
		}
	})
	if r.active > 0 || r.clock.now.Sub(simulationStart) < r.options.Pattern.period() {
		r.clock.schedule(loadReportInterval, r.exchangeLoads)
	}
}

// injectFault makes engines slow, draining or failing, as the pattern demands.
func (r *simulation) injectFault() {
	pattern := r.options.Pattern
	for i, e := range r.engines {
		if pattern.slowdown != nil {
			e.slowdown *= pattern.slowdown(i)
		}
		if pattern.drains != nil && pattern.drains(i) {
			e.drain()
		}
		e.failing = pattern.fails != nil && pattern.fails(i)
	}
	if pattern.drains == nil {
		return
	}
	for _, e := range r.entries {
		e.applyUpstreams(len(r.engines), r.options.Shape.Engine.Slots, pattern.drains)
	}
}

// summarize completes the result from the counts of the run.
func (r *simulation) summarize() *Result {
	result := &r.result
	// Programs still running at the end count as failed, as they took more than twice their time.
	result.Failed = result.Programs - result.InTime - result.Late
	result.Running = r.active
	slices.Sort(r.ratios)
	if n := len(r.ratios); n > 0 {
		result.P95 = r.ratios[min(n-1, int(math.Ceil(0.95*float64(n))))]
	}
	read := 0
	for _, e := range r.engines {
		read += e.prefilled
		result.Preempted += e.preemptions
	}
	result.RepeatedPrefill = max(0, 1-float64(r.neededTokens)/float64(max(1, read)))
	for i, n := range r.startedPerSecond {
		share := math.NaN()
		if n > 0 {
			share = float64(r.inTimePerSecond[i]) / float64(n)
		}
		result.Series = append(result.Series, share)
	}
	return result
}
