package limit

import "time"

const (
	// callsGuess is the number of calls of a program in a window before one has been seen.
	defaultProgramCalls = 10
	// callsMemory is the number of programs over which it is learned.
	programCallSamples = 8
	// settledAge is the age from which on a program's calls tell its pace.
	minPaceAge = time.Second
	// pausesMost is how many times the mean time between its calls a program may pause.
	maxPauseFactor = 3
	// rememberWindows is for how many windows without calls a program is remembered.
	idleProgramWindows = 3
)

// programs are a customer's programs that this instance has calls of.
type programs struct {
	byName map[string]*programUsage
	// calls is the learned number of calls of a program in a window; 0 for unknown.
	learnedCalls float64
	lastSweep    time.Time
}

// programUse is what a program has used since it began.
type programUsage struct {
	firstCall, lastCall time.Time
	calls               float64
}

// knows reports whether the program has begun.
func (p *programs) contains(name string) bool { return p.byName[name] != nil }

// underWay reports whether more calls are to be expected soon: it paused for no longer than
// some of its calls were apart.
func (u *programUsage) isActive(now time.Time, window time.Duration) bool {
	apart := u.lastCall.Sub(u.firstCall) / time.Duration(max(1, u.calls-1))
	return now.Sub(u.lastCall) < min(window, max(minPaceAge, maxPauseFactor*apart))
}

// called counts a call of a program.
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

// expected is the number of calls in a window that the programs under way and one more make.
func (p *programs) expectedCalls(now time.Time, window time.Duration) float64 {
	active := 1
	for _, use := range p.byName {
		if use.isActive(now, window) {
			active++
		}
	}
	return float64(active) * p.meanCallsPerWindow(now, window)
}

// sweep forgets programs that are over.
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

// learn takes in a program that is over.
func (p *programs) recordEnded(use *programUsage, window time.Duration) {
	calls := min(use.calls, callsPerWindow(use, use.lastCall, window))
	if p.learnedCalls == 0 {
		p.learnedCalls = calls
		return
	}
	p.learnedCalls += (calls - p.learnedCalls) / programCallSamples
}

// mean is the number of calls of a program in a window: of those under way as far as their
// pace can be told, else of earlier ones.
func (p *programs) meanCallsPerWindow(now time.Time, window time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, use := range p.byName {
		if use.isActive(now, window) && now.Sub(use.firstCall) >= minPaceAge {
			sum, n = sum+callsPerWindow(use, now, window), n+1
		}
	}
	earlier := p.learnedCalls
	if earlier == 0 {
		earlier = defaultProgramCalls
	}
	return (sum + earlier) / (n + 1)
}

// paceOf is the number of calls in a window that the program makes at its pace.
func callsPerWindow(use *programUsage, now time.Time, window time.Duration) float64 {
	return use.calls * window.Seconds() / max(minPaceAge, min(window, now.Sub(use.firstCall))).Seconds()
}
