package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// Rates are an instance's shares of the calls that the object API takes, in
// calls a second. Zero means no bound.
type Rates struct {
	Reads  float64
	Writes float64
}

// burstSeconds is how much of a share may be used at once after a quiet time.
const burstSeconds = 1

// waitSample is the number of recent waits that the metric keeps.
const waitSampleSize = 1028

// Limited is a Client that keeps an instance, or a part of one, within its
// share of the object API's rate and counts its calls. The API counts each
// call, a waiting watch as one, and refuses all callers beyond its rate, so
// that one that loops on a failing call would refuse the others' appends.
type Limited struct {
	client       Client
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	readMeter    metrics.Counter
	writeMeter   metrics.Counter
	watchMeter   metrics.Counter
	failureMeter metrics.Counter
	byteMeter    metrics.Counter
	// waits is in microseconds.
	waitTimes metrics.Histogram
}

// Limit returns a Limited over client for a whole instance, whose metrics
// begin with "store". The registry may be nil.
func Limit(client Client, rates Rates, registry metrics.Registry) *Limited {
	return newLimited(client, newLimiter(rates.Reads), newLimiter(rates.Writes), registry, "store")
}

// LimitPart returns a Limited over client for a part of an instance, with one
// limiter for all its calls and metrics that begin with prefix.
func LimitShared(client Client, limiter *rate.Limiter, registry metrics.Registry, prefix string) *Limited {
	return newLimited(client, limiter, limiter, registry, prefix)
}

func newLimited(client Client, reads, writes *rate.Limiter, registry metrics.Registry, prefix string) *Limited {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter(prefix+"."+name, registry)
	}
	return &Limited{
		client:       client,
		readLimiter:  reads,
		writeLimiter: writes,
		readMeter:    counter("reads"),
		writeMeter:   counter("writes"),
		watchMeter:   counter("watches"),
		failureMeter: counter("failures"),
		byteMeter:    counter("bytes"),
		waitTimes:    metrics.GetOrRegisterHistogram(prefix+".wait.us", registry, metrics.NewUniformSample(waitSampleSize)),
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// Calls returns the number of reads, writes and watches started so far.
func (l *Limited) Calls() int64 {
	return l.readMeter.Count() + l.writeMeter.Count() + l.watchMeter.Count()
}

// Bytes returns the bytes of values read and written so far.
func (l *Limited) Bytes() int64 { return l.byteMeter.Count() }

// begin takes a place in the rate. A caller whose deadline comes first gets
// ErrRateLimited at once: nothing was sent.
func (l *Limited) acquire(ctx context.Context, limiter *rate.Limiter, count metrics.Counter) error {
	started := time.Now()
	err := limiter.Wait(ctx)
	l.waitTimes.Update(time.Since(started).Microseconds())
	if err != nil {
		l.failureMeter.Inc(1)
		return ErrRateLimited
	}
	count.Inc(1)
	return nil
}

func (l *Limited) recordFailure(err error) error {
	if errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown) {
		l.failureMeter.Inc(1)
	}
	return err
}

// Get implements Client.
func (l *Limited) Get(ctx context.Context, key Key) (Object, error) {
	if err := l.acquire(ctx, l.readLimiter, l.readMeter); err != nil {
		return Object{}, err
	}
	object, err := l.client.Get(ctx, key)
	l.byteMeter.Inc(int64(len(object.Value)))
	return object, l.recordFailure(err)
}

// Put implements Client.
func (l *Limited) Put(ctx context.Context, key Key, value []byte, base Version) (Version, error) {
	if err := l.acquire(ctx, l.writeLimiter, l.writeMeter); err != nil {
		return 0, err
	}
	l.byteMeter.Inc(int64(len(value)))
	version, err := l.client.Put(ctx, key, value, base)
	return version, l.recordFailure(err)
}

// Delete implements Client.
func (l *Limited) Delete(ctx context.Context, key Key, base Version) error {
	if err := l.acquire(ctx, l.writeLimiter, l.writeMeter); err != nil {
		return err
	}
	return l.recordFailure(l.client.Delete(ctx, key, base))
}

// List implements Client.
func (l *Limited) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	if err := l.acquire(ctx, l.readLimiter, l.readMeter); err != nil {
		return nil, err
	}
	objects, err := l.client.List(ctx, kind, prefix)
	for i := range objects {
		l.byteMeter.Inc(int64(len(objects[i].Value)))
	}
	return objects, l.recordFailure(err)
}

// Watch implements Client. Its events are not paced, but their bytes count.
func (l *Limited) Watch(ctx context.Context, kind string, from Version) (<-chan Event, error) {
	if err := l.acquire(ctx, l.readLimiter, l.watchMeter); err != nil {
		return nil, err
	}
	events, err := l.client.Watch(ctx, kind, from)
	if err != nil {
		return nil, l.recordFailure(err)
	}
	counted := make(chan Event)
	go l.forward(ctx, events, counted)
	return counted, nil
}

func (l *Limited) forward(ctx context.Context, events <-chan Event, counted chan<- Event) {
	defer close(counted)
	for event := range events {
		l.byteMeter.Inc(int64(len(event.Object.Value)))
		select {
		case counted <- event:
		case <-ctx.Done():
			return
		}
	}
}
