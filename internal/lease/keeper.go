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
	attempts = 2
	// callsPerSecond and callsBurst bound the store calls of a keeper. A quiet
	// holder makes one write a renewal; the rest is for races.
	callsPerSecond = 1
	callsBurst     = 6
)

// errNotHeld says that the keeper's write is not in the object.
var errNotHeld = errors.New("lease: write did not take effect")

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
	options Options
	key     store.Key
	limiter *rate.Limiter
	tokens  atomic.Pointer[map[Duty]Token]
	beat    atomic.Pointer[time.Time]
	calls   metrics.Counter
	pauses  metrics.Counter
	lost    metrics.Counter

	// turn serialises steps and Release. It is a channel and no mutex because
	// its holder waits for the store: a stopping instance gives up on it when
	// its time is over, and does not outlive its grace period.
	turn    chan struct{}
	book    book
	version store.Version
	known   bool // book and version are the last seen state of the object
	seen    observer
	status  Status
}

// NewKeeper returns a keeper that holds nothing.
func NewManager(o Options) (*Manager, error) {
	if err := o.Timing.Check(); err != nil {
		return nil, err
	}
	k := &Manager{
		options: o,
		key:     store.Key{Kind: Kind, Name: o.Self.DataCentre()},
		limiter: rate.NewLimiter(callsPerSecond, callsBurst),
		calls:   metrics.GetOrRegisterCounter("lease.store_calls", o.Registry),
		pauses:  metrics.GetOrRegisterCounter("lease.pauses", o.Registry),
		lost:    metrics.GetOrRegisterCounter("lease.lost", o.Registry),
		seen:    observer{},
		turn:    make(chan struct{}, 1),
	}
	k.tokens.Store(&map[Duty]Token{})
	k.mark(time.Now())
	return k, nil
}

func (k *Manager) mark(now time.Time) { k.beat.Store(&now) }

// Held returns the token of a duty if this instance may perform it right now.
// It costs two atomic loads and is to be asked again before each act.
//
// A process that was paused, or is too busy to run this package's own loop,
// can't know what happened meanwhile and has to renew before it acts.
func (k *Manager) Held(duty Duty) (Token, bool) {
	now := time.Now()
	token, ok := (*k.tokens.Load())[duty]
	if !ok || !token.Valid(now) || k.paused(now) {
		return Token{}, false
	}
	return token, true
}

func (k *Manager) paused(now time.Time) bool { return now.Sub(*k.beat.Load()) > k.options.Timing.Pause }

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
			k.noticePause(due)
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
func (k *Manager) noticePause(due chan struct{}) {
	now := time.Now()
	if k.paused(now) {
		k.pauses.Inc(1)
		k.tokens.Store(&map[Duty]Token{})
		signal(due)
	}
	k.mark(now)
}

func (k *Manager) renewWhenDue(ctx context.Context, due <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
		}
		callCtx, cancel := context.WithTimeout(ctx, k.options.Timing.Renew)
		if err := k.step(callCtx); err != nil && ctx.Err() == nil {
			k.options.Log.WithError(err).Warn("lease: not renewed")
		}
		cancel()
	}
}

// enter waits for the turn to change what is held, until ctx ends.
func (k *Manager) enter(ctx context.Context) error {
	select {
	case k.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "lease: a renewal is still under way")
	}
}

func (k *Manager) leave() { <-k.turn }

// step renews what is held and takes what is free.
func (k *Manager) step(ctx context.Context) error {
	if err := k.enter(ctx); err != nil {
		return err
	}
	defer k.leave()
	holding := k.holding()
	if !holding && !k.options.ShouldContend() {
		return nil
	}
	// A contender that holds nothing reads first, to see whether the holder
	// still renews. A holder knows the object from its own last write.
	k.known = k.known && holding
	var err error
	for range attempts {
		if err = k.attempt(ctx); !errors.Is(err, store.ErrConflict) && !errors.Is(err, errNotHeld) {
			return err
		}
		k.known = false
	}
	return err
}

// holding reports whether the last seen object names this instance as a
// holder, even where the lease has lapsed meanwhile.
func (k *Manager) holding() bool {
	for _, e := range k.book.Duties {
		if e.Holder == k.options.Self && !e.Released {
			return true
		}
	}
	return false
}

func (k *Manager) attempt(ctx context.Context) error {
	if !k.known {
		if err := k.read(ctx); err != nil {
			return err
		}
	}
	next, got := claim(k.book, k.seen, k.options.Self, k.options.Duties, k.options.Timing, time.Now())
	if len(got) == 0 {
		return nil
	}
	started := time.Now()
	if err := k.write(ctx, next); err != nil {
		return err
	}
	k.adopt(got, started)
	return nil
}

// read takes in the object and drops the tokens of duties that it gives to others.
func (k *Manager) read(ctx context.Context) error {
	object, err := k.get(ctx)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	b := book{}
	if err == nil {
		if b, err = decode(object.Value); err != nil {
			return err
		}
	}
	k.take(b, object.Version)
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
func (k *Manager) take(b book, version store.Version) {
	k.book, k.version, k.known = b, version, true
	k.seen.see(b, time.Now())
	k.dropLost()
	k.publish()
}

func (k *Manager) dropLost() {
	held := maps.Clone(*k.tokens.Load())
	maps.DeleteFunc(held, func(duty Duty, t Token) bool {
		e := k.book.Duties[duty]
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
func (k *Manager) write(ctx context.Context, next book) error {
	if err := k.limiter.Wait(ctx); err != nil {
		return errors.Wrap(store.ErrUnavailable, err.Error())
	}
	k.calls.Inc(1)
	version, err := k.options.Store.Put(ctx, k.key, next.encode(), k.version)
	if err == nil {
		k.take(next, version)
		return nil
	}
	k.known = false
	if !errors.Is(err, store.ErrUnknown) {
		return err
	}
	if err := k.read(ctx); err != nil {
		return err
	}
	if !maps.Equal(k.book.Duties, next.Duties) {
		return errNotHeld
	}
	return nil
}

// adopt turns claims that are in the object into tokens. Their time counts
// from before the write was sent: it may have taken effect at once and its
// answer come late.
func (k *Manager) adopt(got map[Duty]claimed, started time.Time) {
	times := k.options.Timing
	held := map[Duty]Token{}
	before := *k.tokens.Load()
	for duty, c := range got {
		t := Token{Duty: duty, Holder: k.options.Self, Epoch: c.entry.Epoch}
		t.until = started.Add(times.TTL - times.Margin)
		t.wall = t.until.Round(0)
		switch old, ok := before[duty]; {
		case ok && old.Epoch == t.Epoch:
			t.from = old.from
		case c.clear:
			t.from = started
		default:
			// The holder before may have sent its last order right before its
			// lease ended, and this process can't tell its own orders from
			// before a pause.
			t.from = time.Now().Add(times.LongestOrder)
		}
		if _, ok := before[duty]; !ok {
			k.log(c.entry, duty).Info("lease: held")
		}
		held[duty] = t
	}
	k.tokens.Store(&held)
}

// Release gives back everything held, so that a successor need not wait. It is
// to be called after this instance's last order has ended.
func (k *Manager) Release(ctx context.Context) error {
	k.tokens.Store(&map[Duty]Token{})
	if err := k.enter(ctx); err != nil {
		return err
	}
	defer k.leave()
	k.tokens.Store(&map[Duty]Token{})
	for range attempts {
		if !k.known {
			if err := k.read(ctx); err != nil {
				return err
			}
		}
		next, any := release(k.book, k.options.Self)
		if !any {
			return nil
		}
		err := k.write(ctx, next)
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, errNotHeld) {
			return err
		}
		k.known = false
	}
	return store.ErrConflict
}

func (k *Manager) publish() {
	var status Status
	for _, duty := range slices.Sorted(maps.Keys(k.book.Duties)) {
		e := k.book.Duties[duty]
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

func (k *Manager) log(e entry, duty Duty) log.Interface {
	return k.options.Log.WithFields(log.Fields{"duty": duty, "holder": e.Holder, "epoch": e.Epoch})
}
