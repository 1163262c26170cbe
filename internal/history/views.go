package history

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/history/historypb"
)

// runViews asks the other keepers how they stand.
func (k *Keeper) runViews(ctx context.Context) {
	ticker := time.NewTicker(statusEvery)
	defer ticker.Stop()
	asking := map[string]chan struct{}{}
	for {
		for _, c := range k.settings.Keepers() {
			if c.Name == k.settings.Name {
				continue
			}
			if asking[c.Name] == nil {
				asking[c.Name] = make(chan struct{}, 1)
			}
			select {
			case asking[c.Name] <- struct{}{}:
				go func() {
					defer func() { <-asking[c.Name] }()
					k.ask(ctx, c.Name)
				}()
			default:
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) ask(ctx context.Context, name string) {
	k.mu.Lock()
	if k.views[name] == nil {
		k.views[name] = &view{heard: time.Now()}
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, statusTime)
	defer cancel()
	status, err := k.peers.Status(ctx, name, &historypb.StatusRequest{From: k.settings.Name})
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.views[name]
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			v.refused++
		}
		return
	}
	v.heard, v.status, v.refused = time.Now(), status, 0
	notify(k.wakeRoles)
}
