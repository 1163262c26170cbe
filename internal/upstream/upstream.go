// Package upstream holds the aggregate of a data centre's upstreams: model
// engines and replicas of services, with their health, their load and their
// learned speeds.
//
// The traffic path reads atomics and takes at most the short lock of one
// upstream; no lock covers the whole table.
package upstream

import (
	"sync"
	"sync/atomic"
	"time"

	"foxhall/internal/usage"
)

// Upstream is one model engine or replica of a service.
type Upstream struct {
	usage.Upstream
	// ID is a small number, unique in the table as long as the upstream is in it.
	ID uint32

	inFlight atomic.Int32
	// backlog is the number of prompt tokens sent and not yet prefilled.
	backlog atomic.Int64
	// others is the number of calls that other instances have there, by the
	// last report or their own word, and othersBacklog their prompt tokens.
	remoteCalls   atomic.Int32
	remoteBacklog atomic.Int64
	remoteUntil   atomic.Int64
	// lastProgress and patience are in nanoseconds; see stalled.
	lastProgress    atomic.Int64
	progressTimeout atomic.Int64
	// slowness is the ratio of measured to expected time, in thousandths.
	slowness   atomic.Int64
	slownessAt atomic.Int64

	errorRate errorRate

	draining  atomic.Bool
	probedAt  atomic.Int64
	openUntil atomic.Int64
	rampFrom  atomic.Int64
	// trial is the number of the trial under way, 0 for none; trials counts them.
	trial  atomic.Uint64
	trials atomic.Uint64

	mu       sync.Mutex
	drain    drainState
	breaker  breaker
	ownCalls inFlightHistory
}

// Cell joins an upstream with one model or service that it serves.
type Endpoint struct {
	Upstream *Upstream
	// Name is the model's or service's name.
	Name string

	speed   learnedSpeed
	serving atomic.Pointer[Serving]
}

// Serving tells under which name an engine serves a model, and whether it is loaded.
type Serving struct {
	Name  string
	Ready bool
}

// Serving returns how the model is served; until the engine's state is known
// it is taken to be loaded under its own name.
func (e *Endpoint) Serving() Serving {
	if s := e.serving.Load(); s != nil {
		return *s
	}
	return Serving{Name: e.Name, Ready: true}
}

// SetServing replaces what is known of how the model is served.
func (e *Endpoint) SetServing(s Serving) { e.serving.Store(&s) }

// Speed returns the learned speed of the cell.
func (e *Endpoint) Speed() Speed { return e.speed.load() }

// Condition tells whether an upstream may get new work.
type Condition uint8

// The conditions of an upstream, the worst that applies.
const (
	Usable Condition = iota
	// Full says that it runs as many calls as it may at present.
	Full
	// Stalled says that its calls make no progress.
	Stalled
	// Broken says that the circuit breaker is open.
	CircuitOpen
	// Leaving says that it drains or is gone.
	Draining
)

// String returns the condition's name in log lines.
func (c Condition) String() string {
	return [...]string{"usable", "full", "stalled", "broken", "leaving"}[c]
}

// Load is what is known of an upstream's load at one moment.
type Load struct {
	Condition Condition
	// Own is the number of this instance's calls there; Total includes the others'.
	Own, Total int
	// Limit is the number of calls that it may have at present.
	Limit int
	// OwnBacklog is the number of this instance's prompt tokens not yet
	// prefilled; Backlog includes the others' where they tell it.
	OwnBacklog, Backlog int
	// Slowness multiplies expected times; 1 is as expected.
	Slowness float64
	// Erring is the share of calls that are answered with a failure.
	ErrorRate float64
}

// Load returns the upstream's load at now, in Unix nanoseconds.
func (u *Upstream) Load(now int64) Load {
	own := int(u.inFlight.Load())
	total := own
	backlog := int(u.backlog.Load())
	l := Load{Own: own, Limit: u.limit(now), OwnBacklog: backlog, Slowness: u.currentSlowness(now), ErrorRate: u.errorRate.current(now)}
	if now < u.remoteUntil.Load() {
		total += int(u.remoteCalls.Load())
		backlog += int(u.remoteBacklog.Load())
	}
	l.Total, l.Backlog = total, backlog
	l.Condition = u.condition(now, l)
	return l
}

func (u *Upstream) condition(now int64, l Load) Condition {
	switch {
	case u.draining.Load():
		return Draining
	case u.breakerRejects(now):
		return CircuitOpen
	case u.stalled(now, l.Own):
		return Stalled
	case l.Own >= l.Limit:
		return Full
	default:
		return Usable
	}
}

// stalled reports that calls are under way and none has made progress for as
// long as the most patient of them allows. An engine that hangs still accepts
// calls and may still report its load, so only missing progress shows it.
func (u *Upstream) stalled(now int64, own int) bool {
	return own > 0 && now-u.lastProgress.Load() > u.progressTimeout.Load()
}

// Begin notes a call of so many uncached prompt tokens that is about to be
// sent and is expected to make progress within patience.
func (u *Upstream) Begin(now int64, tokens int, progressTimeout time.Duration) {
	if u.inFlight.Add(1) == 1 {
		u.lastProgress.Store(now)
		u.progressTimeout.Store(int64(progressTimeout))
	} else if int64(progressTimeout) > u.progressTimeout.Load() {
		u.progressTimeout.Store(int64(progressTimeout))
	}
	u.backlog.Add(int64(tokens))
	u.mu.Lock()
	u.ownCalls.record(now, u.inFlight.Load())
	u.mu.Unlock()
}

// Progress notes that a call there made progress: a first token, a chunk or an end.
func (u *Upstream) Progress(now int64) { u.lastProgress.Store(now) }

// Prefilled notes that so many prompt tokens are no longer waiting.
func (u *Upstream) Prefilled(tokens int) { u.backlog.Add(-int64(tokens)) }

// Finish notes that a call is over.
func (u *Upstream) Finish(now int64) {
	u.inFlight.Add(-1)
	u.mu.Lock()
	u.ownCalls.record(now, u.inFlight.Load())
	u.mu.Unlock()
}
