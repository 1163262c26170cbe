package limit

import "time"

const (
	// callsGuess is the number of calls of a program in a window before one has been seen.
	callsGuess = 10
	// callsMemory is the number of programs over which it is learned.
	callsMemory = 8
	// settledAge is the age from which on a program's calls tell its pace.
	settledAge = time.Second
	// pausesMost is how many times the mean time between its calls a program may pause.
	pausesMost = 3
	// rememberWindows is for how many windows without calls a program is remembered.
	rememberWindows = 3
)

// programs are a customer's programs that this instance has calls of.
type programs struct {
	known map[string]*programUse
	// calls is the learned number of calls of a program in a window; 0 for unknown.
	calls float64
	swept time.Time
}

// programUse is what a program has used since it began.
type programUse struct {
	began, last time.Time
	calls       float64
}

// knows reports whether the program has begun.
func (p *programs) knows(name string) bool { return p.known[name] != nil }

// underWay reports whether more calls are to be expected soon: it paused for no longer than
// some of its calls were apart.
func (u *programUse) underWay(now time.Time, window time.Duration) bool {
	apart := u.last.Sub(u.began) / time.Duration(max(1, u.calls-1))
	return now.Sub(u.last) < min(window, max(settledAge, pausesMost*apart))
}

// called counts a call of a program.
func (p *programs) called(name string, now time.Time, window time.Duration) {
	if p.known == nil {
		p.known = map[string]*programUse{}
	}
	p.sweep(now, window)
	use := p.known[name]
	if use == nil {
		use = &programUse{began: now}
		p.known[name] = use
	}
	use.last = now
	use.calls++
}

// expected is the number of calls in a window that the programs under way and one more make.
func (p *programs) expected(now time.Time, window time.Duration) float64 {
	under := 1
	for _, use := range p.known {
		if use.underWay(now, window) {
			under++
		}
	}
	return float64(under) * p.mean(now, window)
}

// sweep forgets programs that are over.
func (p *programs) sweep(now time.Time, window time.Duration) {
	if now.Sub(p.swept) < window {
		return
	}
	p.swept = now
	for name, use := range p.known {
		if now.Sub(use.last) > rememberWindows*window {
			p.learn(use, window)
			delete(p.known, name)
		}
	}
}

// learn takes in a program that is over.
func (p *programs) learn(use *programUse, window time.Duration) {
	calls := min(use.calls, paceOf(use, use.last, window))
	if p.calls == 0 {
		p.calls = calls
		return
	}
	p.calls += (calls - p.calls) / callsMemory
}

// mean is the number of calls of a program in a window: of those under way as far as their
// pace can be told, else of earlier ones.
func (p *programs) mean(now time.Time, window time.Duration) float64 {
	sum, n := 0.0, 0.0
	for _, use := range p.known {
		if use.underWay(now, window) && now.Sub(use.began) >= settledAge {
			sum, n = sum+paceOf(use, now, window), n+1
		}
	}
	earlier := p.calls
	if earlier == 0 {
		earlier = callsGuess
	}
	return (sum + earlier) / (n + 1)
}

// paceOf is the number of calls in a window that the program makes at its pace.
func paceOf(use *programUse, now time.Time, window time.Duration) float64 {
	return use.calls * window.Seconds() / max(settledAge, min(window, now.Sub(use.began))).Seconds()
}
