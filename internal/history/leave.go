package history

import (
	"context"
	"time"
)

// HandOff drains this keeper: it returns once other keepers hold all shards or ctx ends.
func (k *Keeper) HandOff(ctx context.Context) {
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for !k.Drained() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Drained reports whether this keeper holds no shards and all holders of each shard are complete. A
// retiring keeper is removed with its disk, so that a sole holder doesn't suffice; one that only
// stops returns with its disk.
func (k *Keeper) Drained() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version == 0 {
		return false
	}
	assessments, retiring := k.assessPeers(time.Now()), k.settings.IsRetiring(k.settings.Name)
	for id, r := range k.known.Shards {
		if r.Epoch == 0 || r.hasHolder(k.settings.Name) || retiring && len(r.Backups) == 0 {
			return false
		}
		for _, name := range r.holders() {
			if !assessments[name].isComplete(id, r.Epoch) {
				return false
			}
		}
	}
	return true
}
