package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"foxhall/internal/placement"
)

const (
	// way is the time from an entry to an engine.
	networkDelay = time.Millisecond
	// tellEvery is how often entries tell each other their loads, which count
	// for tellLife.
	loadReportInterval = 60 * time.Millisecond
	loadReportTTL      = 1500 * time.Millisecond
	// triesMost bounds the engines asked for one turn; then the turn waits
	// retryAfter, and after waitsMost such waits the program is given up.
	maxEnginesTried = 4
	retryDelay      = 150 * time.Millisecond
	maxWaits        = 20
	// hintSpread is how far callers' hints of an answer's length are off, as the
	// standard deviation of their logarithm: right at the median, often far off.
	hintSpread = 0.5
	// failuresMost is how often a turn may fail, and resendAfter the pause before
	// it is sent again.
	maxFailures = 3
	resendDelay = 250 * time.Millisecond
	// loopTurns bounds the turns of a program that loops, as its budget does.
	loopTurns = 40
	// objective is added to each program's aim.
	deadlineAllowance = 250 * time.Millisecond
)

// Options describe one run.
type Options struct {
	Shape   Shape
	Pattern *Pattern
	Policy  placement.Policy
	// Load is the offered load as a share of what the engines can serve.
	Load float64
	Seed uint64
}

// Result is what one run measured, over the programs that began after warmUp.
type Result struct {
	Policy placement.Policy
	// Programs is the number that began, InTime, Late and Failed their ends. A
	// late one took up to twice its time; beyond that it has failed.
	Programs, InTime, Late, Failed int
	// P95 is the time of the 95th of 100 programs over that on idle engines.
	P95 float64
	// Repeated is the share of read prompt tokens that an engine had read before.
	RepeatedPrefill float64
	// Refused counts turns that an engine refused as full.
	Refused int
	// Series has the share in time of the programs that began in each second.
	Series []float64
}

// InTimeShare is the share of programs that were on time.
func (r *Result) InTimeShare() float64 { return float64(r.InTime) / float64(max(1, r.Programs)) }

// run is one run under way.
type simulation struct {
	options Options
	clock   *clock
	// random draws the programs, the same for each policy; hints draws what their
	// callers say of the answers' lengths.
	random, hints *rand.Rand
	engines       []*modelEngine
	entries       []*modelEntry
	requestCount  int
	result        Result
	ratios        []float64
	// known are the blocks that some engine has read; needed counts the tokens
	// read that none had.
	readBlocks       map[uint64]bool
	neededTokens     int
	startedPerSecond []int
	inTimePerSecond  []int
}

// Run plays one run. The same options give the same result.
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

// arrive begins a program and draws when the next begins.
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

// draws returns a program's turns beforehand, so that all policies meet the same.
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

// turn runs the program's next turn, and then the others.
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

// send places a turn until an engine takes it.
func (r *simulation) sendTurn(p *program, out int, tried []int, waits int, done func(bool)) {
	entry := r.entries[p.entry]
	hint := max(1, int(float64(out)*math.Exp(hintSpread*r.hints.NormFloat64())))
	c, ok := entry.place(p, hint, tried)
	if !ok || len(tried) >= maxEnginesTried {
		if ok {
			entry.recordRefusal(c)
		}
		if waits >= maxWaits {
			done(false)
			return
		}
		r.clock.schedule(retryDelay, func() { r.sendTurn(p, out, nil, waits+1, done) })
		return
	}
	r.requestCount++
	q := &request{sequence: r.requestCount, blocks: slices.Clone(p.blocks), prompt: p.prompt, toGenerate: out}
	var first time.Duration
	q.onFirstToken = func() {
		first = r.clock.now.Add(networkDelay).Sub(c.sentAt)
		r.clock.schedule(networkDelay, func() { entry.recordFirstToken(c) })
	}
	q.onDone = func() {
		p.failures = 0
		r.countNewBlocks(q)
		r.clock.schedule(networkDelay, func() {
			entry.recordCompletion(c, first, q.cached, out)
			done(true)
		})
	}
	r.clock.schedule(networkDelay, func() {
		if r.engines[c.engine].failing {
			r.clock.schedule(networkDelay, func() { r.handleFailure(p, c, out, waits, done) })
			return
		}
		if r.engines[c.engine].submit(q) {
			return
		}
		r.result.Refused++
		r.clock.schedule(networkDelay, func() {
			entry.recordRefusal(c)
			r.sendTurn(p, out, append(tried, c.engine), waits, done)
		})
	})
}

// failed ends a turn that its engine failed. The caller sends it again, from its
// start, and gives the program up after the third time in a row.
func (r *simulation) handleFailure(p *program, c *placedTurn, out, waits int, done func(bool)) {
	r.entries[p.entry].recordFailure(c)
	if p.failures++; p.failures >= maxFailures {
		done(false)
		return
	}
	r.clock.schedule(resendDelay, func() { r.sendTurn(p, out, nil, waits, done) })
}

// count adds up how much of a prompt had to be read by some engine.
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

func (r *simulation) endProgram(p *program, whole bool, ideal time.Duration) {
	t := p.startedAt.Sub(simulationStart)
	if t < warmUp || p.loops {
		return
	}
	took, aim := r.clock.now.Sub(p.startedAt), p.deadline.Sub(p.startedAt)
	r.ratios = append(r.ratios, took.Seconds()/ideal.Seconds())
	switch {
	case !whole || took > 2*aim:
		r.result.Failed++
	case took > aim:
		r.result.Late++
	default:
		r.result.InTime++
		r.inTimePerSecond[int(t/time.Second)]++
	}
}

// tell passes the entries' loads on among them.
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
				sum, mine := sums[u.Name], own[i][u.Name]
				u.SetRemoteLoad(sum.calls-mine.calls, sum.backlog-mine.backlog, r.clock.now.Add(loadReportTTL))
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

// fault lets engines turn slow or leave.
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

func (r *simulation) summarize() *Result {
	result := &r.result
	// What is still under way at the end took more than twice its time.
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
