package node

import (
	"context"
	"time"

	"foxhall/internal/mirror"
	"foxhall/internal/store"
)

// retirementInterval is how often this instance checks for an order to drain it.
const retirementInterval = 200 * time.Millisecond

// isRetiring reports whether operators have ordered an instance drained. An order that can't be read is none:
// the instance's disk would be removed.
func (n *Node) isRetiring(instance string) bool {
	order, exists := n.mirror.Get(mirror.Retirements, instance)
	return exists && len(order.Value) > 0
}

// runRetirement carries out an order to drain this instance. It reports the start, and completion
// once two other keepers hold each shard completely. The machine is then removed with its disk, so
// an earlier report would lose turns.
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
		line.WithError(err).Warn("retirement status not written to the store; will retry")
		return false
	}
	line.Info("retirement status written to the store")
	return true
}
