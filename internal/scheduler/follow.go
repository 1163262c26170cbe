package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"foxhall/internal/engine"
	"foxhall/internal/upstream"
)

const (
	// probeInterval is how often engines are asked for their load.
	probeInterval = 500 * time.Millisecond
	// probesPerRound limits an instance to 10 load reports per second, about 5 KB per second.
	// The limit for control traffic is 7 KB per second.
	probesPerRound = 5
	// trustCheckInterval is how often a follower checks whether its cache view is still trusted.
	trustCheckInterval = time.Second
	// stateTimeout bounds the request for an engine's state.
	stateTimeout = 5 * time.Second
	// reconnectDelayMin and reconnectDelayMax bound the backoff before a broken event stream is
	// reopened.
	reconnectDelayMin = 200 * time.Millisecond
	reconnectDelayMax = 10 * time.Second
)

// errResync ends an event stream that has a gap; the engine's state has to be read again.
var errResync = errors.New("scheduler: gap in cache events; engine state must be read again")

// Engines reads the load, cache state and cache events of engines. engine.Client implements it.
type Engines interface {
	upstream.Reporter
	State(ctx context.Context, addr string, blocks bool) (engine.State, error)
	Events(ctx context.Context, addr string, from uint64, each func(engine.Event) error) error
}

var (
	_ Engines = (*engine.Client)(nil)
	_ Mover   = (*engine.Client)(nil)
)

// Run keeps the load reports and the cache view of this data centre's engines up to date until ctx
// is done.
func (s *Scheduler) Run(ctx context.Context, engines Engines) {
	var group sync.WaitGroup
	defer group.Wait()
	followers := map[*upstream.Upstream]context.CancelFunc{}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		s.updateFollowers(ctx, &group, engines, followers)
		s.table.Probe(ctx, s.settings.DataCentre, engines, probesPerRound)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// updateFollowers starts a follower for each new engine and stops those of removed engines.
func (s *Scheduler) updateFollowers(ctx context.Context, group *sync.WaitGroup, engines Engines, followers map[*upstream.Upstream]context.CancelFunc) {
	members := s.table.Snapshot()
	for u, stop := range followers {
		if members.Upstream(u.Name) != u {
			stop()
			delete(followers, u)
			s.view.Drop(u.ID)
			s.inflow.forget(u.ID)
		}
	}
	for _, u := range members.All {
		if u.Service != "" || u.DataCentre != s.settings.DataCentre || followers[u] != nil {
			continue
		}
		child, stop := context.WithCancel(ctx)
		followers[u] = stop
		group.Go(func() { s.followEngine(child, engines, u) })
	}
}

func (s *Scheduler) followEngine(ctx context.Context, engines Engines, u *upstream.Upstream) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = reconnectDelayMin, reconnectDelayMax
	for ctx.Err() == nil {
		begin := time.Now()
		s.followOnce(ctx, engines, u)
		if time.Since(begin) > reconnectDelayMax {
			delay.Reset()
		}
		select {
		case <-time.After(delay.NextBackOff()):
		case <-ctx.Done():
		}
	}
}

// followOnce reads the engine's state if the view is not trusted, and then applies events until
// the stream breaks or has a gap.
func (s *Scheduler) followOnce(ctx context.Context, engines Engines, u *upstream.Upstream) {
	if _, _, trusted := s.view.Position(u.ID); !trusted && !s.readState(ctx, engines, u) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := s.cancelWhenUntrusted(u, cancel)
	defer stop()
	_, seq, _ := s.view.Position(u.ID)
	_ = engines.Events(ctx, u.Address, seq, func(event engine.Event) error {
		if event.Kind == engine.Stored {
			s.inflow.add(u.ID, len(event.Blocks), time.Now())
		}
		if s.view.Apply(u.ID, event) {
			return errResync
		}
		return nil
	})
}

func (s *Scheduler) readState(ctx context.Context, engines Engines, u *upstream.Upstream) bool {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := engines.State(ctx, u.Address, true)
	if err != nil {
		return false
	}
	s.view.Resync(u.ID, state)
	return true
}

// cancelWhenUntrusted cancels an event stream once responses have shown that events are being
// lost. If no further event arrives, the stream itself never shows a gap.
func (s *Scheduler) cancelWhenUntrusted(u *upstream.Upstream, cancel context.CancelFunc) (stop func()) {
	var timer *time.Timer
	var mu sync.Mutex
	stopped := false
	var check func()
	check = func() {
		if _, _, trusted := s.view.Position(u.ID); !trusted {
			cancel()
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if !stopped {
			timer = time.AfterFunc(trustCheckInterval, check)
		}
	}
	mu.Lock()
	timer = time.AfterFunc(trustCheckInterval, check)
	mu.Unlock()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}

// inflows measures the rate of new cache blocks of each engine, in blocks per second.
type inflows struct {
	mu    sync.Mutex
	rates map[uint32]*decayingRate
}

func (f *inflows) add(id uint32, blocks int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rates == nil {
		f.rates = map[uint32]*decayingRate{}
	}
	r := f.rates[id]
	if r == nil {
		r = &decayingRate{updatedAt: now}
		f.rates[id] = r
	}
	r.decay(now)
	r.perSecond += float64(blocks) / rateWindow.Seconds()
}

func (f *inflows) rate(id uint32, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.rates[id]
	if r == nil {
		return 0
	}
	r.decay(now)
	return r.perSecond
}

func (f *inflows) forget(id uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.rates, id)
}
