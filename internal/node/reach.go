package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"foxhall/internal/history/historypb"
)

// canBeReached reports whether other instances can reach this one, as far as it depends on its listeners.
func (f *fleet) canBeReached() bool { return f.listening.Load() && f.receives.isSet() }

// couldBeReached reports whether other instances could reach this one at any time since it started.
func (f *fleet) couldBeReached() bool { return f.listens.isSet() && f.receives.isSet() }

// awaitReachability waits until other instances can reach this one, or ctx ends.
func (f *fleet) awaitReachability(ctx context.Context) {
	timer := time.NewTimer(registrationDelay)
	defer timer.Stop()
	for _, l := range []*latch{f.listens, f.receives} {
		select {
		case <-l.c:
			continue
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		f.logger.Warn("not registered with the other instances until they can connect to this one")
		select {
		case <-l.c:
		case <-ctx.Done():
			return
		}
	}
}

// BroadcastStatus implements history.Peers. A keeper to which no other can connect sends none: it would count as live,
// and its shards' turns would be refused.
func (f *fleet) BroadcastStatus(status *historypb.StatusResponse) {
	if !f.listening.Load() {
		return
	}
	data, err := proto.Marshal(status)
	if err != nil {
		f.logger.WithError(err).Warn("keeper status can't be encoded; not broadcast")
		return
	}
	f.broadcast(data, f.current.Load().keeperAddresses)
}
