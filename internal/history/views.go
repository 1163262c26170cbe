package history

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/history/historypb"
)

// maxStatusRequests is the number of status requests in flight to one keeper: the last request
// before a network partition must not delay the first one after it.
const maxStatusRequests = 2

const (
	// broadcastInterval is the time between status broadcasts of a keeper. Other keepers request
	// the status only after two broadcasts in a row are lost.
	broadcastInterval = 90 * time.Millisecond
	// fullBroadcastEvery is the number of broadcasts of which one lists all shards even without a
	// change.
	fullBroadcastEvery = 8
)

// runBroadcast broadcasts this keeper's status. Broadcasts replace calls between each pair of
// keepers, whose cost would grow with the square of their number.
func (k *Keeper) runBroadcast(ctx context.Context) {
	ticker := time.NewTicker(broadcastInterval)
	defer ticker.Stop()
	lastEdition := uint64(0)
	for n := 0; ; n++ {
		if !k.isSpare() {
			lastEdition = k.broadcastStatus(lastEdition, n%fullBroadcastEvery == 0)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// broadcastStatus broadcasts the status, with all shards if full is set or if they changed after
// lastEdition. It returns the edition.
func (k *Keeper) broadcastStatus(lastEdition uint64, full bool) uint64 {
	k.mu.Lock()
	status := k.status()
	k.mu.Unlock()
	if status.Edition == lastEdition && !full {
		status.Slices = nil
	}
	k.peers.BroadcastStatus(status)
	return status.Edition
}

// ObserveStatus records another keeper's broadcast status.
func (k *Keeper) ObserveStatus(status *historypb.StatusResponse) {
	if status.Name == k.settings.Name || status.Name == "" {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(status.Slices) == 0 {
		v := k.views[status.Name]
		if v == nil || v.status == nil || v.status.Edition != status.Edition {
			// The broadcast with the change was lost. The next full one, or a response to a status
			// request, arrives soon.
			return
		}
		status.Slices = v.status.Slices
	}
	k.recordStatus(status.Name, status)
}

// runStatusPolls requests the status of the other keepers without recent contact.
func (k *Keeper) runStatusPolls(ctx context.Context) {
	ticker := time.NewTicker(statusPollInterval)
	defer ticker.Stop()
	polls := newKeyedLimiter(maxStatusRequests)
	for {
		keepers := k.settings.Keepers()
		if !containsKeeper(keepers, k.settings.Name) {
			keepers = nil // a spare needs no status
		}
		for _, c := range keepers {
			if c.Name != k.settings.Name && !k.hasRecentContact(c.Name) {
				polls.start(c.Name, func() { k.requestStatus(ctx, c.Name) })
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) requestStatus(ctx context.Context, name string) {
	k.mu.Lock()
	if k.views[name] == nil {
		k.views[name] = &peerView{lastContact: time.Now()}
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := k.peers.Status(ctx, name, &historypb.StatusRequest{From: k.settings.Name})
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			k.views[name].refusedConnections++
		}
		return
	}
	k.recordStatus(name, status)
}

// hasRecentContact reports whether a keeper's status arrived less than suspicionDelay ago.
func (k *Keeper) hasRecentContact(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.views[name]
	return v != nil && v.status != nil && time.Since(v.lastContact) < suspicionDelay
}

// recordStatus records another keeper's status; the lock is held.
func (k *Keeper) recordStatus(name string, status *historypb.StatusResponse) {
	v := k.views[name]
	if v == nil {
		v = &peerView{}
		k.views[name] = v
	}
	changed := v.unresponsive(time.Now()) || v.refusedConnections > 0 || !sameStatus(v.status, status)
	v.recordContact(time.Now())
	v.status, v.refusedConnections = status, 0
	// The reconciler runs ten times a second anyway. To run it at each status of each keeper would
	// cost the square of their number.
	if changed {
		notify(k.wakeReconciler)
	}
}

// sameStatus reports whether two statuses agree in all that affects role decisions.
func sameStatus(a, b *historypb.StatusResponse) bool {
	if a == nil || a.Leaving != b.Leaving || a.Disk != b.Disk || a.Spares != b.Spares || a.Copies != b.Copies || len(a.Slices) != len(b.Slices) {
		return false
	}
	stalled := func(s *historypb.StatusResponse) bool { return s.StalledMs > diskStallTimeout.Milliseconds() }
	for i, m := range a.Slices {
		if m.Slice != b.Slices[i].Slice || decodeEpochState(m) != decodeEpochState(b.Slices[i]) {
			return false
		}
	}
	return stalled(a) == stalled(b)
}

// keyedLimiter limits the number of functions that run concurrently for each name. It is used by
// one goroutine.
type keyedLimiter struct {
	limit   int
	running map[string]chan struct{}
}

func newKeyedLimiter(limit int) *keyedLimiter {
	return &keyedLimiter{limit: limit, running: map[string]chan struct{}{}}
}

// start runs f in the background, unless the limit for the name is reached.
func (e *keyedLimiter) start(name string, f func()) {
	if e.running[name] == nil {
		e.running[name] = make(chan struct{}, e.limit)
	}
	running := e.running[name]
	select {
	case running <- struct{}{}:
		go func() {
			defer func() { <-running }()
			f()
		}()
	default:
	}
}
