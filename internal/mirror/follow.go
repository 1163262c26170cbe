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
	"golang.org/x/time/rate"

	"foxhall/internal/store"
)

const (
	// pollTimeout is how long a poll for changes waits at the store. It may be long, since
	// keep-alive probes detect an unresponsive connection, and each poll is charged for.
	pollTimeout = 25 * time.Second
	// checkJitter spreads the checks of followers, so that the later ones learn of the first
	// response through the relay and need no check.
	checkJitter = 350 * time.Millisecond
	// standbyDelay is the extra delay of a standby follower's checks, since the store's responses to
	// other followers reach it through the relay, in its gossip rounds.
	standbyDelay = 300 * time.Millisecond
	// checkDueInterval is how often a follower determines whether a check is due.
	checkDueInterval = 60 * time.Millisecond
	// retryInitialDelay and retryMaxDelay bound the backoff between failed calls.
	retryInitialDelay = 100 * time.Millisecond
	retryMaxDelay     = 700 * time.Millisecond
	// relistInterval is how often a kind is listed whose last listing lacked objects that could not be found.
	relistInterval = 3 * time.Second
	// registrationTime is how long live replicas need to register again after a store outage.
	registrationTime = 2500 * time.Millisecond
)

// Follower updates a mirror directly from the store while it is active.
type Follower struct {
	mirror *Mirror
	store  store.Poller
	logger log.Interface
	// unavailableSince is, for each kind, the time in Unix nanoseconds since which the store has
	// not responded, or 0 while it does.
	unavailableSince []atomic.Int64
	// checkUnansweredSince is the time in Unix nanoseconds of the first check without a response since
	// the last one that had one, or 0. A check shows sooner than a waiting poll that the store is
	// unreachable: a poll is silent until its connection fails.
	checkUnansweredSince atomic.Int64
	active               atomic.Bool
	// sampleAfter is the name after which the sample of the replicas begins. Only the goroutine that
	// samples uses it.
	sampleAfter string
	// partialSince is, for each kind, the time in Unix nanoseconds of its last listing if that lacked objects
	// that could not be found, or else 0.
	partialSince map[Kind]*atomic.Int64
	// listedAt is when the replicas were last listed, in Unix nanoseconds.
	listedAt atomic.Int64
	// standby is true while other followers poll for changes and relay them to this one.
	standby atomic.Bool
	// renewals reads the replicas on demand, configRenewal the configuration.
	renewals      renewals
	configRenewal configRenewal
}

// NewFollower returns a follower that is not yet active.
func NewFollower(m *Mirror, s store.Poller, logger log.Interface) *Follower {
	f := &Follower{
		mirror: m, store: s, logger: logger, unavailableSince: make([]atomic.Int64, len(Kinds)), partialSince: map[Kind]*atomic.Int64{},
		renewals:      renewals{limiter: rate.NewLimiter(maxRenewalRate, renewalBurst)},
		configRenewal: configRenewal{limiter: rate.NewLimiter(rate.Every(configRenewalInterval), configRenewalBurst)},
	}
	for _, k := range Kinds {
		f.partialSince[k] = &atomic.Int64{}
	}
	return f
}

// Active reports whether the follower is running.
func (f *Follower) Active() bool { return f.active.Load() }

// SetStandby makes the follower leave polls for changes to others, or resume them. A standby
// follower still checks the configuration and the replicas when it has received no confirmation of
// them.
func (f *Follower) SetStandby(standby bool) {
	if f.standby.Swap(standby) == standby {
		return
	}
	f.logger.WithField("standby", standby).Info("follower changed between standby and polling for changes")
	if standby {
		// Without polls it is unknown whether the store responds to this instance.
		f.clearUnavailable()
	}
}

func (f *Follower) clearUnavailable() {
	for i := range f.unavailableSince {
		f.unavailableSince[i].Store(0)
	}
	f.checkUnansweredSince.Store(0)
}

// UnavailableFor returns how long the store has not responded, or 0 while it does. Of the kinds,
// the longest time counts.
func (f *Follower) UnavailableFor(now time.Time) time.Duration {
	longest := unansweredFor(&f.checkUnansweredSince, now)
	for i := range f.unavailableSince {
		longest = max(longest, unansweredFor(&f.unavailableSince[i], now))
	}
	return longest
}

func unansweredFor(since *atomic.Int64, now time.Time) time.Duration {
	at := since.Load()
	if at == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, at))
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

// Refresh reads all kinds once.
func (f *Follower) Refresh(ctx context.Context) { f.refresh(ctx, Kinds...) }

func (f *Follower) refresh(ctx context.Context, kinds ...Kind) {
	for _, k := range kinds {
		if err := f.snapshot(ctx, k); err != nil {
			f.logger.WithError(err).WithField("kind", string(k)).Info("store read failed; present state stays until the next exchange or poll")
		}
	}
}

// maxStartReaders is the approximate number of instances that list the replicas when all of a fleet
// restart. The others receive them from these.
const maxStartReaders = 100

// RefreshAtStart reads all kinds once, but in a large fleet the whole list of replicas only with a
// probability: if all instances restart, each of them listing thousands of replicas would exceed the
// store's rate. The others begin with a sample.
func (f *Follower) RefreshAtStart(ctx context.Context) {
	f.refresh(ctx, Config)
	if err := f.SampleReplicas(ctx); err != nil {
		f.logger.WithError(err).Info("sample of the replicas not read; peers send the list")
	}
	f.refresh(ctx, Fleet, Retirements)
	if _, known := f.mirror.AsOf(Replicas); known {
		return
	}
	if instances := f.mirror.Len(Fleet); instances <= maxStartReaders || rand.IntN(instances) < maxStartReaders {
		f.refresh(ctx, Replicas)
	}
}

// runChecks reads the configuration and the replicas whenever the store's last known response to
// any instance about them is too old.
func (f *Follower) runChecks(ctx context.Context) {
	jitter := rand.N(checkJitter)
	for sleep(ctx, checkDueInterval); ctx.Err() == nil; sleep(ctx, checkDueInterval) {
		due := f.mirror.timing.checkInterval + jitter
		if f.standby.Load() {
			due += standbyDelay
		}
		// After a check without a response the next one follows even if peers confirm the state, since
		// the peers' responses do not show that the store responds to this instance.
		if f.mirror.Age(Config, time.Now()) > due || f.checkUnansweredSince.Load() != 0 {
			f.check(ctx, Config, f.checkConfig)
			jitter = rand.N(checkJitter)
		}
		if f.mirror.Age(Replicas, time.Now()) > due {
			f.check(ctx, Replicas, f.checkReplicas)
			jitter = rand.N(checkJitter)
		}
	}
}

// check reads a kind. While the store leaves the read unanswered, UnavailableFor counts from its
// beginning.
func (f *Follower) check(ctx context.Context, k Kind, read func(context.Context) error) {
	f.checkUnansweredSince.CompareAndSwap(0, time.Now().UnixNano())
	err := read(ctx)
	if err == nil {
		f.checkUnansweredSince.Store(0)
		return
	}
	// Store outages are logged by the concurrent poll.
	f.logger.WithError(err).WithField("kind", string(k)).Debug("store check failed; will retry")
	sleep(ctx, retryMaxDelay)
}

// entriesPerCheck is the number of replicas for which a check may list all of them. It is about the
// number in one page of a listing.
const entriesPerCheck = 500

// checkReplicas asks for changes without waiting, and lists all replicas at an interval that grows
// with their number, so that the calls per second do not.
func (f *Follower) checkReplicas(ctx context.Context) error {
	interval := f.mirror.timing.checkInterval * time.Duration(1+f.mirror.Len(Replicas)/entriesPerCheck)
	if _, known := f.mirror.AsOf(Replicas); !known || time.Since(time.Unix(0, f.listedAt.Load())) >= interval {
		return f.snapshot(ctx, Replicas)
	}
	err := f.poll(ctx, Replicas, 0)
	if errors.Is(err, store.ErrGone) {
		return f.snapshot(ctx, Replicas)
	}
	return err
}

// checkConfig reads the only object of the kind, which is cheaper than a listing.
func (f *Follower) checkConfig(ctx context.Context) error {
	asOf, known := f.mirror.AsOf(Config)
	if !known {
		return nil
	}
	requestedAt := time.Now()
	object, err := f.store.Get(ctx, store.Key{Kind: string(Config), Name: ConfigName})
	if err != nil {
		return err
	}
	f.mirror.Confirm(Config, requestedAt)
	if object.Version > asOf {
		entry := Entry{Name: ConfigName, Revision: object.Version, Value: object.Value}
		f.mirror.Apply(Delta{Kind: Config, From: asOf, AsOf: object.Version, Entries: []Entry{entry}})
	}
	f.mirror.prove(Config, requestedAt, 0, object.Version)
	return nil
}

func (f *Follower) followKind(ctx context.Context, i int, k Kind) {
	delays := newBackOff()
	relisted := false
	for ctx.Err() == nil {
		if f.standby.Load() || f.isProbedByFirstKind(i) {
			sleep(ctx, retryInitialDelay)
			continue
		}
		wait := pollTimeout
		if f.unavailableSince[i].Load() != 0 {
			// A poll without waiting shows at once when the store is available again.
			wait = 0
		} else if f.partialSince[k].Load() != 0 {
			wait = relistInterval
		}
		err := f.poll(ctx, k, wait)
		if ctx.Err() != nil {
			return
		}
		if err == nil && f.isRelistDue(k) {
			err = store.ErrGone
		}
		if err == nil {
			f.markAvailable(i, k)
			delays.Reset()
			relisted = false
			continue
		}
		if errors.Is(err, store.ErrGone) {
			f.markAvailable(i, k)
			if relisted {
				// The store's position has not moved since the last listing.
				sleep(ctx, delays.NextBackOff())
			}
			f.relist(ctx, i, k)
			relisted = true
			continue
		}
		f.markUnavailable(i, k, err)
		sleep(ctx, delays.NextBackOff())
	}
}

// isProbedByFirstKind reports whether the store is unavailable for this kind and for the first. The
// first kind's calls suffice to detect its return; calls for the others would be charged for as
// well.
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
	if _, known := f.mirror.AsOf(k); !known {
		return f.snapshot(ctx, k)
	}
	changed, err := f.readChanges(ctx, k, wait)
	if err == nil && changed {
		sleep(ctx, f.mirror.timing.debounceDelay)
	}
	return err
}

// readChanges polls once and reports whether there were changes.
func (f *Follower) readChanges(ctx context.Context, k Kind, wait time.Duration) (changed bool, err error) {
	requestedAt := time.Now()
	from, _ := f.mirror.AsOf(k)
	changes, err := f.store.Poll(ctx, string(k), from, wait)
	if err != nil {
		return false, err
	}
	f.detectOutageEnd(k)
	f.mirror.Apply(compactChanges(k, from, changes))
	f.mirror.Confirm(k, time.Now())
	f.prove(k, requestedAt, changes.AsOf)
	return len(changes.Events) > 0, nil
}

// compactChanges keeps only the last event of each name, since an object may be removed and written
// again within one response. A removal may carry the revision of the object's last write, so it
// gets the revision of the whole response.
func compactChanges(k Kind, from store.Version, changes store.Changes) Delta {
	last := map[string]store.Event{}
	d := Delta{Kind: k, From: from, AsOf: changes.AsOf}
	for _, e := range changes.Events {
		name := e.Object.Key.Name
		if before, ok := last[name]; ok && !before.Deleted && k == Replicas {
			d.Passed = append(d.Passed, Entry{Name: name, Revision: before.Object.Version, Value: before.Object.Value})
		}
		last[name] = e
	}
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
	if _, known := f.mirror.AsOf(k); k == Replicas && known && f.mirror.unseenFor(k, time.Now()) > maxUnseen {
		// The history shows what came and went since, the listing does not.
		if _, err := f.readChanges(ctx, k, 0); err != nil && !errors.Is(err, store.ErrGone) {
			return err
		}
	}
	requestedAt := time.Now()
	listing, err := f.store.Snapshot(ctx, string(k))
	if err != nil {
		return err
	}
	f.detectOutageEnd(k)
	if k == Replicas {
		f.listedAt.Store(requestedAt.UnixNano())
	}
	f.applyListing(k, listing)
	f.mirror.Confirm(k, requestedAt)
	f.prove(k, requestedAt, listing.AsOf)
	return nil
}

// applyListing applies a listing. One that lacks objects that could not be found removes none.
func (f *Follower) applyListing(k Kind, listing store.Listing) {
	d := Delta{Kind: k, Full: true, Partial: listing.Partial, AsOf: listing.AsOf, Entries: entriesOf(listing)}
	at := int64(0)
	if listing.Partial {
		at = time.Now().UnixNano()
	}
	if before := f.partialSince[k].Swap(at); listing.Partial != (before != 0) {
		f.logger.WithField("kind", string(k)).WithField("complete", !listing.Partial).WithField("objects", len(d.Entries)).
			Warn("completeness of the store's listing changed")
	}
	if listing.Partial {
		if asOf, known := f.mirror.AsOf(k); known {
			d.Full, d.From = false, asOf
		}
	}
	f.mirror.Apply(d)
}

// prove records that the mirror lacks no change of the kind up to a read that began at a time. While the listing
// lacks objects that could not be found, nothing is proven.
func (f *Follower) prove(k Kind, at time.Time, asOf store.Version) {
	if f.partialSince[k].Load() == 0 {
		f.mirror.prove(k, at, 0, asOf)
	}
}

func (f *Follower) isRelistDue(k Kind) bool {
	at := f.partialSince[k].Load()
	return at != 0 && time.Since(time.Unix(0, at)) >= relistInterval
}

// relist reads all entries of a kind after the store has dropped its history, and retries until it
// succeeds.
func (f *Follower) relist(ctx context.Context, i int, k Kind) {
	delays := newBackOff()
	for ctx.Err() == nil {
		err := f.snapshot(ctx, k)
		if err == nil {
			f.markAvailable(i, k)
			return
		}
		f.markUnavailable(i, k, err)
		sleep(ctx, delays.NextBackOff())
	}
}

func (f *Follower) markUnavailable(i int, k Kind, err error) {
	if f.unavailableSince[i].CompareAndSwap(0, time.Now().UnixNano()) {
		f.logger.WithError(err).WithField("kind", string(k)).Warn("store unavailable; retrying")
	}
}

func (f *Follower) markAvailable(i int, k Kind) {
	at := f.unavailableSince[i].Swap(0)
	if at == 0 {
		return
	}
	outage := time.Since(time.Unix(0, at))
	f.logger.WithField("kind", string(k)).WithField("away_ms", outage.Milliseconds()).Info("store available again")
}

// detectOutageEnd is called before a store response is applied. After an outage the response may
// lack live replicas whose entries expired meanwhile, so a registration grace is set first, which
// listeners see with the change. The first response to a process does not count as the end of an
// outage; otherwise a rolling restart of instances would retain removed replicas indefinitely.
func (f *Follower) detectOutageEnd(k Kind) {
	if now := time.Now(); k == Replicas && f.mirror.EntriesMayHaveExpired(k, now) && f.mirror.Age(k, now) >= f.mirror.timing.outageThreshold {
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
