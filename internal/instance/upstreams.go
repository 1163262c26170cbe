package instance

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"foxhall/internal/membership"
	"foxhall/internal/peer"
	"foxhall/internal/peer/peerpb"
	"foxhall/internal/store"
	"foxhall/internal/upstream"
)

const (
	// signalInterval is how often peers of the data centre are notified of draining upstreams, and
	// signalFanout the number of peers notified in each round. With 7 to 9 instances all are
	// informed within two rounds, with a hundred within six.
	signalInterval = 500 * time.Millisecond
	signalFanout   = 3
	// stateDraining is the only upstream state that instances pass on to peers.
	stateDraining = "leaving"
)

// KindEndpoints is the store kind of the platform's endpoint lists, one object for each data
// centre. The lists lag behind the state of the upstreams.
const KindEndpoints = "endpoints"

// Endpoints is the platform's endpoint list for one data centre.
type Endpoints struct {
	// Live and Draining are the names of running and draining upstreams, as in the usage list.
	Live     []string `json:"live"`
	Draining []string `json:"leaving"`
	// Instances maps the peer address of each instance to whether it is stopping.
	Instances map[string]bool `json:"instances"`
}

// broadcastSignals notifies peers of draining upstreams. It sends no message while there are none.
func (i *Instance) broadcastSignals(ctx context.Context) {
	ticker := time.NewTicker(signalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		signals := i.table.Signals(time.Now())
		if len(signals) == 0 {
			continue
		}
		request := &peerpb.UpstreamSignalsRequest{Sender: string(i.cohort), Signals: signalsToWire(signals)}
		for _, m := range sample(i.otherMembers(i.settings.DataCentre), signalFanout) {
			i.sendSignals(ctx, m, request)
		}
	}
}

func (i *Instance) sendSignals(ctx context.Context, m membership.Member, request *peerpb.UpstreamSignalsRequest) {
	response, err := i.peers.UpstreamSignals(ctx, m.Address, request)
	if err != nil {
		return
	}
	i.applySignals(response.GetSignals())
}

func (i *Instance) applySignals(signals []*peerpb.UpstreamSignal) {
	now := time.Now()
	for _, s := range signals {
		if s.GetState() != stateDraining {
			continue
		}
		i.table.ApplySignal(now, upstream.Signal{
			Upstream: s.GetName(), Address: s.GetObserver(), Age: time.Duration(s.GetAgeMs()) * time.Millisecond,
		})
	}
}

// signalsToWire sends the upstream's address as the observer field, so that receivers ignore the
// signal if the name refers to another process by now.
func signalsToWire(signals []upstream.Signal) []*peerpb.UpstreamSignal {
	wire := make([]*peerpb.UpstreamSignal, len(signals))
	for i, s := range signals {
		wire[i] = &peerpb.UpstreamSignal{
			Name: s.Upstream, State: stateDraining, Observer: s.Address, AgeMs: uint64(s.Age.Milliseconds()),
		}
	}
	return wire
}

// upstreamService serves peers' signals and queries for the load of this data centre.
type upstreamService struct{ instance *Instance }

var _ peer.Upstreams = upstreamService{}

// UpstreamSignals implements peer.Upstreams.
func (s upstreamService) UpstreamSignals(_ context.Context, r *peerpb.UpstreamSignalsRequest) (*peerpb.UpstreamSignalsResponse, error) {
	s.instance.applySignals(r.GetSignals())
	return &peerpb.UpstreamSignalsResponse{Signals: signalsToWire(s.instance.table.Signals(time.Now()))}, nil
}

// Loads implements peer.Upstreams.
func (s upstreamService) Loads(_ context.Context, r *peerpb.LoadsRequest) (*peerpb.LoadsResponse, error) {
	response := &peerpb.LoadsResponse{DataCentre: s.instance.settings.DataCentre}
	if r.GetWithEngines() {
		response.Engines = s.instance.engineLoads()
	}
	for model, demand := range s.instance.scheduler.Demand() {
		response.Models = append(response.Models, &peerpb.ModelLoad{Model: model, Running: uint32(demand)})
	}
	return response, nil
}

// followEndpoints applies the platform's endpoint list to the upstream table and the membership.
// The list lags and may be outdated after an outage; direct signals take precedence over it.
func (i *Instance) followEndpoints(ctx context.Context) {
	key := store.Key{Kind: KindEndpoints, Name: i.settings.DataCentre}
	for ctx.Err() == nil {
		version := store.Version(0)
		object, err := i.store.Get(ctx, key)
		if err == nil {
			i.applyEndpoints(object.Value)
			version = object.Version
		}
		i.watchEndpoints(ctx, key, version)
		select {
		case <-time.After(endpointsRetryDelay):
		case <-ctx.Done():
		}
	}
}

// endpointsRetryDelay is the delay before a failed watch of the list is opened again.
const endpointsRetryDelay = 2 * time.Second

func (i *Instance) watchEndpoints(ctx context.Context, key store.Key, after store.Version) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events, err := i.store.Watch(ctx, KindEndpoints, after)
	if err != nil {
		return
	}
	for event := range events {
		if event.Object.Key == key && !event.Deleted {
			i.applyEndpoints(event.Object.Value)
		}
	}
}

func (i *Instance) applyEndpoints(value []byte) {
	var list Endpoints
	if err := json.Unmarshal(value, &list); err != nil {
		log.WithError(err).Error("the platform's endpoint list is malformed; ignored")
		return
	}
	i.table.ApplyList(i.settings.DataCentre, list.Live, list.Draining, time.Now())
	if list.Instances != nil {
		i.members.ObserveList(list.Instances)
	}
}
