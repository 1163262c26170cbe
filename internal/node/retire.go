package node

import (
	"context"
	"time"

	"foxhall/internal/mirror"
	"foxhall/internal/store"
)

// retireEvery is how often an order to empty this instance is looked at.
const retireEvery = 200 * time.Millisecond

// retiring reports that operators want an instance emptied.
func (n *Node) retiring(instance string) bool {
	_, ordered := n.mirror.Get(mirror.Retirements, instance)
	return ordered
}

// retire follows an order to empty this instance: it says that it has begun,
// and that it is done once each slice is whole on two others. The machine is
// taken away with its disk then, so that saying it sooner would lose turns.
func (n *Node) retire(ctx context.Context) {
	begun, done := false, false
	for pause(ctx, retireEvery); ctx.Err() == nil; pause(ctx, retireEvery) {
		if !n.retiring(n.settings.Instance) {
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
	err := n.dialect.Objects.PutStatus(ctx, key, n.dialect.RetirementStatus(done))
	line := n.logger.WithField("done", done)
	if err != nil {
		line.WithError(err).Warn("retirement not reported")
		return false
	}
	line.Info("retirement reported")
	return true
}
