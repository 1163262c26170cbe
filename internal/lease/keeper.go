package lease

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

const (
	// writeAttempts bounds the attempts to write in one renewal.
	writeAttempts = 2
	// callsPerSecond and callsBurst bound the store calls of a manager. A holder
	// makes one write per renewal; the rest is for write conflicts.
	callsPerSecond = 1
	callsBurst     = 6
)

// errWriteNotApplied indicates that the object does not contain the manager's write.
var errWriteNotApplied = errors.New("lease: write did not take effect")

// Options configure a Manager.
type Options struct {
	// Self is this process's cohort; its data centre names the lease object.
	Self program.Cohort
	// Duties are the duties that this instance takes when they are free.
	Duties []Duty
	Timing Timing
	Store  store.Client
	// ShouldContend reports whether this instance should try to take free duties.
	// It is false on all but a few instances of a data centre, so that the others
	// do not read the object.
	ShouldContend func() bool
	// OnChange is called with each new status, in order. It must not block.
	OnChange func(Status)
	Log      log.Interface
	Registry metrics.Registry
}

// Status is the state of a data centre's duties as last seen by a manager.
type Status struct {
	Duties []DutyStatus
}

// DutyStatus is the last seen holder of a duty.
type DutyStatus struct {
	Duty   Duty
	Holder program.Cohort
	Epoch  uint64
	// HeldHere reports whether this instance is the holder.
	HeldHere bool
}

// Manager acquires, renews and releases leases.
type Manager struct {
	options  Options
	key      store.Key
	limiter  *rate.Limiter
	tokens   atomic.Pointer[map[Duty]Token]
	lastTick atomic.Pointer[time.Time]
	calls    metrics.Counter
	pauses   metrics.Counter
	lost     metrics.Counter

	// semaphore serialises renewals and Release and guards the fields below. It
	// is a channel rather than a mutex because its holder waits for the store: a
	// stopping instance stops waiting for it at its deadline and does not exceed
	// its grace period.
	semaphore chan struct{}
	leases    leaseSet
	version   store.Version
	known     bool // leases and version are the last seen state of the object
	observer  observer
	status    Status
}

// NewManager returns a manager that holds no leases.
func NewManager(o Options) (*Manager, error) {
	if err := o.Timing.Check(); err != nil {
		return nil, err
	}
	m := &Manager{
		options:   o,
		key:       store.Key{Kind: Kind, Name: o.Self.DataCentre()},
		limiter:   rate.NewLimiter(callsPerSecond, callsBurst),
		calls:     metrics.GetOrRegisterCounter("lease.store_calls", o.Registry),
		pauses:    metrics.GetOrRegisterCounter("lease.pauses", o.Registry),
		lost:      metrics.GetOrRegisterCounter("lease.lost", o.Registry),
		observer:  observer{},
		semaphore: make(chan struct{}, 1),
	}
	m.tokens.Store(&map[Duty]Token{})
	m.recordTick(time.Now())
	return m, nil
}

func (m *Manager) recordTick(now time.Time) { m.lastTick.Store(&now) }

// Held returns the token of a duty if this instance may perform it now. It costs
// two atomic loads and is to be called before each action.
//
// A process that was paused, or is too busy to run this package's own loop, may
// have lost the lease unnoticed and must renew before it acts.
func (m *Manager) Held(duty Duty) (Token, bool) {
	now := time.Now()
	token, ok := (*m.tokens.Load())[duty]
	if !ok || !token.Valid(now) || m.isPaused(now) {
		return Token{}, false
	}
	return token, true
}

func (m *Manager) isPaused(now time.Time) bool {
	return now.Sub(*m.lastTick.Load()) > m.options.Timing.Pause
}

// Run acquires and renews leases until ctx ends. It does not release them.
func (m *Manager) Run(ctx context.Context) error {
	ticks := time.NewTicker(m.options.Timing.Pause / 4)
	defer ticks.Stop()
	renewals := time.NewTicker(m.options.Timing.Renew)
	defer renewals.Stop()
	due := make(chan struct{}, 1)
	due <- struct{}{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.renewWhenDue(ctx, due)
	}()
	defer func() { <-done }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			m.checkPause(due)
		case <-renewals.C:
			signal(due)
		}
	}
}

func signal(due chan struct{}) {
	select {
	case due <- struct{}{}:
	default:
	}
}

// checkPause records that the loop runs. After a pause it drops the tokens, so
// that no action uses them before they are renewed, and requests a renewal.
func (m *Manager) checkPause(due chan struct{}) {
	now := time.Now()
	if m.isPaused(now) {
		m.pauses.Inc(1)
		m.tokens.Store(&map[Duty]Token{})
		signal(due)
	}
	m.recordTick(now)
}

func (m *Manager) renewWhenDue(ctx context.Context, due <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
		}
		callCtx, cancel := context.WithTimeout(ctx, m.options.Timing.Renew)
		if err := m.renew(callCtx); err != nil && ctx.Err() == nil {
			m.options.Log.WithError(err).Warn("lease: renewal failed; retried at the next interval")
		}
		cancel()
	}
}

// lock acquires the semaphore, or fails when ctx ends.
func (m *Manager) lock(ctx context.Context) error {
	select {
	case m.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "lease: a renewal is still in flight")
	}
}

func (m *Manager) unlock() { <-m.semaphore }

// renew renews the leases that this instance holds and takes those that are free.
func (m *Manager) renew(ctx context.Context) error {
	if err := m.lock(ctx); err != nil {
		return err
	}
	defer m.unlock()
	isHolder := m.isHolder()
	if !isHolder && !m.options.ShouldContend() {
		return nil
	}
	// An instance that holds no lease reads first, to see whether the holder still
	// renews. A holder knows the object from its own last write.
	m.known = m.known && isHolder
	var err error
	for range writeAttempts {
		if err = m.tryRenew(ctx); !errors.Is(err, store.ErrConflict) && !errors.Is(err, errWriteNotApplied) {
			return err
		}
		m.known = false
	}
	return err
}

// isHolder reports whether the last seen object names this instance as a holder,
// even if the lease has expired since.
func (m *Manager) isHolder() bool {
	for _, l := range m.leases.Duties {
		if l.Holder == m.options.Self && !l.Released {
			return true
		}
	}
	return false
}

func (m *Manager) tryRenew(ctx context.Context) error {
	if !m.known {
		if err := m.read(ctx); err != nil {
			return err
		}
	}
	next, claims := claimDuties(m.leases, m.observer, m.options.Self, m.options.Duties, m.options.Timing, time.Now())
	if len(claims) == 0 {
		return nil
	}
	started := time.Now()
	if err := m.write(ctx, next); err != nil {
		return err
	}
	m.issueTokens(claims, started)
	return nil
}

// read reads the object and drops the tokens of duties that others hold in it.
func (m *Manager) read(ctx context.Context) error {
	object, err := m.get(ctx)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	leases := leaseSet{}
	if err == nil {
		if leases, err = decodeLeases(object.Value); err != nil {
			return err
		}
	}
	m.observe(leases, object.Version)
	return nil
}

func (m *Manager) get(ctx context.Context) (store.Object, error) {
	if err := m.limiter.Wait(ctx); err != nil {
		return store.Object{}, errors.Wrap(store.ErrUnavailable, err.Error())
	}
	m.calls.Inc(1)
	return m.options.Store.Get(ctx, m.key)
}

// observe records the state of the object and updates what depends on it.
func (m *Manager) observe(leases leaseSet, version store.Version) {
	m.leases, m.version, m.known = leases, version, true
	m.observer.observe(leases, time.Now())
	m.dropLostTokens()
	m.publishStatus()
}

func (m *Manager) dropLostTokens() {
	held := maps.Clone(*m.tokens.Load())
	maps.DeleteFunc(held, func(duty Duty, t Token) bool {
		l := m.leases.Duties[duty]
		lost := l.Holder != m.options.Self || l.Epoch != t.Epoch || l.Released
		if lost {
			m.lost.Inc(1)
			m.log(l, duty).Warn("lease: lost")
		}
		return lost
	})
	m.tokens.Store(&held)
}

// write writes the leases to the object. If the response is lost, it reads the
// object: the write took effect if the object equals what was written.
func (m *Manager) write(ctx context.Context, next leaseSet) error {
	if err := m.limiter.Wait(ctx); err != nil {
		return errors.Wrap(store.ErrUnavailable, err.Error())
	}
	m.calls.Inc(1)
	version, err := m.options.Store.Put(ctx, m.key, next.encode(), m.version)
	if err == nil {
		m.observe(next, version)
		return nil
	}
	m.known = false
	if !errors.Is(err, store.ErrUnknown) {
		return err
	}
	if err := m.read(ctx); err != nil {
		return err
	}
	if !maps.Equal(m.leases.Duties, next.Duties) {
		return errWriteNotApplied
	}
	return nil
}

// issueTokens makes tokens of claims that were written to the object. Their TTL
// counts from before the write was sent, since it may have taken effect right
// then and its response come late.
func (m *Manager) issueTokens(claims map[Duty]claim, started time.Time) {
	timing := m.options.Timing
	held := map[Duty]Token{}
	previous := *m.tokens.Load()
	for duty, c := range claims {
		t := Token{Duty: duty, Holder: m.options.Self, Epoch: c.lease.Epoch}
		t.validUntil = started.Add(timing.TTL - timing.Margin)
		t.validUntilWall = t.validUntil.Round(0)
		switch old, ok := previous[duty]; {
		case ok && old.Epoch == t.Epoch:
			t.ordersFrom = old.ordersFrom
		case c.noOrdersInFlight:
			t.ordersFrom = started
		default:
			// The previous holder may have sent its last order right before its
			// lease expired. If that was this process before a pause, it can't
			// tell whether its own orders have ended.
			t.ordersFrom = time.Now().Add(timing.LongestOrder)
		}
		if _, ok := previous[duty]; !ok {
			m.log(c.lease, duty).Info("lease: acquired")
		}
		held[duty] = t
	}
	m.tokens.Store(&held)
}

// Release releases all leases of this instance, so that the next holder need not
// wait for them to expire. It is to be called after this instance's last order
// has ended.
func (m *Manager) Release(ctx context.Context) error {
	m.tokens.Store(&map[Duty]Token{})
	if err := m.lock(ctx); err != nil {
		return err
	}
	defer m.unlock()
	m.tokens.Store(&map[Duty]Token{})
	for range writeAttempts {
		if !m.known {
			if err := m.read(ctx); err != nil {
				return err
			}
		}
		next, released := releaseDuties(m.leases, m.options.Self)
		if !released {
			return nil
		}
		err := m.write(ctx, next)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, errWriteNotApplied) {
			return err
		}
		m.known = false
	}
	return store.ErrConflict
}

func (m *Manager) publishStatus() {
	var status Status
	for _, duty := range slices.Sorted(maps.Keys(m.leases.Duties)) {
		e := m.leases.Duties[duty]
		if e.Released {
			e.Holder = ""
		}
		heldHere := e.Holder == m.options.Self
		status.Duties = append(status.Duties, DutyStatus{Duty: duty, Holder: e.Holder, Epoch: e.Epoch, HeldHere: heldHere})
	}
	if slices.Equal(status.Duties, m.status.Duties) {
		return
	}
	m.status = status
	if m.options.OnChange != nil {
		m.options.OnChange(status)
	}
}

func (m *Manager) log(l dutyLease, duty Duty) log.Interface {
	return m.options.Log.WithFields(log.Fields{"duty": duty, "holder": l.Holder, "epoch": l.Epoch})
}
