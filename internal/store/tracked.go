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
	// lostAnswersUntilDown is the number of lost answers in a row after which
	// a store counts as down. One lost answer is a fault of one call; a store
	// that hangs loses them all.
	lostResponsesUntilDown = 2
	// keptOutages is the number of past outages remembered.
	maxOutages = 32
	// probeTimeout bounds one probe of a store that is down.
	probeTimeout = 2 * time.Second
	// probeFirst and probeMost are the shortest and longest wait between probes.
	probeMin = 100 * time.Millisecond
	probeMax = 3 * time.Second
)

// probeKey names an object that is never written: its absence is an answer.
var probeKey = Key{Kind: "probe", Name: "probe"}

// outage is a time for which the store was known to be down. A zero to means
// that it lasts.
type outage struct{ from, to time.Time }

// Tracked is a Client that knows from the outcomes of its calls whether the
// store is down, so that what can't work is refused at once and not after a
// timeout. While it is down, one probe at a time finds out when it is back.
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

// Track returns a Tracked over client. Close ends its probes. The registry may be nil.
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

// DownBetween reports whether the store was known to be down at some moment
// between from and to.
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

// observe learns from one outcome. A caller that gave up says nothing about
// the store; a caller's deadline that passed counts as a lost answer.
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

// probe asks the store until it answers or the client is closed.
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

// sleep waits for d and reports whether ctx still lives.
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
