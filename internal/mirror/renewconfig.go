package mirror

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// configRenewalInterval is the time between two reads of the configuration on demand after configRenewalBurst.
	// A read that the store responds to makes further ones superfluous for longer.
	configRenewalInterval = time.Second
	configRenewalBurst    = 2
	// ConfigRenewalWait is the time within which a read on demand has a response where the store is in reach.
	ConfigRenewalWait = 250 * time.Millisecond
)

// configRenewal is the reading of the configuration on demand. All who ask while one read runs share it.
type configRenewal struct {
	limiter *rate.Limiter

	mu sync.Mutex
	// done is closed after the read that runs, which began at beganAt; nil if none runs.
	done    chan struct{}
	beganAt time.Time
}

// RenewConfig has the configuration read from the store. The returned channel is closed after the read, whether the store
// responded or not, and is nil if there is none to wait for: the last ones have failed, or take too long.
func (f *Follower) RenewConfig() <-chan struct{} {
	r, now := &f.configRenewal, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.done != nil {
		if now.Sub(r.beganAt) >= ConfigRenewalWait {
			return nil
		}
		return r.done
	}
	r.limiter.SetLimitAt(now, rate.Every(f.fleetConfigRenewalInterval()))
	if !r.limiter.AllowN(now, 1) {
		return nil
	}
	r.done, r.beganAt = make(chan struct{}), now
	go f.renewConfig(r.done)
	return r.done
}

func (f *Follower) renewConfig(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), renewalTimeout)
	defer cancel()
	if err := f.checkConfig(ctx); err != nil {
		f.logger.WithError(err).Debug("configuration not read on demand; calls whose route or key it lacks are refused")
	}
	f.configRenewal.mu.Lock()
	defer f.configRenewal.mu.Unlock()
	f.configRenewal.done = nil
	close(done)
}

// fleetConfigRenewalInterval returns an interval at which all instances together stay below maxFleetRenewals.
func (f *Follower) fleetConfigRenewalInterval() time.Duration {
	interval := min(configRenewalInterval, f.mirror.timing.changeDeadline/2)
	return max(interval, time.Duration(f.mirror.Len(Fleet))*time.Second/maxFleetRenewals)
}
