package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"foxhall/internal/store"
)

const (
	// maxRenewalRate is the number of reads on demand per second of one instance, renewalBurst that at once, and
	// maxFleetRenewals the number per second of all instances.
	maxRenewalRate   = 10
	renewalBurst     = 2
	maxFleetRenewals = 400
	// renewalTimeout bounds one read.
	renewalTimeout = time.Second
	// renewalListInterval is the least time between the last listing of the replicas and one on demand.
	renewalListInterval = time.Second
)

// renewals are reads of the replicas on demand. Those who ask while one runs share the next one.
type renewals struct {
	limiter *rate.Limiter

	mu sync.Mutex
	// next is closed after the next read; nil while nobody waits for it.
	next    chan struct{}
	running bool
	// unansweredSince is when the first read began after the last one that succeeded; zero if none did.
	unansweredSince time.Time
}

// begin and end record when a read begins, and whether it succeeded.
func (r *renewals) begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unansweredSince.IsZero() {
		r.unansweredSince = now
	}
}

func (r *renewals) end(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.unansweredSince = time.Time{}
	}
}

// UnansweredFor returns for how long reads on demand have had no answer; 0 if the last one had.
func (f *Follower) UnansweredFor(now time.Time) time.Duration {
	r := &f.renewals
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(r.unansweredSince)
}

// Renew has the replicas' changes read from the store. The returned channel is closed after a read that began after the
// call, whether the store responded or not.
func (f *Follower) Renew() <-chan struct{} {
	r := &f.renewals
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = make(chan struct{})
	}
	if !r.running {
		r.running = true
		go f.runRenewals()
	}
	return r.next
}

// runRenewals reads until nobody waits for a further read.
func (f *Follower) runRenewals() {
	r := &f.renewals
	for {
		r.limiter.SetLimit(min(maxRenewalRate, rate.Limit(maxFleetRenewals)/rate.Limit(max(1, f.mirror.Len(Fleet)))))
		_ = r.limiter.Wait(context.Background()) // fails only if the context ends
		r.mu.Lock()
		done := r.next
		r.next = nil
		r.mu.Unlock()
		f.renew()
		close(done)
		r.mu.Lock()
		r.running = r.next != nil
		running := r.running
		r.mu.Unlock()
		if !running {
			return
		}
	}
}

func (f *Follower) renew() {
	ctx, cancel := context.WithTimeout(context.Background(), renewalTimeout)
	defer cancel()
	if _, known := f.mirror.AsOf(Replicas); !known {
		return
	}
	f.renewals.begin(time.Now())
	_, err := f.readChanges(ctx, Replicas, 0)
	if errors.Is(err, store.ErrGone) && time.Since(time.Unix(0, f.listedAt.Load())) >= renewalListInterval {
		err = f.snapshot(ctx, Replicas)
	}
	f.renewals.end(err)
	if err != nil {
		f.logger.WithError(err).Debug("replicas not read on demand; what needs a newer list is refused")
	}
}
