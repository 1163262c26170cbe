package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

const (
	// deadProbePeriods is the number of periods between attempts to reach a
	// dead member.
	deadProbePeriods = 16
	// probesInFlight bounds the probes in flight. A period starts at most three,
	// and each ends within three probe timeouts.
	probesInFlight = 16
	// notifiedMembers is the number of members that are notified immediately of
	// this instance's planned stop; heartbeats spread it from there.
	notifiedMembers = 8
)

// Options configure a Runner.
type Options struct {
	// Self is this process's cohort.
	Self program.Cohort
	// Address is the address at which other instances reach this one, as ip:port.
	Address string
	// Report is this instance's initial report.
	Report Report
	// Seeds are addresses of possible other instances, from the settings.
	Seeds []string
	// Store is the object API; nil to discover members through seeds only.
	Store     store.Client
	Transport Transport
	Timing    Timing
	// Seed seeds the random choice of members to probe.
	Seed uint64
	// OnView is called with each new view, in order. It must neither block nor
	// call the runner.
	OnView func(*View)
	// OnEvent is called with each event, in order. It must neither block nor
	// call the runner.
	OnEvent  func(Event)
	Log      log.Interface
	Registry metrics.Registry
}

// Runner runs the protocol for one instance.
type Runner struct {
	options  Options
	mu       sync.Mutex
	table    *Table
	rng      *rand.Rand
	view     atomic.Pointer[View]
	probes   metrics.Counter
	failures metrics.Counter
	deaths   metrics.Counter
}

// NewRunner returns a runner whose instance is in state Joining.
func NewRunner(o Options) *Runner {
	r := &Runner{
		options:  o,
		table:    NewTable(o.Self, o.Address, o.Report, o.Timing, time.Now()),
		rng:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
		probes:   metrics.GetOrRegisterCounter("membership.probes", o.Registry),
		failures: metrics.GetOrRegisterCounter("membership.probe_failures", o.Registry),
		deaths:   metrics.GetOrRegisterCounter("membership.deaths", o.Registry),
	}
	r.update(func(*Table, time.Time) {})
	return r
}

// View returns the newest snapshot.
func (r *Runner) View() *View { return r.view.Load() }

// Run joins the fleet and sends heartbeats until ctx ends. The runner responds
// to heartbeats before, during and after Run.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.maintainJoin(ctx) })
	if r.options.Store != nil {
		group.Go(func() error { return r.registerWithRetry(ctx) })
	}
	group.Go(func() error { return r.heartbeat(ctx) })
	return group.Wait()
}

func (r *Runner) heartbeat(ctx context.Context) error {
	ticker := time.NewTicker(r.options.Timing.Period)
	defer ticker.Stop()
	var probes errgroup.Group
	probes.SetLimit(probesInFlight)
	defer func() { _ = probes.Wait() }()
	for period := uint64(1); ; period++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for _, t := range r.startPeriod(period) {
			probes.TryGo(func() error {
				r.probe(ctx, t)
				return nil
			})
		}
		if period%deadProbePeriods == 0 {
			probes.TryGo(func() error {
				r.probeDead(ctx)
				return nil
			})
		}
	}
}

func (r *Runner) startPeriod(period uint64) []target {
	var targets []target
	r.update(func(t *Table, now time.Time) {
		t.AdvanceReport(now)
		t.Tick(now)
		targets = t.targets(period, r.rng)
	})
	return targets
}

// update applies a change to the table, emits its events and publishes a new
// view if anything changed.
func (r *Runner) update(change func(*Table, time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	change(r.table, now)
	for _, e := range r.table.Events() {
		r.emit(e)
	}
	if !r.table.changed {
		return
	}
	r.table.changed = false
	view := r.table.View(now)
	r.view.Store(view)
	if r.options.OnView != nil {
		r.options.OnView(view)
	}
}

func (r *Runner) emit(e Event) {
	if e.Kind == DeclaredDead {
		r.deaths.Inc(1)
	}
	r.options.Log.WithFields(log.Fields{
		"member":      e.Member.Cohort,
		"state":       e.Member.State,
		"incarnation": e.Member.Incarnation,
		"witnesses":   e.Member.Witnesses,
	}).Info("membership: " + string(e.Kind))
	if r.options.OnEvent != nil {
		r.options.OnEvent(e)
	}
}

// SetReport replaces this instance's report.
func (r *Runner) SetReport(report Report) {
	r.update(func(t *Table, _ time.Time) { t.SetReport(report) })
}

// Ready announces that this instance accepts work.
func (r *Runner) Ready() {
	r.update(func(t *Table, now time.Time) { t.Announce(Live, now) })
}

// ObserveList applies the platform's list, which lags: the addresses on it and
// whether the instance at each is leaving.
func (r *Runner) ObserveList(leaving map[string]bool) {
	r.update(func(t *Table, _ time.Time) { t.ObserveList(leaving) })
}

// AnnounceStop announces this instance's planned stop and notifies some members
// immediately.
func (r *Runner) AnnounceStop(ctx context.Context) {
	r.update(func(t *Table, now time.Time) { t.Announce(Leaving, now) })
	r.notifyMembers(ctx)
}

// AnnounceEnd announces this instance's end and deletes its object. It is to be
// called after the instance's last step has ended.
func (r *Runner) AnnounceEnd(ctx context.Context) error {
	r.update(func(t *Table, now time.Time) { t.Leave(now) })
	r.notifyMembers(ctx)
	if r.options.Store == nil {
		return nil
	}
	return r.unregister(ctx, r.options.Self)
}

// Fence ends this instance's membership. It is called when this instance finds
// its cohort sealed by a successor; the instance does not refute its death
// afterwards.
func (r *Runner) Fence() {
	r.update(func(t *Table, now time.Time) { t.Fence(now) })
}

// notifyMembers pings up to notifiedMembers random members concurrently.
func (r *Runner) notifyMembers(ctx context.Context) {
	var group errgroup.Group
	for _, t := range r.randomTargets(notifiedMembers) {
		group.Go(func() error {
			r.ping(ctx, t)
			return nil
		})
	}
	_ = group.Wait()
}

func (r *Runner) randomTargets(n int) []target {
	r.mu.Lock()
	defer r.mu.Unlock()
	members := r.table.otherMembers(func(e *entry) bool { return e.State.Present() })
	r.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var targets []target
	for _, e := range members[:min(n, len(members))] {
		targets = append(targets, targetOf(e))
	}
	return targets
}
