package instance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"foxhall/internal/config"
	"foxhall/internal/control"
	"foxhall/internal/duty"
	"foxhall/internal/lease"
	"foxhall/internal/peer/peerpb"
	"foxhall/internal/usage"
)

// demandInterval is how often the holder of the engine-orders duty asks the other instances of its
// data centre for their demand.
const demandInterval = 2 * time.Second

// contenderCount is the number of instances of a data centre that contend for a free duty.
const contenderCount = 3

// duties performs the work that this instance does for its data centre while it holds the lease.
type duties struct {
	instance *Instance
	lease    *lease.Manager
	engines  *duty.Manager
	releases *duty.Releaser
	// demand is the latest demand of the data centre, summed over its instances, by model.
	demand atomic.Pointer[map[string]int]
}

func (i *Instance) newDuties() error {
	d := &duties{instance: i}
	manager, err := lease.NewManager(lease.Options{
		Self: i.cohort, Duties: []lease.Duty{lease.EngineOrders}, Timing: lease.DefaultTiming(), Store: i.store,
		ShouldContend: func() bool { return i.view().IsContender(string(lease.EngineOrders), contenderCount) },
		OnChange:      func(s lease.Status) { _ = i.control.Post(control.LeasesChanged{Status: s}) },
		Log:           log.Log, Registry: i.registry,
	})
	if err != nil {
		return err
	}
	d.lease = manager
	d.engines = duty.New(duty.Settings{
		DataCentre: i.settings.DataCentre, Logger: log.Log, Models: d.models, Demand: d.totalDemand, Programs: living{i},
	}, i.table, i.engines, d)
	d.releases = duty.NewReleaser(i.engines, d.latestEpoch)
	i.duties = d
	return nil
}

// Held implements duty.Lease. An engine that does not check fencing tokens may still carry out the
// last order of the previous holder, so validity is checked for that case, the strictest.
func (d *duties) Held(string) (uint64, func() bool, bool) {
	token, ok := d.lease.Held(lease.EngineOrders)
	valid := func() bool { return token.MayOrder(time.Now(), false) }
	return token.Epoch, valid, ok
}

// latestEpoch returns the latest epoch of the engine-orders duty known to this instance, or 0.
func (d *duties) latestEpoch() uint64 {
	for _, s := range d.instance.control.Snapshot().Leases.Duties {
		if s.Duty == lease.EngineOrders {
			return s.Epoch
		}
	}
	return 0
}

func (d *duties) models() []usage.Model {
	_, usageList := lists{d.instance.config}.Lists()
	if usageList == nil {
		return nil
	}
	return usageList.Models
}

func (d *duties) totalDemand() map[string]int {
	if sum := d.demand.Load(); sum != nil {
		return *sum
	}
	return d.instance.scheduler.Demand()
}

// collectInterval is how often unreferenced chunks of the configuration are removed.
const collectInterval = time.Hour

// collectChunks removes configuration chunks that no retained version refers to. It runs on one
// instance of each data centre: the holder of the engine-orders duty.
func (d *duties) collectChunks(ctx context.Context) {
	editor := config.NewEditor(d.instance.store)
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if _, ok := d.lease.Held(lease.EngineOrders); !ok {
			continue
		}
		if _, err := editor.Collect(ctx, config.DefaultHistoryVersions); err != nil {
			log.WithError(err).Warn("unreferenced configuration chunks not removed")
		}
	}
}

// collectDemand refreshes the data centre's demand while this instance holds the engine-orders
// duty.
func (d *duties) collectDemand(ctx context.Context) {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if _, ok := d.lease.Held(lease.EngineOrders); !ok {
			continue
		}
		sum := d.instance.scheduler.Demand()
		for _, m := range d.instance.otherMembers(d.instance.settings.DataCentre) {
			response, err := d.instance.peers.Loads(ctx, m.Address, &peerpb.LoadsRequest{Sender: string(d.instance.cohort)})
			if err != nil {
				continue
			}
			for _, model := range response.GetModels() {
				sum[model.GetModel()] += int(model.GetRunning())
			}
		}
		d.demand.Store(&sum)
	}
}
