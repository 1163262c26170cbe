package instance

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"foxhall/internal/engine"
	"foxhall/internal/peer/peerpb"
	"foxhall/internal/upstream"
	"foxhall/internal/usage"
)

const (
	// remoteLoadInterval is how often the other data centres are asked for the load of their
	// engines while this one lacks capacity.
	remoteLoadInterval = time.Second
	// remoteLoadLinger is how long they are still asked after the shortage ends.
	remoteLoadLinger = 10 * time.Second
	// unknownViewAge is the age reported for a data centre whose load has never been received.
	unknownViewAge = 24 * time.Hour
)

// remoteViews requests the loads of the other data centres' engines and records when they arrived.
// While this data centre has enough capacity, no other is asked: the views grow older than the
// scheduler's limit, and the engines there are no candidates.
type remoteViews struct {
	instance *Instance

	mu        sync.Mutex
	updatedAt map[string]time.Time
}

func newRemoteViews(i *Instance) *remoteViews {
	return &remoteViews{instance: i, updatedAt: map[string]time.Time{}}
}

// age returns the age of the latest loads from a data centre.
func (r *remoteViews) age(dataCentre string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	updatedAt, ok := r.updatedAt[dataCentre]
	if !ok {
		return unknownViewAge
	}
	return time.Since(updatedAt)
}

// run requests the loads of the other data centres while this one lacks capacity, until ctx ends.
func (r *remoteViews) run(ctx context.Context) {
	ticker := time.NewTicker(remoteLoadInterval)
	defer ticker.Stop()
	var lastShortage time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if r.lacksCapacity() {
			lastShortage = time.Now()
		}
		if !lastShortage.IsZero() && time.Since(lastShortage) < remoteLoadLinger {
			r.refresh(ctx)
		}
	}
}

// lacksCapacity reports whether steps wait on this instance or a model has no usable engine in this
// data centre.
func (r *remoteViews) lacksCapacity() bool {
	if r.instance.scheduler.Waiting() > 0 {
		return true
	}
	upstreams := r.instance.table.Snapshot()
	now := time.Now().UnixNano()
	return slices.ContainsFunc(upstreams.ModelNames(), func(model string) bool {
		return !slices.ContainsFunc(upstreams.Model(model), func(e *upstream.Endpoint) bool {
			return e.Upstream.DataCentre == r.instance.settings.DataCentre && e.Upstream.Load(now).Condition <= upstream.Full
		})
	})
}

func (r *remoteViews) refresh(ctx context.Context) {
	var calls sync.WaitGroup
	for _, dc := range r.otherDataCentres() {
		for _, m := range sample(r.instance.otherMembers(dc), 1) {
			calls.Go(func() { r.refreshFrom(ctx, dc, m.Address) })
		}
	}
	calls.Wait()
}

// otherDataCentres returns the other data centres that have upstreams, sorted.
func (r *remoteViews) otherDataCentres() []string {
	found := map[string]bool{}
	for _, u := range r.instance.table.Snapshot().All {
		found[u.DataCentre] = true
	}
	delete(found, r.instance.settings.DataCentre)
	return slices.Sorted(maps.Keys(found))
}

func (r *remoteViews) refreshFrom(ctx context.Context, dc, address string) {
	response, err := r.instance.peers.Loads(ctx, address, &peerpb.LoadsRequest{Sender: string(r.instance.cohort), WithEngines: true})
	if err != nil || response.GetDataCentre() != dc {
		return
	}
	upstreams := r.instance.table.Snapshot()
	for _, load := range response.GetEngines() {
		u := upstreams.Upstream(load.GetName())
		if u == nil || u.DataCentre != dc {
			continue
		}
		u.ApplyReport(time.Now(), engine.Load{Running: int(load.GetCalls()), Draining: load.GetLeaving()})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updatedAt[dc] = time.Now()
}

// engineLoads returns the loads of this data centre's engines for other data centres. An engine
// that gets no work here is reported as full, so that they send it none either.
func (i *Instance) engineLoads() []*peerpb.EngineLoad {
	var loads []*peerpb.EngineLoad
	now := time.Now().UnixNano()
	for _, u := range i.table.Snapshot().All {
		if u.Kind != usage.KindEngine || u.DataCentre != i.settings.DataCentre {
			continue
		}
		l := u.Load(now)
		calls := l.Total
		if l.Condition > upstream.Full {
			calls = max(calls, u.Slots)
		}
		loads = append(loads, &peerpb.EngineLoad{Name: u.Name, Calls: uint32(calls), Leaving: l.Condition == upstream.Draining})
	}
	return loads
}
