package node

import (
	"context"
	"sync/atomic"
	"time"

	"foxhall/internal/mirror"
)

// inForceInterval is how often a call that waits for a configuration that was read looks whether it is in force.
const inForceInterval = 5 * time.Millisecond

// configView is this instance's view of the configuration.
type configView struct {
	mirror   *mirror.Mirror
	follower *mirror.Follower
	// inForce is the store revision of the configuration that is in force.
	inForce *atomic.Uint64
}

// IsCurrent reports whether the configuration in force lacks no change that has to be. If that is not known, the
// configuration is read again.
func (v configView) IsCurrent(ctx context.Context) bool {
	if v.isCurrent() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, mirror.ConfigRenewalWait)
	defer cancel()
	for !v.isProven() {
		if !v.renew(ctx) {
			return false
		}
	}
	ticker := time.NewTicker(inForceInterval)
	defer ticker.Stop()
	for !v.isCurrent() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (v configView) isCurrent() bool { return v.isProven() && v.isInForce() }

// isProven reports whether the mirror has the configuration that has to be in force.
func (v configView) isProven() bool { return v.mirror.IsCurrent(mirror.Config, time.Now()) }

func (v configView) isInForce() bool {
	e, ok := v.mirror.Get(mirror.Config, mirror.ConfigName)
	return !ok || uint64(e.Revision) == v.inForce.Load()
}

// renew waits for a read of the configuration. It reports false if there is none to wait for, or not in time.
func (v configView) renew(ctx context.Context) bool {
	renewal := v.follower.RenewConfig()
	if renewal == nil {
		return false
	}
	select {
	case <-renewal:
		return true
	case <-ctx.Done():
		return false
	}
}
