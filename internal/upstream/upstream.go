// Package upstream keeps the table of a data centre's upstreams (model engines and replicas of
// services) with their health, load and learned speed.
//
// The request path reads atomics and takes at most the lock of one upstream, for a short time; no
// lock covers the whole table.
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
	// ID is a small number, unique among the upstreams in the table.
	ID uint32
	// Hash is the hash of the name, see NameHash.
	Hash uint64

	active *activeSet
	// endpoints and position, the index in the newest snapshot's list, are the table's.
	endpoints []*Endpoint
	position  int

	inFlight atomic.Int32
	// backlog is the number of this instance's prompt tokens sent and not yet prefilled.
	backlog atomic.Int64
	// remoteCalls is the number of calls that other instances have in flight at the upstream,
	// according to its last load report or to those instances; remoteBacklog is the number of their
	// prompt tokens not yet prefilled. Both count until remoteUntil, in Unix nanoseconds.
	remoteCalls   atomic.Int32
	remoteBacklog atomic.Int64
	remoteUntil   atomic.Int64
	// lastProgress is in Unix nanoseconds, progressTimeout in nanoseconds; see stalled.
	lastProgress    atomic.Int64
	progressTimeout atomic.Int64
	// slowness is the ratio of measured to expected time, in thousandths, as of slownessAt
	// (Unix nanoseconds).
	slowness   atomic.Int64
	slownessAt atomic.Int64

	errorRate errorRate
	silence   silence
	refusals  refusals

	draining atomic.Bool
	// probedAt, openUntil and rampFrom are in Unix nanoseconds; 0 stands for never probed, for a
	// closed breaker and for no slow start. brokenSince is when the breaker opened last after it was closed.
	probedAt    atomic.Int64
	openUntil   atomic.Int64
	rampFrom    atomic.Int64
	brokenSince atomic.Int64
	// trial is the number of the half-open trial in progress, 0 for none; trials counts all trials.
	trial  atomic.Uint64
	trials atomic.Uint64

	mu      sync.Mutex
	drain   drainState
	breaker breaker
	// ownCalls is nil until the first call: most upstreams of a large fleet have none.
	ownCalls *inFlightHistory
}

func newUpstream(entry usage.Upstream, id uint32, active *activeSet) *Upstream {
	return &Upstream{Upstream: entry, ID: id, Hash: NameHash(entry.Name), active: active}
}

// Endpoint is an upstream's offer of one model or service.
type Endpoint struct {
	Upstream *Upstream
	// Name is the model's or service's name.
	Name string

	group *group
	// position is the index in the newest snapshot's list of the group.
	position atomic.Int32
	speed    learnedSpeed
	serving  atomic.Pointer[Serving]
}

// Position returns the endpoint's index in endpoints, and false if it is not in that list.
func (e *Endpoint) Position(endpoints []*Endpoint) (int, bool) {
	at := int(e.position.Load())
	return at, at < len(endpoints) && endpoints[at] == e
}

// MeanSpeed returns the mean of the learned speeds of all endpoints of the same model or service,
// or DefaultSpeed if none has been learned.
func (e *Endpoint) MeanSpeed() Speed { return e.group.mean() }

// Endpoint returns the upstream's endpoint for a model or service of that name, or nil.
func (u *Upstream) Endpoint(name string) *Endpoint {
	for _, e := range u.endpoints {
		if e.Name == name {
			return e
		}
	}
	return nil
}

// Serving describes how an engine serves a model: under which name, and whether it is loaded.
type Serving struct {
	Name  string
	Ready bool
}

// Serving returns how the model is served. Until the engine's state is known, the model is assumed
// to be loaded under its own name.
func (e *Endpoint) Serving() Serving {
	if s := e.serving.Load(); s != nil {
		return *s
	}
	return Serving{Name: e.Name, Ready: true}
}

// SetServing sets how the model is served.
func (e *Endpoint) SetServing(s Serving) { e.serving.Store(&s) }

// Speed returns the learned speed of the endpoint.
func (e *Endpoint) Speed() Speed { return e.speed.load() }

// Condition is the state that decides whether an upstream may get new work.
type Condition uint8

// The conditions of an upstream. Where several apply, the last in this list counts.
const (
	// Usable is the condition of an upstream that may get new work.
	Usable Condition = iota
	// Full is the condition of an upstream with as many calls in flight as its present limit, or as it had when it
	// refused one.
	Full
	// Stalled is the condition of an upstream whose calls make no progress.
	Stalled
	// CircuitOpen is the condition of an upstream whose circuit breaker rejects calls.
	CircuitOpen
	// Draining is the condition of an upstream that drains or has been removed.
	Draining
)

// String returns the condition's name as used in log lines.
func (c Condition) String() string {
	return [...]string{"usable", "full", "stalled", "broken", "leaving"}[c]
}

// Load is the known load of an upstream at one moment.
type Load struct {
	Condition Condition
	// MayReopen is set for CircuitOpen if the breaker has opened so recently that the upstream may be back soon.
	MayReopen bool
	// Own is the number of this instance's calls in flight; Total includes those of other instances.
	Own, Total int
	// Limit is the number of calls that the upstream may have in flight at present.
	Limit int
	// OwnBacklog is the number of this instance's prompt tokens not yet prefilled; Backlog includes
	// those of other instances that report them.
	OwnBacklog, Backlog int
	// Slowness is the factor on expected times; 1 means as fast as expected.
	Slowness float64
	// ErrorRate is the share of calls, from 0 to 1, that the upstream fails with an error of its own.
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
	if u.isSilent(own) {
		l.ErrorRate = silentErrorRate
	}
	l.Condition = u.condition(now, l)
	l.MayReopen = l.Condition == CircuitOpen && now-u.brokenSince.Load() < int64(reopenTime)
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
	case l.Own >= l.Limit || u.refusals.expected(now, l.Own):
		return Full
	default:
		return Usable
	}
}

// stalled reports whether own calls are in flight and none has made progress within the longest of
// their progress timeouts. An engine that hangs still accepts calls and may still report its load,
// so only missing progress reveals it.
func (u *Upstream) stalled(now int64, own int) bool {
	return own > 0 && now-u.lastProgress.Load() > u.progressTimeout.Load()
}

// Begin records a call that is about to be sent. tokens is the number of its uncached prompt
// tokens; the call is expected to make progress within progressTimeout.
func (u *Upstream) Begin(now int64, tokens int, progressTimeout time.Duration) {
	if u.inFlight.Add(1) == 1 {
		u.silence.silent.Store(false)
		u.active.add(u)
		u.lastProgress.Store(now)
		u.progressTimeout.Store(int64(progressTimeout))
	} else if int64(progressTimeout) > u.progressTimeout.Load() {
		u.progressTimeout.Store(int64(progressTimeout))
	}
	u.backlog.Add(int64(tokens))
	u.recordInFlight(now)
}

// RecordProgress records that a call to the upstream made progress: a first token, a chunk or its
// end.
func (u *Upstream) RecordProgress(now int64) {
	u.lastProgress.Store(now)
	u.RecordHeard(now)
}

// RecordSent records that a call was sent, from when on it is expected to make progress.
func (u *Upstream) RecordSent(now int64) { u.lastProgress.Store(now) }

// RecordPrefilled removes prompt tokens from the backlog.
func (u *Upstream) RecordPrefilled(tokens int) { u.backlog.Add(-int64(tokens)) }

// Finish records the end of a call.
func (u *Upstream) Finish(now int64) {
	u.inFlight.Add(-1)
	u.recordInFlight(now)
}

func (u *Upstream) recordInFlight(now int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.ownCalls == nil {
		u.ownCalls = &inFlightHistory{}
	}
	u.ownCalls.record(now, u.inFlight.Load())
}
