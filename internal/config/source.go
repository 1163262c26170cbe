package config

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"foxhall/internal/plan"
	"foxhall/internal/store"
)

// The pace of a source. An accepted edit must be in force everywhere within
// 10 s (letter 1): a watch brings it at once; an instance whose watch is
// stuck gets it from a peer, in a few of the rounds below.
const (
	// DefaultPeerInterval is the mean time between two exchanges with a random peer.
	DefaultPeerInterval = time.Second
	// DefaultPollInterval is the mean time between two reads of the manifest,
	// for an instance whose watch is stuck and that has no peers.
	DefaultPollInterval = time.Minute
	// DefaultStoreRate bounds the calls to the store, in calls a second;
	// DefaultStoreBurst lets a first start fetch all chunks at once.
	DefaultStoreRate  = 10
	DefaultStoreBurst = 600
	// Fanout is the number of peers that hear of a new version at once.
	Fanout = 3

	peerCallTimeout  = 2 * time.Second
	storeCallTimeout = 5 * time.Second
	watchRetryMin    = 250 * time.Millisecond
	watchRetryMax    = 4 * time.Second
	// startTime bounds how long a newcomer asks store and peers before it
	// takes the highest version that it has heard of.
	startupTimeout = 3 * time.Second
)

// Options are a source's surroundings. Zero values have defaults.
type Options struct {
	// Peers are the other instances; nil where there are none.
	Peers Peers
	// Folder is the data folder; empty on an instance without a disk.
	Folder       string
	PeerInterval time.Duration
	PollInterval time.Duration
	StoreRate    float64
	Registry     metrics.Registry
	Log          log.Interface
}

// Source keeps an instance's configuration: it follows the manifest's watch,
// exchanges versions with peers and never goes back to an older version.
type Source struct {
	client  *store.Limited
	options Options
	current atomic.Pointer[Current]
	// installing serializes the step from one configuration to the next.
	installing sync.Mutex
	// fetched are chunks read for a version that is not complete yet, so that
	// a slow store gets a newcomer on by every try.
	fetched     Chunks
	fetchedLock sync.Mutex

	storeQueried atomic.Bool
	peersQueried atomic.Bool
	// settled says that the start is over and the newest version heard of has been taken.
	startFinished atomic.Bool
	lastError     atomic.Pointer[string]

	stale    metrics.Counter
	refused  metrics.Counter
	installs metrics.Counter
	version  metrics.Gauge
	offered  metrics.Counter
}

// NewSource returns a source that has read the floor file, if there is one,
// and nothing else yet.
func NewSource(client store.Client, options Options) *Source {
	options = options.withDefaults()
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("config."+name, options.Registry)
	}
	limiter := rate.NewLimiter(rate.Limit(options.StoreRate), DefaultStoreBurst)
	s := &Source{
		client: store.LimitShared(client, limiter, options.Registry, "config.store"), options: options,
		stale: counter("stale"), refused: counter("refused"), installs: counter("installs"),
		offered: counter("peers.offered"),
		version: metrics.GetOrRegisterGauge("config.version", options.Registry),
	}
	s.current.Store(emptyConfiguration())
	s.loadSaved()
	return s
}

func (o Options) withDefaults() Options {
	if o.PeerInterval == 0 {
		o.PeerInterval = DefaultPeerInterval
	}
	if o.PollInterval == 0 {
		o.PollInterval = DefaultPollInterval
	}
	if o.StoreRate == 0 {
		o.StoreRate = DefaultStoreRate
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.Log == nil {
		o.Log = log.Log
	}
	return o
}

// Run follows the store and the peers until ctx ends.
func (s *Source) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.followStore(ctx) })
	group.Go(func() error { return s.followPeers(ctx) })
	group.Go(func() error { return s.finishStart(ctx) })
	group.Go(func() error { return s.poll(ctx) })
	return group.Wait()
}

// settle ends the start once store and peers have each been asked, or when its
// time is up. Until then an instance that heard first from a stale replica of
// the store would go back to before what it had in force in an earlier life.
func (s *Source) finishStart(ctx context.Context) error {
	deadline := time.NewTimer(startupTimeout)
	defer deadline.Stop()
	tick := time.NewTicker(startupTimeout / 60)
	defer tick.Stop()
	for !s.storeQueried.Load() || !s.peersQueried.Load() {
		select {
		case <-ctx.Done():
			return nil
		case <-deadline.C:
			s.startFinished.Store(true)
			return nil
		case <-tick.C:
		}
	}
	s.startFinished.Store(true)
	return nil
}

// Current returns the configuration in force, or nil while there is none.
func (s *Source) Current() *Current {
	current := s.current.Load()
	if current.Version == 0 {
		return nil
	}
	return current
}

// Changed returns a channel that is closed when a version newer than the one
// now in force is. Take the channel before reading Current.
func (s *Source) Changed() <-chan struct{} { return s.current.Load().superseded }

// Plans returns the plans in force with their version; nil while there are none.
func (s *Source) Plans() (*plan.List, uint64) {
	current := s.current.Load()
	return current.Plans, current.Version
}

// Version returns the version in force; 0 says that there is none.
func (s *Source) Version() uint64 { return s.current.Load().Version }

// Ready reports whether calls may be judged by this configuration, and if not, why.
func (s *Source) Ready() (bool, string) {
	if s.Version() == 0 {
		return false, "no configuration: " + s.lastErrorText()
	}
	if !s.startFinished.Load() {
		return false, fmt.Sprintf("starting: version %d, still asking the object API and the peers", s.Version())
	}
	return true, ""
}

func (s *Source) lastErrorText() string {
	if fault := s.lastError.Load(); fault != nil {
		return *fault
	}
	return "not asked yet"
}

func (s *Source) setLastError(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.lastError.Store(&text)
}

// errLacking says that chunks of an update are neither here nor in it.
type missingChunksError struct {
	digests []Digest
}

// Error implements error.
func (e *missingChunksError) Error() string {
	return fmt.Sprintf("config: %d chunks are lacking", len(e.digests))
}

// install puts an update in force if it is newer than what is.
func (s *Source) install(update Update, from string) error {
	s.installing.Lock()
	defer s.installing.Unlock()
	previous := s.current.Load()
	if update.Version <= previous.Version {
		// A regressed read or a stale peer: taking it would revert an edit.
		if update.Version < previous.Version {
			s.stale.Inc(1)
		}
		return nil
	}
	next, missing, err := assemble(previous, update)
	if err != nil {
		s.refused.Inc(1)
		return err
	}
	if len(missing) > 0 {
		return &missingChunksError{digests: missing}
	}
	// The floor is on disk before anyone acts by the version: a crash between
	// the two must not let the next life act by an older one.
	s.saveToDisk(next)
	s.current.Store(next)
	s.addFetched(nil)
	close(previous.superseded)
	s.installs.Inc(1)
	s.version.Update(int64(next.Version))
	s.options.Log.WithFields(log.Fields{
		"version": next.Version, "before": previous.Version, "operator": next.Edit.Operator,
		"plans": len(next.Plans.Plans), "from": from,
	}).Info("configuration in force")
	return nil
}

// Offer takes an update from a peer. It returns the chunks that it still lacks
// for it; nil says that this version or a newer one is in force.
func (s *Source) Offer(update Update) ([]Digest, error) {
	err := s.install(update, "peer")
	var missing *missingChunksError
	if errors.As(err, &missing) {
		return missing.digests, nil
	}
	return nil, err
}

// Export returns what is in force, without the chunks that the peer has.
func (s *Source) Export(have Have) Update {
	return s.current.Load().export(have)
}
