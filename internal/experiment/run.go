package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"foxhall/internal/placement"
)

const (
	// networkDelay is the one-way delay between an entry and an engine or another entry.
	networkDelay = time.Millisecond
	// loadReportInterval is the interval at which entries report their loads to each other; a
	// report is valid for loadReportTTL.
	loadReportInterval = 60 * time.Millisecond
	loadReportTTL      = 1500 * time.Millisecond
	// maxEnginesTried is the number of engines tried for one turn before it waits for retryDelay;
	// after maxWaits such waits the program fails.
	maxEnginesTried = 4
	retryDelay      = 150 * time.Millisecond
	maxWaits        = 20
	// hintSpread is the error of callers' hints of a response's length, as the standard deviation
	// of its logarithm: the median is right, but single hints are often far off.
	hintSpread = 0.5
	// maxFailures is the number of failures in a row at which a program fails; resendDelay is the
	// pause before a failed turn is sent again.
	maxFailures = 3
	resendDelay = 250 * time.Millisecond
	// loopTurns is the number of turns of a program that loops, as limited by its budget.
	loopTurns = 40
	// deadlineAllowance is added to the deadline of each program.
	deadlineAllowance = 250 * time.Millisecond
)

// Options describes one run.
type Options struct {
	Shape   Shape
	Pattern *Pattern
	Policy  placement.Policy
	// Load is the offered load as a share of what the engines can serve.
	Load float64
	Seed uint64
}

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
	// Refused is the number of turns that an engine refused because it was full or draining.
	Refused int
	// Series has, for each second, the share on time of the programs that started in it.
	Series []float64
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
	engines       []*modelEngine
	entries       []*modelEntry
	requestCount  int
	result        Result
	ratios        []float64
	// readBlocks is the set of blocks that some engine has prefilled; neededTokens counts the
	// tokens of those blocks, each block once.
	readBlocks       map[uint64]bool
	neededTokens     int
	startedPerSecond []int
	inTimePerSecond  []int
}

// Run simulates one run. The same options give the same result.
func Run(o Options) (*Result, error) {
	r := &simulation{
		options: o, clock: &clock{now: simulationStart},
		random: rand.New(rand.NewPCG(o.Seed, 1)), hints: rand.New(rand.NewPCG(o.Seed, 2)),
		readBlocks: map[uint64]bool{}, startedPerSecond: make([]int, int(arrivalPeriod/time.Second)), inTimePerSecond: make([]int, int(arrivalPeriod/time.Second)),
	}
	r.result.Policy = o.Policy
	for i := range o.Shape.Engines {
		e, err := newModelEngine(o.Shape.Engine, r.clock, o.Shape.Speeds[i%len(o.Shape.Speeds)])
		if err != nil {
			return nil, err
		}
		r.engines = append(r.engines, e)
	}
	for i := range o.Shape.Entries {
		random := rand.New(rand.NewPCG(o.Seed, uint64(3+i)))
		r.entries = append(r.entries, newModelEntry(o.Policy, r.clock, random, o.Shape.Engines, o.Shape.Engine.Slots))
	}
	r.clock.schedule(0, func() { r.arrive(0) })
	r.clock.schedule(loadReportInterval, r.exchangeLoads)
	r.clock.schedule(faultAt, r.injectFault)
	r.clock.run(simulationStart.Add(2 * arrivalPeriod))
	return r.summarize(), nil
}

// arrive starts a program and draws the time at which the next one starts.
func (r *simulation) arrive(number int) {
	t := r.clock.now.Sub(simulationStart)
	if t >= arrivalPeriod {
		return
	}
	r.startProgram(number, t)
	rate := r.options.Shape.rate(r.options.Load)
	if f := r.options.Pattern.rate; f != nil {
		rate *= f(t)
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
		r.startedPerSecond[int(t/time.Second)]++
	}
	r.runTurn(p, inputs, outputs, pauses, ideal)
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
	r.sendTurn(p, outputs[0], nil, 0, func(ok bool) {
		if !ok || len(inputs) == 1 {
			r.endProgram(p, ok, ideal)
			return
		}
		p.grow(outputs[0], uint64(p.number)<<8|1<<63)
		r.clock.schedule(pauses[0], func() { r.runTurn(p, inputs[1:], outputs[1:], pauses[1:], ideal) })
	})
}

// sendTurn places a turn and tries again until an engine takes it or maxWaits is reached.
func (r *simulation) sendTurn(p *program, output int, tried []int, waits int, done func(bool)) {
	entry := r.entries[p.entry]
	hint := max(1, int(float64(output)*math.Exp(hintSpread*r.hints.NormFloat64())))
	c, ok := entry.place(p, hint, tried)
	if !ok || len(tried) >= maxEnginesTried {
		if ok {
			entry.recordRefusal(c)
		}
		if waits >= maxWaits {
			done(false)
			return
		}
		r.clock.schedule(retryDelay, func() { r.sendTurn(p, output, nil, waits+1, done) })
		return
	}
	r.requestCount++
	q := &request{sequence: r.requestCount, blocks: slices.Clone(p.blocks), prompt: p.prompt, toGenerate: output}
	var first time.Duration
	q.onFirstToken = func() {
		first = r.clock.now.Add(networkDelay).Sub(c.sentAt)
		r.clock.schedule(networkDelay, func() { entry.recordFirstToken(c) })
	}
	q.onDone = func() {
		p.failures = 0
		r.countNewBlocks(q)
		r.clock.schedule(networkDelay, func() {
			entry.recordCompletion(c, first, q.cached, output)
			done(true)
		})
	}
	r.clock.schedule(networkDelay, func() {
		if r.engines[c.engine].failing {
			r.clock.schedule(networkDelay, func() { r.handleFailure(p, c, output, waits, done) })
			return
		}
		if r.engines[c.engine].submit(q) {
			return
		}
		r.result.Refused++
		r.clock.schedule(networkDelay, func() {
			entry.recordRefusal(c)
			r.sendTurn(p, output, append(tried, c.engine), waits, done)
		})
	})
}

// handleFailure ends a turn that its engine failed. The caller sends it again from its start, and
// gives the program up after the third failure in a row.
func (r *simulation) handleFailure(p *program, c *placedTurn, output, waits int, done func(bool)) {
	r.entries[p.entry].recordFailure(c)
	if p.failures++; p.failures >= maxFailures {
		done(false)
		return
	}
	r.clock.schedule(resendDelay, func() { r.sendTurn(p, output, nil, waits, done) })
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
		r.inTimePerSecond[int(t/time.Second)]++
	}
}

// exchangeLoads sends the load that each entry sees to all other entries.
func (r *simulation) exchangeLoads() {
	sums := map[string]upstreamLoad{}
	own := make([]map[string]upstreamLoad, len(r.entries))
	for i, e := range r.entries {
		own[i] = e.loads()
		for name, l := range own[i] {
			sum := sums[name]
			sums[name] = upstreamLoad{calls: sum.calls + l.calls, backlog: sum.backlog + l.backlog, highErrorRate: sum.highErrorRate || l.highErrorRate}
		}
	}
	r.clock.schedule(networkDelay, func() {
		for i, e := range r.entries {
			for _, u := range e.table.Snapshot().All {
				sum, self := sums[u.Name], own[i][u.Name]
				u.SetRemoteLoad(sum.calls-self.calls, sum.backlog-self.backlog, r.clock.now.Add(loadReportTTL))
				if sum.highErrorRate {
					u.PeerReportedErrors(r.clock.now.Add(loadReportTTL))
				}
			}
		}
	})
	if r.clock.now.Sub(simulationStart) < 2*arrivalPeriod {
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
	slices.Sort(r.ratios)
	if n := len(r.ratios); n > 0 {
		result.P95 = r.ratios[min(n-1, int(math.Ceil(0.95*float64(n))))]
	}
	read := 0
	for _, e := range r.engines {
		read += e.prefilled
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
