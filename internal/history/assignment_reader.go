package history

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// runReads reads the assignment from the store when it is asked for.
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
		// A burst of refusals asks for one read.
		time.Sleep(minReadInterval)
	}
}

// readPause is the least time between two reads of the assignment. It is short,
// since keepers that change it at the same time take turns by reading it again.
const minReadInterval = 25 * time.Millisecond

// tellTime is how long the other instances take to tell of a new assignment.
const assignmentGossipTimeout = 300 * time.Millisecond

// readUnlessTold has the assignment read if a later epoch of the slice than the known one
// is followed and no instance tells of it soon; the lock is held.
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
	// While the store does not answer, calls to it wait from storeFirst to
	// storeMost: each is paid for, and there are many keepers.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 400 * time.Millisecond
)

// storeLost notes that the store did not answer, and returns for how long it is
// not called.
func (k *Keeper) backOffStore() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	pause := k.storeBackoff.NextBackOff()
	k.storeRetryAt = time.Now().Add(pause)
	return pause
}

// storeBack notes that the store answers; the lock is held.
func (k *Keeper) resetStoreBackoff() {
	k.storeBackoff.Reset()
	k.storeRetryAt = time.Time{}
}

func newStoreBackoff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = minStoreBackoff, maxStoreBackoff
	return policy
}
