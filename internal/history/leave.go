package history

import (
	"context"
	"time"
)

// Leave hands over what this keeper holds, until it holds nothing or ctx ends.
func (k *Keeper) HandOff(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	ticker := time.NewTicker(rolesEvery)
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
	opinions := k.opinions(time.Now())
	for number, r := range k.known.Shards {
		if r.Epoch == 0 || r.Primary == k.settings.Name || r.partner(k.settings.Name) {
			return false
		}
		for _, name := range r.holders() {
			if !opinions[name].has(number, r.Epoch) {
				return false
			}
		}
	}
	return true
}
