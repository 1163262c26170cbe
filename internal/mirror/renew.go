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
)

// renewals are reads of the replicas on demand. Those who ask while one runs share the next one.
type renewals struct {
	limiter *rate.Limiter

	mu sync.Mutex
	// next is closed after the next read; nil while nobody waits for it.
	next    chan struct{}
	running bool
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
	_, err := f.readChanges(ctx, Replicas, 0)
	if errors.Is(err, store.ErrGone) {
		err = f.snapshot(ctx, Replicas)
	}
	if err != nil {
		f.logger.WithError(err).Debug("replicas not read on demand; what needs a newer list is refused")
	}
}
