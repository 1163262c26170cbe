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
	// attempts bounds the writes tried in one renewal.
	writeAttempts = 2
	// callsPerSecond and callsBurst bound the store calls of a keeper. A quiet
	// holder makes one write a renewal; the rest is for races.
	callsPerSecond = 1
	callsBurst     = 6
)

// errNotHeld says that the keeper's write is not in the object.
var errWriteNotApplied = errors.New("lease: write did not take effect")

// Options configure a Keeper.
type Options struct {
	// Self is this process's cohort; its data centre names the lease object.
	Self program.Cohort
	// Duties are those that this instance takes when they are free.
	Duties []Duty
	Timing Timing
	Store  store.Client
	// Contends says whether this instance should try for free duties. It keeps
	// all but a few instances of a data centre from reading the object.
	ShouldContend func() bool
	// OnChange is called with each new status, in order. It must not block.
	OnChange func(Status)
	Log      log.Interface
	Registry metrics.Registry
}

// Status is what a keeper knows of its data centre's duties.
type Status struct {
	Duties []DutyStatus
}

// DutyStatus is the last seen holder of a duty.
type DutyStatus struct {
	Duty   Duty
	Holder program.Cohort
	Epoch  uint64
	// Mine says that this instance is the holder.
	HeldHere bool
}

// Keeper takes and renews leases.
type Manager struct {
	options  Options
	key      store.Key
	limiter  *rate.Limiter
	tokens   atomic.Pointer[map[Duty]Token]
	lastTick atomic.Pointer[time.Time]
	calls    metrics.Counter
	pauses   metrics.Counter
	lost     metrics.Counter

	// turn serialises steps and Release. It is a channel and no mutex because
	// its holder waits for the store: a stopping instance gives up on it when
	// its time is over, and does not outlive its grace period.
	semaphore chan struct{}
	leases    leaseSet
	version   store.Version
	known     bool // book and version are the last seen state of the object
	observer  observer
	status    Status
}

// NewKeeper returns a keeper that holds nothing.
func NewManager(o Options) (*Manager, error) {
	if err := o.Timing.Check(); err != nil {
		return nil, err
	}
	k := &Manager{
		options:   o,
		key:       store.Key{Kind: Kind, Name: o.Self.DataCentre()},
		limiter:   rate.NewLimiter(callsPerSecond, callsBurst),
		calls:     metrics.GetOrRegisterCounter("lease.store_calls", o.Registry),
		pauses:    metrics.GetOrRegisterCounter("lease.pauses", o.Registry),
		lost:      metrics.GetOrRegisterCounter("lease.lost", o.Registry),
		observer:  observer{},
		semaphore: make(chan struct{}, 1),
	}
	k.tokens.Store(&map[Duty]Token{})
	k.recordTick(time.Now())
	return k, nil
}

func (k *Manager) recordTick(now time.Time) { k.lastTick.Store(&now) }

// Held returns the token of a duty if this instance may perform it right now.
// It costs two atomic loads and is to be asked again before each act.
//
// A process that was paused, or is too busy to run this package's own loop,
// can't know what happened meanwhile and has to renew before it acts.
func (k *Manager) Held(duty Duty) (Token, bool) {
	now := time.Now()
	token, ok := (*k.tokens.Load())[duty]
	if !ok || !token.Valid(now) || k.isPaused(now) {
		return Token{}, false
	}
	return token, true
}

func (k *Manager) isPaused(now time.Time) bool {
	return now.Sub(*k.lastTick.Load()) > k.options.Timing.Pause
}

// Run takes and renews leases until ctx ends. It does not release them.
func (k *Manager) Run(ctx context.Context) error {
	beat := time.NewTicker(k.options.Timing.Pause / 4)
	defer beat.Stop()
	renew := time.NewTicker(k.options.Timing.Renew)
	defer renew.Stop()
	due := make(chan struct{}, 1)
	due <- struct{}{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.renewWhenDue(ctx, due)
	}()
	defer func() { <-done }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-beat.C:
			k.checkPause(due)
		case <-renew.C:
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

// noticePause marks that this loop runs. After a pause it drops the tokens, so
// that nothing is done under them before they are renewed, and asks for that.
func (k *Manager) checkPause(due chan struct{}) {
	now := time.Now()
	if k.isPaused(now) {
		k.pauses.Inc(1)
		k.tokens.Store(&map[Duty]Token{})
		signal(due)
	}
	k.recordTick(now)
}

func (k *Manager) renewWhenDue(ctx context.Context, due <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
		}
		callCtx, cancel := context.WithTimeout(ctx, k.options.Timing.Renew)
		if err := k.renew(callCtx); err != nil && ctx.Err() == nil {
			k.options.Log.WithError(err).Warn("lease: not renewed")
		}
		cancel()
	}
}

// enter waits for the turn to change what is held, until ctx ends.
func (k *Manager) lock(ctx context.Context) error {
	select {
	case k.semaphore <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "lease: a renewal is still under way")
	}
}

func (k *Manager) unlock() { <-k.semaphore }

// step renews what is held and takes what is free.
func (k *Manager) renew(ctx context.Context) error {
	if err := k.lock(ctx); err != nil {
		return err
	}
	defer k.unlock()
	holding := k.isHolder()
	if !holding && !k.options.ShouldContend() {
		return nil
	}
	// A contender that holds nothing reads first, to see whether the holder
	// still renews. A holder knows the object from its own last write.
	k.known = k.known && holding
	var err error
	for range writeAttempts {
		if err = k.tryRenew(ctx); !errors.Is(err, store.ErrConflict) && !errors.Is(err, errWriteNotApplied) {
			return err
		}
		k.known = false
	}
	return err
}

// holding reports whether the last seen object names this instance as a
// holder, even where the lease has lapsed meanwhile.
func (k *Manager) isHolder() bool {
	for _, e := range k.leases.Duties {
		if e.Holder == k.options.Self && !e.Released {
			return true
		}
	}
	return false
}

func (k *Manager) tryRenew(ctx context.Context) error {
	if !k.known {
		if err := k.read(ctx); err != nil {
			return err
		}
	}
	next, got := claimDuties(k.leases, k.observer, k.options.Self, k.options.Duties, k.options.Timing, time.Now())
	if len(got) == 0 {
		return nil
	}
	started := time.Now()
	if err := k.write(ctx, next); err != nil {
		return err
	}
	k.issueTokens(got, started)
	return nil
}

// read takes in the object and drops the tokens of duties that it gives to others.
func (k *Manager) read(ctx context.Context) error {
	object, err := k.get(ctx)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	b := leaseSet{}
	if err == nil {
		if b, err = decodeLeases(object.Value); err != nil {
			return err
		}
	}
	k.observe(b, object.Version)
	return nil
}

func (k *Manager) get(ctx context.Context) (store.Object, error) {
	if err := k.limiter.Wait(ctx); err != nil {
		return store.Object{}, errors.Wrap(store.ErrUnavailable, err.Error())
	}
	k.calls.Inc(1)
	return k.options.Store.Get(ctx, k.key)
}

// take notes the state of the object.
func (k *Manager) observe(b leaseSet, version store.Version) {
	k.leases, k.version, k.known = b, version, true
	k.observer.observe(b, time.Now())
	k.dropLostTokens()
	k.publishStatus()
}

func (k *Manager) dropLostTokens() {
	held := maps.Clone(*k.tokens.Load())
	maps.DeleteFunc(held, func(duty Duty, t Token) bool {
		e := k.leases.Duties[duty]
		gone := e.Holder != k.options.Self || e.Epoch != t.Epoch || e.Released
		if gone {
			k.lost.Inc(1)
			k.log(e, duty).Warn("lease: lost")
		}
		return gone
	})
	k.tokens.Store(&held)
}

// write stores the book. A lost answer is settled by reading back: the write
// took effect if the object is exactly what was written.
func (k *Manager) write(ctx context.Context, next leaseSet) error {
	if err := k.limiter.Wait(ctx); err != nil {
		return errors.Wrap(store.ErrUnavailable, err.Error())
	}
	k.calls.Inc(1)
	version, err := k.options.Store.Put(ctx, k.key, next.encode(), k.version)
	if err == nil {
		k.observe(next, version)
		return nil
	}
	k.known = false
	if !errors.Is(err, store.ErrUnknown) {
		return err
	}
	if err := k.read(ctx); err != nil {
		return err
	}
	if !maps.Equal(k.leases.Duties, next.Duties) {
		return errWriteNotApplied
	}
	return nil
}

// adopt turns claims that are in the object into tokens. Their time counts
// from before the write was sent: it may have taken effect at once and its
// answer come late.
func (k *Manager) issueTokens(got map[Duty]claim, started time.Time) {
	times := k.options.Timing
	held := map[Duty]Token{}
	before := *k.tokens.Load()
	for duty, c := range got {
		t := Token{Duty: duty, Holder: k.options.Self, Epoch: c.lease.Epoch}
		t.validUntil = started.Add(times.TTL - times.Margin)
		t.validUntilWall = t.validUntil.Round(0)
		switch old, ok := before[duty]; {
		case ok && old.Epoch == t.Epoch:
			t.ordersFrom = old.ordersFrom
		case c.noOrdersInFlight:
			t.ordersFrom = started
		default:
			// The holder before may have sent its last order right before its
			// lease ended, and this process can't tell its own orders from
			// before a pause.
			t.ordersFrom = time.Now().Add(times.LongestOrder)
		}
		if _, ok := before[duty]; !ok {
			k.log(c.lease, duty).Info("lease: held")
		}
		held[duty] = t
	}
	k.tokens.Store(&held)
}

// Release gives back everything held, so that a successor need not wait. It is
// to be called after this instance's last order has ended.
func (k *Manager) Release(ctx context.Context) error {
	k.tokens.Store(&map[Duty]Token{})
	if err := k.lock(ctx); err != nil {
		return err
	}
	defer k.unlock()
	k.tokens.Store(&map[Duty]Token{})
	for range writeAttempts {
		if !k.known {
			if err := k.read(ctx); err != nil {
				return err
			}
		}
		next, any := releaseDuties(k.leases, k.options.Self)
		if !any {
			return nil
		}
		err := k.write(ctx, next)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, errWriteNotApplied) {
			return err
		}
		k.known = false
	}
	return store.ErrConflict
}

func (k *Manager) publishStatus() {
	var status Status
	for _, duty := range slices.Sorted(maps.Keys(k.leases.Duties)) {
		e := k.leases.Duties[duty]
		if e.Released {
			e.Holder = ""
		}
		mine := e.Holder == k.options.Self
		status.Duties = append(status.Duties, DutyStatus{Duty: duty, Holder: e.Holder, Epoch: e.Epoch, HeldHere: mine})
	}
	if slices.Equal(status.Duties, k.status.Duties) {
		return
	}
	k.status = status
	if k.options.OnChange != nil {
		k.options.OnChange(status)
	}
}

func (k *Manager) log(e dutyLease, duty Duty) log.Interface {
	return k.options.Log.WithFields(log.Fields{"duty": duty, "holder": e.Holder, "epoch": e.Epoch})
}
