package history

import (
	"context"
	"time"
)

// Leave hands over what this keeper holds, until it holds nothing or ctx ends.
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

// Empty reports that each slice is whole on other keepers.
func (k *Keeper) Drained() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version == 0 {
		return false
	}
	assessments := k.assessPeers(time.Now())
	for id, r := range k.known.Shards {
		if r.Epoch == 0 || r.Primary == k.settings.Name || r.hasBackup(k.settings.Name) {
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
