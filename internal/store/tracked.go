package store

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// lostResponsesUntilDown is the number of consecutive lost responses after which the store is
	// considered down. A single lost response may be the fault of one call; a store that hangs loses
	// all responses.
	lostResponsesUntilDown = 2
	// maxOutages is the number of recorded outages; older ones are dropped.
	maxOutages = 32
	// probeTimeout is the timeout of one probe of a store that is down.
	probeTimeout = 2 * time.Second
	// probeMin and probeMax are the initial and the maximum backoff between probes.
	probeMin = 100 * time.Millisecond
	probeMax = 3 * time.Second
)

// probeKey is the key of an object that is never written. ErrNotFound shows that the store is available.
var probeKey = Key{Kind: "probe", Name: "probe"}

// outage is a period in which the store was known to be down; to is zero while it lasts.
type outage struct{ from, to time.Time }

// Tracked is a Client that derives from the results of its calls whether the store is down, so that
// callers can reject work that needs the store at once instead of after a timeout. While the store is
// down, Tracked probes it until it is available again.
type Tracked struct {
	Client

	ctx    context.Context
	cancel context.CancelFunc
	probes sync.WaitGroup

	mu             sync.Mutex
	down           bool
	lostInSequence int
	outages        []outage

	downGauge   metrics.Gauge
	outageCount metrics.Counter
}

// Track returns a Tracked over client. The registry may be nil. Close must be called to end its probes.
func Track(client Client, registry metrics.Registry) *Tracked {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	t := &Tracked{
		Client:      client,
		downGauge:   metrics.GetOrRegisterGauge("store.down", registry),
		outageCount: metrics.GetOrRegisterCounter("store.outages", registry),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Close ends the probes. The client stays usable.
func (t *Tracked) Close() {
	t.cancel()
	t.probes.Wait()
}

// Down reports whether the store is known to be down.
func (t *Tracked) Down() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// DownBetween reports whether the store was known to be down at any time between from and to.
func (t *Tracked) DownBetween(from, to time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, o := range t.outages {
		if !o.from.After(to) && (o.to.IsZero() || !o.to.Before(from)) {
			return true
		}
	}
	return false
}

// Get implements Client.
func (t *Tracked) Get(ctx context.Context, key Key) (Object, error) {
	object, err := t.Client.Get(ctx, key)
	t.observe(ctx, err)
	return object, err
}

// Put implements Client.
func (t *Tracked) Put(ctx context.Context, key Key, value []byte, base Version) (Version, error) {
	version, err := t.Client.Put(ctx, key, value, base)
	t.observe(ctx, err)
	return version, err
}

// Delete implements Client.
func (t *Tracked) Delete(ctx context.Context, key Key, base Version) error {
	err := t.Client.Delete(ctx, key, base)
	t.observe(ctx, err)
	return err
}

// List implements Client.
func (t *Tracked) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	objects, err := t.Client.List(ctx, kind, prefix)
	t.observe(ctx, err)
	return objects, err
}

// Watch implements Client.
func (t *Tracked) Watch(ctx context.Context, kind string, from Version) (<-chan Event, error) {
	events, err := t.Client.Watch(ctx, kind, from)
	t.observe(ctx, err)
	return events, err
}

// observe updates the state of the store from the result of one call. Calls that the caller cancelled
// and rate-limited calls are ignored; a call that failed after its deadline counts as a lost response.
func (t *Tracked) observe(ctx context.Context, err error) {
	if errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, ErrRateLimited) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := errors.Is(err, ErrUnknown) || ctx.Err() != nil && err != nil
	switch {
	case lost:
		t.lostInSequence++
		if t.lostInSequence >= lostResponsesUntilDown {
			t.markDown()
		}
	case errors.Is(err, ErrUnavailable):
		t.markDown()
	default:
		t.lostInSequence = 0
		t.markUp()
	}
}

func (t *Tracked) markDown() {
	if t.down || t.ctx.Err() != nil {
		return
	}
	t.down = true
	t.outages = append(t.outages, outage{from: time.Now()})
	if len(t.outages) > maxOutages {
		t.outages = t.outages[1:]
	}
	t.downGauge.Update(1)
	t.outageCount.Inc(1)
	t.probes.Go(t.probe)
}

func (t *Tracked) markUp() {
	if !t.down {
		return
	}
	t.down = false
	t.outages[len(t.outages)-1].to = time.Now()
	t.downGauge.Update(0)
}

// probe queries the store, one probe at a time, until the store is up again or the client is closed.
func (t *Tracked) probe() {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = probeMin
	waits.MaxInterval = probeMax
	for t.Down() {
		if !sleep(t.ctx, waits.NextBackOff()) {
			return
		}
		ctx, cancel := context.WithTimeout(t.ctx, probeTimeout)
		_, err := t.Client.Get(ctx, probeKey)
		cancel()
		if err == nil || errors.Is(err, ErrNotFound) {
			t.observe(context.Background(), nil)
		}
	}
}

// sleep waits for d and reports whether d passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
