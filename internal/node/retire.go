package node

import (
	"context"
	"time"

	"foxhall/internal/mirror"
	"foxhall/internal/store"
)

// retireEvery is how often an order to empty this instance is looked at.
const retirementInterval = 200 * time.Millisecond

// retiring reports that operators want an instance emptied.
func (n *Node) isRetiring(instance string) bool {
	_, ordered := n.mirror.Get(mirror.Retirements, instance)
	return ordered
}

// retire follows an order to empty this instance: it says that it has begun,
// and that it is done once each slice is whole on two others. The machine is
// taken away with its disk then, so that saying it sooner would lose turns.
func (n *Node) runRetirement(ctx context.Context) {
	begun, done := false, false
	for sleep(ctx, retirementInterval); ctx.Err() == nil; sleep(ctx, retirementInterval) {
		if !n.isRetiring(n.settings.Instance) {
			begun, done = false, false
			continue
		}
		if !begun {
			begun = n.reportRetirement(ctx, false)
			continue
		}
		if !done && n.keeper.Drained() {
			done = n.reportRetirement(ctx, true)
		}
	}
}

func (n *Node) reportRetirement(ctx context.Context, done bool) bool {
	key := store.Key{Kind: string(mirror.Retirements), Name: n.settings.Instance}
	err := n.adapter.Objects.PutStatus(ctx, key, n.adapter.RetirementStatus(done))
	line := n.logger.WithField("done", done)
	if err != nil {
		line.WithError(err).Warn("retirement not reported")
		return false
	}
	line.Info("retirement reported")
	return true
}
