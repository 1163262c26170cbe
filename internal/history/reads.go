package history

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// runAssignmentReader reads the assignment from the store on request.
func (k *Keeper) runAssignmentReader(ctx context.Context) {
	for {
		select {
		case <-k.wakeReader:
		case <-ctx.Done():
			return
		}
		a, version, err := k.assignments.Read(ctx)
		if err != nil {
			k.settings.Logger.WithError(err).Warn("assignment not read")
			sleep(ctx, k.backOffStore())
			continue
		}
		k.mu.Lock()
		k.resetStoreBackoff()
		k.verified = true
		k.mu.Unlock()
		k.ApplyAssignment(a, version)
		// A burst of refusals causes one read.
		time.Sleep(minReadInterval)
	}
}

// minReadInterval is the shortest time between two reads of the assignment. It is short because
// keepers whose conditional updates conflict read the assignment again before the next try.
const minReadInterval = 25 * time.Millisecond

// assignmentGossipTimeout is how long gossip takes to deliver a new assignment.
const assignmentGossipTimeout = 300 * time.Millisecond

// readIfNotNotified requests a read of the assignment if this keeper promised a later epoch of the
// shard than the known one and gossip does not deliver that assignment in time; the lock is held.
func (k *Keeper) readIfNotNotified(s *shard) {
	time.AfterFunc(assignmentGossipTimeout, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if s.epochState.promised > s.role.Epoch {
			notify(k.wakeReader)
		}
	})
}

const (
	// While the store does not respond, calls to it back off from minStoreBackoff to
	// maxStoreBackoff: each call costs money, and there are many keepers.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 400 * time.Millisecond
)

// backOffStore records that the store did not respond, and returns how long to wait before the next
// call.
func (k *Keeper) backOffStore() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	pause := k.storeBackoff.NextBackOff()
	k.storeRetryAt = time.Now().Add(pause)
	return pause
}

// resetStoreBackoff records that the store responds; the lock is held.
func (k *Keeper) resetStoreBackoff() {
	k.storeBackoff.Reset()
	k.storeRetryAt = time.Time{}
}

func newStoreBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = minStoreBackoff, maxStoreBackoff
	return policy
}
