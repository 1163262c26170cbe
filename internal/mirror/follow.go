package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"foxhall/internal/store"
)

const (
	// pollWait is how long a question for changes waits at the store. A silent
	// connection is found by keep-alive probes, so it may be long; each
	// question is paid for.
	pollTimeout = 25 * time.Second
	// checkEvery is how often what must be in force soon is read anew beside the
	// questions for changes, which the store may leave unanswered for seconds
	// while it drops its history. It is below the 2 s within which a change has
	// to be in force, with a margin for passing it on.
	checkInterval = 1100 * time.Millisecond
	// checkSpread keeps followers from asking all at the same moment, so that
	// those that ask later hear of the answer first.
	checkJitter = 350 * time.Millisecond
	// standbyDelay is how much later a follower checks that stands by: the answers to
	// others reach it by the rounds in which it asks them.
	standbyDelay = 300 * time.Millisecond
	// checkTick is how often it is looked at whether a check is due.
	checkDueInterval = 60 * time.Millisecond
	// mergePause is the pause after an answer with changes: a burst of changes,
	// as at the start of all replicas, costs a few questions and not one each.
	debounceDelay = 250 * time.Millisecond
	// retryFirst and retryMost are the waits between failed calls.
	retryInitialDelay = 100 * time.Millisecond
	retryMaxDelay     = 700 * time.Millisecond
	// returnTime is how long living replicas need to enter themselves again
	// after the store was away.
	registrationTime = 2500 * time.Millisecond
	// outageAfter is how long the store must have said nothing for entries to
	// have lapsed: three heartbeats of a replica take over 3 s, and checks keep
	// its last word below 1.5 s.
	outageThreshold = 2500 * time.Millisecond
)

// Follower keeps a mirror up to date from the store itself while it is active.
type Follower struct {
	mirror *Mirror
	store  store.Poller
	logger log.Interface
	// lost is, for each kind, since when the store has not answered, in Unix
	// nanoseconds; 0 while it does.
	unavailableSince []atomic.Int64
	active           atomic.Bool
	// standby says that others ask for changes, which this one is told of.
	standby atomic.Bool
}

// NewFollower returns a follower that is not yet active.
func NewFollower(m *Mirror, s store.Poller, logger log.Interface) *Follower {
	return &Follower{mirror: m, store: s, logger: logger, unavailableSince: make([]atomic.Int64, len(Kinds))}
}

// Active reports whether the follower is running.
func (f *Follower) Active() bool { return f.active.Load() }

// StandBy has the follower leave the questions for changes to others, or ask them again.
// Standing by it still checks what must be in force soon when it has heard nothing.
func (f *Follower) SetStandby(standby bool) {
	if f.standby.Swap(standby) == standby {
		return
	}
	f.logger.WithField("standby", standby).Info("questions for changes")
	if standby {
		// Whether the store answers this instance is not known any more.
		f.clearUnavailable()
	}
}

func (f *Follower) clearUnavailable() {
	for i := range f.unavailableSince {
		f.unavailableSince[i].Store(0)
	}
}

// LostFor returns how long the store has not answered; 0 while it does.
func (f *Follower) UnavailableFor(now time.Time) time.Duration {
	longest := time.Duration(0)
	for i := range f.unavailableSince {
		if at := f.unavailableSince[i].Load(); at != 0 {
			longest = max(longest, now.Sub(time.Unix(0, at)))
		}
	}
	return longest
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.active.Store(true)
	defer f.active.Store(false)
	var group sync.WaitGroup
	for i, k := range Kinds {
		group.Go(func() { f.followKind(ctx, i, k) })
	}
	group.Go(func() { f.runChecks(ctx) })
	group.Wait()
	f.clearUnavailable()
	f.standby.Store(false)
}

// Look reads all kinds once.
func (f *Follower) Refresh(ctx context.Context) {
	for _, k := range Kinds {
		if err := f.snapshot(ctx, k); err != nil {
			f.logger.WithError(err).WithField("kind", string(k)).Info("store not read at the start")
		}
	}
}

// check reads the configuration and the replicas anew where the store has told
// no instance about them for a while.
func (f *Follower) runChecks(ctx context.Context) {
	jitter := rand.N(checkJitter)
	for sleep(ctx, checkDueInterval); ctx.Err() == nil; sleep(ctx, checkDueInterval) {
		due := checkInterval + jitter
		if f.standby.Load() {
			due += standbyDelay
		}
		if f.mirror.Age(Config, time.Now()) > due {
			f.handleCheckResult(ctx, Config, f.checkConfig(ctx))
			jitter = rand.N(checkJitter)
		}
		if f.mirror.Age(Replicas, time.Now()) > due {
			f.handleCheckResult(ctx, Replicas, f.snapshot(ctx, Replicas))
			jitter = rand.N(checkJitter)
		}
	}
}

func (f *Follower) handleCheckResult(ctx context.Context, k Kind, err error) {
	if err == nil {
		return
	}
	// The question for changes that waits beside it says that the store is lost.
	f.logger.WithError(err).WithField("kind", string(k)).Debug("not checked")
	sleep(ctx, retryMaxDelay)
}

// checkConfig reads the one object of its kind, which is cheaper than a listing.
func (f *Follower) checkConfig(ctx context.Context) error {
	asOf, known := f.mirror.AsOf(Config)
	if !known {
		return nil
	}
	asked := time.Now()
	object, err := f.store.Get(ctx, store.Key{Kind: string(Config), Name: ConfigName})
	if err != nil {
		return err
	}
	f.mirror.Confirm(Config, asked)
	if object.Version <= asOf {
		return nil
	}
	entry := Entry{Name: ConfigName, Revision: object.Version, Value: object.Value}
	f.mirror.Apply(Delta{Kind: Config, From: asOf, AsOf: object.Version, Entries: []Entry{entry}})
	return nil
}

func (f *Follower) followKind(ctx context.Context, i int, k Kind) {
	waits := newBackOff()
	for ctx.Err() == nil {
		if f.standby.Load() || f.isProbedByFirstKind(i) {
			sleep(ctx, retryInitialDelay)
			continue
		}
		wait := pollTimeout
		if f.unavailableSince[i].Load() != 0 {
			// The first answer after a loss tells at once that the store is back.
			wait = 0
		}
		err := f.poll(ctx, k, wait)
		if ctx.Err() != nil {
			return
		}
		if err == nil || errors.Is(err, store.ErrGone) {
			f.markAvailable(i, k)
			waits.Reset()
			if err == nil {
				continue
			}
			f.relist(ctx, i, k)
			continue
		}
		f.markUnavailable(i, k, err)
		sleep(ctx, waits.NextBackOff())
	}
}

// probedByFirst reports that the store is lost to this kind and to the first. One
// kind's calls show when it is back; those of the others would be paid for too.
func (f *Follower) isProbedByFirstKind(i int) bool {
	return i > 0 && f.unavailableSince[i].Load() != 0 && f.unavailableSince[0].Load() != 0
}

func newBackOff() *backoff.ExponentialBackOff {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = retryInitialDelay
	backOff.MaxInterval = retryMaxDelay
	return backOff
}

func (f *Follower) poll(ctx context.Context, k Kind, wait time.Duration) error {
	from, known := f.mirror.AsOf(k)
	if !known {
		return f.snapshot(ctx, k)
	}
	changes, err := f.store.Poll(ctx, string(k), from, wait)
	if err != nil {
		return err
	}
	f.detectOutageEnd(k)
	f.mirror.Apply(compactChanges(k, from, changes))
	f.mirror.Confirm(k, time.Now())
	if len(changes.Events) > 0 {
		sleep(ctx, debounceDelay)
	}
	return nil
}

// settle keeps only the last event of each name: an object may be removed and
// written again within one answer. A removal may carry the revision of the
// object's last write, so it counts as of the whole answer.
func compactChanges(k Kind, from store.Version, changes store.Changes) Delta {
	last := map[string]store.Event{}
	for _, e := range changes.Events {
		last[e.Object.Key.Name] = e
	}
	d := Delta{Kind: k, From: from, AsOf: changes.AsOf}
	for name, e := range last {
		if e.Deleted {
			d.Removed = append(d.Removed, Entry{Name: name, Revision: changes.AsOf})
			continue
		}
		d.Entries = append(d.Entries, Entry{Name: name, Revision: e.Object.Version, Value: e.Object.Value})
	}
	return d
}

func (f *Follower) snapshot(ctx context.Context, k Kind) error {
	asked := time.Now()
	listing, err := f.store.Snapshot(ctx, string(k))
	if err != nil {
		return err
	}
	f.detectOutageEnd(k)
	f.mirror.Confirm(k, asked)
	d := Delta{Kind: k, Full: true, AsOf: listing.AsOf}
	for _, o := range listing.Objects {
		d.Entries = append(d.Entries, Entry{Name: o.Key.Name, Revision: o.Version, Value: o.Value})
	}
	f.mirror.Apply(d)
	return nil
}

// list reads the whole kind again after its history was lost.
func (f *Follower) relist(ctx context.Context, i int, k Kind) {
	waits := newBackOff()
	for ctx.Err() == nil {
		err := f.snapshot(ctx, k)
		if err == nil {
			f.markAvailable(i, k)
			return
		}
		f.markUnavailable(i, k, err)
		sleep(ctx, waits.NextBackOff())
	}
}

func (f *Follower) markUnavailable(i int, k Kind, err error) {
	if f.unavailableSince[i].CompareAndSwap(0, time.Now().UnixNano()) {
		f.logger.WithError(err).WithField("kind", string(k)).Warn("store lost")
	}
}

func (f *Follower) markAvailable(i int, k Kind) {
	at := f.unavailableSince[i].Swap(0)
	if at == 0 {
		return
	}
	outage := time.Since(time.Unix(0, at))
	f.logger.WithField("kind", string(k)).WithField("away_ms", outage.Milliseconds()).Info("store back")
}

// noteReturn is called before what the store says is taken in. After an outage
// it may say that living replicas are gone, whose entries lapsed meanwhile;
// those who hear of it have to know. The first word to a process says nothing of
// an outage: with instances restarted one after the other, removed replicas would
// be held for good.
func (f *Follower) detectOutageEnd(k Kind) {
	if now := time.Now(); k == Replicas && f.mirror.AfterOutage(k, now) && f.mirror.Age(k, now) >= outageThreshold {
		f.mirror.SetRegistrationGrace(now.Add(registrationTime))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
