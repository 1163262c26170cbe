package instance

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"foxhall/internal/control"
)

const (
	// reportInterval is how often the report in heartbeats is refreshed.
	reportInterval = time.Second
	// unreadyDelay is how long a stopping instance still accepts calls after it reports that it is
	// not ready, so that the load balancer sends none to a closed listener.
	unreadyDelay = 500 * time.Millisecond
	// shutdownStepTimeout bounds each step of a stop other than the wait for steps in flight, which
	// the grace period bounds.
	shutdownStepTimeout = 5 * time.Second
)

// Run serves until ctx ends and then stops gracefully: it reports not ready, waits for the steps in
// flight, and hands the programs over. It returns ErrFenced if a successor sealed this
// incarnation's log. If a part fails, it stops in the same way and returns the error.
func (i *Instance) Run(ctx context.Context) error {
	workCtx, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	parts := newParts()
	i.startBackground(workCtx, parts)
	log.WithFields(log.Fields{
		"instance": i.settings.Instance, "data_centre": i.settings.DataCentre, "cohort": i.cohort,
		"callers": i.callerListener.address(), "peers": i.peerListener.address(),
	}).Info("instance started")
	var err error
	select {
	case <-ctx.Done():
		i.shutdown()
	case <-i.watchFence(workCtx):
		i.retire()
		if ctx.Err() == nil {
			err = ErrFenced
		}
	case err = <-parts.failed:
		i.shutdown()
	}
	stopWork()
	_ = i.callerListener.server.Close()
	_ = i.peerListener.server.Close()
	parts.group.Wait()
	i.close()
	return err
}

// parts are the background tasks of a running instance. The failure of one ends no other, so that the instance
// can stop in order.
type parts struct {
	group sync.WaitGroup
	// failed receives the error of the first part that fails.
	failed chan error
}

func newParts() *parts { return &parts{failed: make(chan error, 1)} }

// run runs a part that may fail.
func (p *parts) run(ctx context.Context, name string, part func(context.Context) error) {
	p.group.Go(func() {
		err := part(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		log.WithField("part", name).WithError(err).Error("part of this instance failed; stopping")
		select {
		case p.failed <- errors.Wrap(err, name):
		default:
		}
	})
}

// ErrFenced is returned by Run when another instance has taken over this incarnation's programs,
// because it was paused or isolated for too long. This incarnation can't write to its log, so the
// process must continue as a new incarnation.
var ErrFenced = errors.New("instance: fenced by a successor")

// fenceCheckInterval is how often an instance checks whether its log was sealed.
const fenceCheckInterval = 250 * time.Millisecond

// watchFence returns a channel that is closed once a successor has sealed the log.
func (i *Instance) watchFence(ctx context.Context) <-chan struct{} {
	fenced := make(chan struct{})
	go func() {
		ticker := time.NewTicker(fenceCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			if _, _, sealed := i.log.Fenced(); sealed && !i.stopping.Load() {
				close(fenced)
				return
			}
		}
	}()
	return fenced
}

// retire stops a fenced incarnation. Calls in flight are relayed to the current owners or answered;
// the outcomes of steps already sent to upstreams are reported to the owners.
func (i *Instance) retire() {
	log.WithField("cohort", i.cohort).Warn("fenced: another instance owns the programs of this incarnation")
	i.stopping.Store(true)
	i.members.Fence()
	i.owner.MarkMoved()
	i.runWithTimeout(i.settings.Shutdown.Grace.Std(), func(ctx context.Context) {
		warnOnError(i.callerListener.shutdown(ctx), "responses to callers still in flight at the timeout; connections closed")
		warnOnError(i.owner.AwaitReports(ctx), "outcomes not reported to the programs' owners within the grace period")
		warnOnError(i.waitUntilOffered(ctx), "turns held by peers for this incarnation not accepted by the programs' owners")
	})
	i.runWithTimeout(shutdownStepTimeout, func(ctx context.Context) { _ = i.peerListener.shutdown(ctx) })
	i.runWithTimeout(shutdownStepTimeout, i.releaseBudgetsAndLeases)
}

// offerCheckInterval is how often a fenced incarnation checks whether its held turns were accepted.
const offerCheckInterval = 50 * time.Millisecond

// waitUntilOffered waits until the successors have accepted the turns that peers hold for this
// incarnation.
func (i *Instance) waitUntilOffered(ctx context.Context) error {
	for i.log.ReliesOnCopies() {
		select {
		case <-time.After(offerCheckInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// startBackground starts the listeners and the background tasks.
func (i *Instance) startBackground(ctx context.Context, p *parts) {
	p.run(ctx, "callers", func(context.Context) error { return i.callerListener.serve() })
	p.run(ctx, "peers", func(context.Context) error { return i.peerListener.serve() })
	p.run(ctx, "control", i.control.Run)
	p.run(ctx, "configuration", i.config.Run)
	p.run(ctx, "membership", i.members.Run)
	p.run(ctx, "limits", i.gate.Run)
	p.run(ctx, "budgets", i.budget.Run)
	p.run(ctx, "leases", i.duties.lease.Run)
	p.group.Go(func() { i.owner.Run(ctx) })
	p.group.Go(func() { i.ownership.Run(ctx) })
	p.group.Go(func() { i.followConfig(ctx) })
	p.group.Go(func() { i.scheduler.Run(ctx, i.engines) })
	p.group.Go(func() { i.refreshReport(ctx) })
	p.group.Go(func() { i.pauses.run(ctx) })
	p.group.Go(func() { i.copies.run(ctx) })
	p.group.Go(func() { i.remote.run(ctx) })
	p.group.Go(func() { i.duties.engines.Run(ctx) })
	p.group.Go(func() { i.duties.releases.Run(ctx) })
	p.group.Go(func() { i.duties.collectDemand(ctx) })
	p.group.Go(func() { i.duties.collectChunks(ctx) })
	p.group.Go(func() { i.broadcastSignals(ctx) })
	p.group.Go(func() { i.followEndpoints(ctx) })
}

// followConfig announces the version of each new configuration.
func (i *Instance) followConfig(ctx context.Context) {
	for ctx.Err() == nil {
		changed := i.config.Changed()
		if current := i.config.Current(); current != nil {
			i.members.SetReport(i.report())
			_ = i.control.Post(control.ConfigChanged{Version: current.Version})
			log.WithField("version", current.Version).Info("configuration in force")
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// refreshReport announces this instance once it is ready, and refreshes the report in its
// heartbeats.
func (i *Instance) refreshReport(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	announced := false
	for {
		if !announced && i.notReadyReason() == "" {
			i.members.Ready()
			announced = true
		}
		i.members.SetReport(i.report())
		_ = i.control.Post(control.StoreChanged{Healthy: !i.store.Down()})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// shutdown performs a planned stop. Each part has its own timeout: a step that takes longer than
// the grace period must neither prevent the handover of the programs nor abort the responses to
// callers whose steps were not run.
func (i *Instance) shutdown() {
	log.Info("stopping")
	i.stopping.Store(true)
	i.runWithTimeout(shutdownStepTimeout, i.members.AnnounceStop)
	time.Sleep(unreadyDelay)
	i.runWithTimeout(i.settings.Shutdown.Grace.Std(), func(ctx context.Context) {
		warnOnError(i.owner.Drain(ctx), "steps still in flight at the end of the grace period")
	})
	i.runWithTimeout(shutdownStepTimeout, i.handOverPrograms)
	i.runWithTimeout(shutdownStepTimeout, func(ctx context.Context) {
		warnOnError(i.callerListener.shutdown(ctx), "responses to callers still in flight at the timeout; connections closed")
	})
	i.runWithTimeout(shutdownStepTimeout, i.releaseBudgetsAndLeases)
	i.runWithTimeout(shutdownStepTimeout, i.depart)
	i.runWithTimeout(shutdownStepTimeout, func(ctx context.Context) { _ = i.peerListener.shutdown(ctx) })
}

// depart announces the departure of this instance after it has handed off the copies it holds for
// others. Without the announcement it counts as dead, which tells an owner's successor that copies
// may be lost.
func (i *Instance) depart(ctx context.Context) {
	if err := i.handOffCopies(ctx); err != nil {
		log.WithError(err).Warn("copies held for other instances not handed off; departure not announced")
		return
	}
	warnOnError(i.members.AnnounceEnd(ctx), "departure not recorded")
}

// runWithTimeout runs one part of a stop with a timeout.
func (i *Instance) runWithTimeout(timeout time.Duration, step func(context.Context)) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	step(ctx)
}

// warnOnError logs the message with err unless err is nil.
func warnOnError(err error, message string) {
	if err != nil {
		log.WithError(err).Warn(message)
	}
}

// releaseBudgetsAndLeases returns this instance's budget allotments and releases its leases.
func (i *Instance) releaseBudgetsAndLeases(ctx context.Context) {
	warnOnError(i.budget.Close(ctx), "budget allotments not returned; they count as spent in their window")
	warnOnError(i.duties.lease.Release(ctx), "leases not released; they expire")
}

// handOverPrograms hands this incarnation's programs over to other instances.
func (i *Instance) handOverPrograms(ctx context.Context) {
	warnOnError(i.ownership.HandOver(ctx), "programs not handed over; they are taken over once this instance is known to have stopped")
	i.owner.MarkMoved()
}

func (i *Instance) close() {
	_ = i.callerListener.server.Close()
	_ = i.peerListener.server.Close()
	i.owner.Close()
	i.log.Close()
	i.entry.Close()
	i.peers.Close()
	i.engines.Close()
	i.tools.Close()
	i.store.Close()
	i.storeHTTP.Close()
	log.Info("stopped")
}
