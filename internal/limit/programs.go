package limit

import "time"

const (
	// defaultProgramCalls is the assumed number of calls per window of a program before the first
	// one has ended.
	defaultProgramCalls = 10
	// programCallSamples is the number of programs that the moving mean of learnedCalls spans.
	programCallSamples = 8
	// minRateAge is the age from which on a program's call rate is used.
	minRateAge = time.Second
	// maxPauseFactor bounds the pause of an active program, in mean intervals between its calls.
	maxPauseFactor = 3
	// idleProgramWindows is the number of windows without calls after which a program has ended.
	idleProgramWindows = 3
)

// programs tracks the programs of a customer that have calls on this instance.
type programs struct {
	byName map[string]*programUsage
	// learnedCalls is the mean number of calls per window of ended programs; 0 if unknown.
	learnedCalls float64
	lastSweep    time.Time
}

// programUsage counts the calls of a program since its start.
type programUsage struct {
	firstCall, lastCall time.Time
	calls               float64
}

// contains reports whether the program has had calls on this instance and has not ended.
func (p *programs) contains(name string) bool { return p.byName[name] != nil }

// isActive reports whether more calls are expected soon: the pause since the last call is shorter
// than a window and than the longer of minRateAge and maxPauseFactor mean intervals between calls.
func (u *programUsage) isActive(now time.Time, window time.Duration) bool {
	meanInterval := u.lastCall.Sub(u.firstCall) / time.Duration(max(1, u.calls-1))
	return now.Sub(u.lastCall) < min(window, max(minRateAge, maxPauseFactor*meanInterval))
}

// recordCall counts a call of a program.
func (p *programs) recordCall(name string, now time.Time, window time.Duration) {
	if p.byName == nil {
		p.byName = map[string]*programUsage{}
	}
	p.sweep(now, window)
	use := p.byName[name]
	if use == nil {
		use = &programUsage{firstCall: now}
		p.byName[name] = use
	}
	use.lastCall = now
	use.calls++
}

// expectedCalls returns the number of calls per window that the active programs and one more make.
func (p *programs) expectedCalls(now time.Time, window time.Duration) float64 {
	active := 1
	for _, use := range p.byName {
		if use.isActive(now, window) {
			active++
		}
	}
	return float64(active) * p.meanCallsPerWindow(now, window)
}

// sweep removes programs that have ended.
func (p *programs) sweep(now time.Time, window time.Duration) {
	if now.Sub(p.lastSweep) < window {
		return
	}
	p.lastSweep = now
	for name, use := range p.byName {
		if now.Sub(use.lastCall) > idleProgramWindows*window {
			p.recordEnded(use, window)
			delete(p.byName, name)
		}
	}
}

// recordEnded adds an ended program to the mean.
func (p *programs) recordEnded(use *programUsage, window time.Duration) {
	calls := min(use.calls, callsPerWindow(use, use.lastCall, window))
	if p.learnedCalls == 0 {
		p.learnedCalls = calls
		return
	}
	p.learnedCalls += (calls - p.learnedCalls) / programCallSamples
}

// meanCallsPerWindow returns the mean number of calls per window of a program, over the active
// programs that are old enough for a rate, with the mean of the ended ones counted as one program.
func (p *programs) meanCallsPerWindow(now time.Time, window time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, use := range p.byName {
		if use.isActive(now, window) && now.Sub(use.firstCall) >= minRateAge {
			sum, n = sum+callsPerWindow(use, now, window), n+1
		}
	}
	earlier := p.learnedCalls
	if earlier == 0 {
		earlier = defaultProgramCalls
	}
	return (sum + earlier) / (n + 1)
}

// callsPerWindow returns the number of calls in a window that the program makes at its present rate.
func callsPerWindow(use *programUsage, now time.Time, window time.Duration) float64 {
	return use.calls * window.Seconds() / max(minRateAge, min(window, now.Sub(use.firstCall))).Seconds()
}
