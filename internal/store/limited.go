package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// Rates are an instance's shares of the object API's rate limit, in calls per second. Zero means no
// limit.
type Rates struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// burstSeconds is the part of a share that may be used at once after an idle time, in seconds of
// the rate.
const burstSeconds = 1

// waitSampleSize is the number of wait times in the metric's sample.
const waitSampleSize = 1028

// Limited is a Client that keeps an instance, or a part of one, within its share of the object API's
// rate limit, and counts its calls. The API counts each call, and a waiting watch as one call. Beyond
// the limit it rejects the calls of all callers, so that an instance that repeats a failing call in a
// loop would cause the appends of others to be rejected.
type Limited struct {
	client       Client
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter

	readMeter    metrics.Counter
	writeMeter   metrics.Counter
	watchMeter   metrics.Counter
	failureMeter metrics.Counter
	byteMeter    metrics.Counter
	// waitTimes holds the times that calls waited for the limiter, in microseconds.
	waitTimes metrics.Histogram
}

// Limit returns a Limited over client for an instance, with metrics whose names begin with "store".
// The registry may be nil.
func Limit(client Client, rates Rates, registry metrics.Registry) *Limited {
	return newLimited(client, newLimiter(rates.ReadsPerSecond), newLimiter(rates.WritesPerSecond), registry, "store")
}

// LimitShared returns a Limited over client for a part of an instance, with one limiter shared by
// reads and writes and with metrics whose names begin with prefix. The registry may be nil.
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

// newLimiter returns a limiter for a rate in calls per second; zero or less means no limit.
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

// Bytes returns the total size of the values read and written so far, in bytes.
func (l *Limited) Bytes() int64 { return l.byteMeter.Count() }

// acquire waits until the limiter permits a call, and counts the call. If the caller's deadline is
// earlier, it returns ErrRateLimited at once; nothing has been sent then.
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

// recordFailure counts err if it is an outage or a lost response, and returns it.
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

// Watch implements Client. The limiter does not apply to its events, but their sizes are counted.
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
