package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/limit"
	"foxhall/internal/peer"
	"foxhall/internal/peer/peerpb"
	"foxhall/internal/plan"
	"foxhall/internal/step"
)

// gate implements dispatch.Gate with a limit.Gate.
type gate struct{ gate *limit.Gate }

// Enter implements dispatch.Gate.
func (g gate) Enter(ctx context.Context, p *plan.Plan, deadline time.Time) (func(), *step.Result) {
	release, refusal := g.gate.Admit(ctx, p, deadline)
	if refusal == nil {
		return release, nil
	}
	status, code := gateStatus(refusal.Reason)
	r := step.Refuse(status, code, refusal.Error())
	r.RetryAfter = refusal.RetryAfter
	return nil, &r
}

func gateStatus(reason limit.Reason) (int, step.Code) {
	switch reason {
	case limit.RateLimited, limit.ConcurrencyLimited:
		return http.StatusTooManyRequests, step.CodeRateLimited
	case limit.DeadlineTooClose:
		return http.StatusGatewayTimeout, step.CodeDeadline
	case limit.Cancelled:
		return statusClientClosed, step.CodeCancelled
	default:
		return http.StatusServiceUnavailable, step.CodeOverloaded
	}
}

// statusClientClosed is the status that proxies log for a caller that disconnected.
const statusClientClosed = 499

// arbiters implements limit.Arbiters over twirp.
type arbiters struct{ instance *Instance }

// RequestShares implements limit.Arbiters.
func (a arbiters) RequestShares(ctx context.Context, instanceName string, demands []limit.Demand) ([]limit.Share, error) {
	for _, m := range a.instance.view().Available(a.instance.settings.DataCentre) {
		if m.Instance() != instanceName {
			continue
		}
		response, err := a.instance.peers.Divide(ctx, m.Address, &peerpb.DivideRequest{
			Sender: a.instance.settings.Instance, Demands: demandsToWire(demands),
		})
		if err != nil {
			return nil, err
		}
		return sharesFromWire(response.GetShares()), nil
	}
	return nil, errors.Errorf("instance: no living instance %q", instanceName)
}

// limitService serves a limit.Gate as the arbiter for peers.
type limitService struct{ gate *limit.Gate }

var _ peer.Limits = limitService{}

// Divide implements peer.Limits.
func (l limitService) Divide(_ context.Context, r *peerpb.DivideRequest) (*peerpb.DivideResponse, error) {
	response := &peerpb.DivideResponse{}
	for _, s := range l.gate.AllocateShares(r.GetSender(), demandsFromWire(r.GetDemands())) {
		response.Shares = append(response.Shares, &peerpb.PlanShare{Plan: s.Plan, Rate: s.Rate, Slots: uint32(s.Slots)})
	}
	return response, nil
}

func demandsToWire(demands []limit.Demand) []*peerpb.PlanDemand {
	wire := make([]*peerpb.PlanDemand, len(demands))
	for i, d := range demands {
		wire[i] = &peerpb.PlanDemand{
			Plan: d.Plan, Rate: d.Rate, Slots: uint32(d.Slots), Running: uint32(d.Running),
			LimitRate: d.Limits.Rate, LimitBurst: uint32(d.Limits.Burst), LimitConcurrency: uint32(d.Limits.Concurrency),
		}
	}
	return wire
}

func demandsFromWire(wire []*peerpb.PlanDemand) []limit.Demand {
	demands := make([]limit.Demand, len(wire))
	for i, w := range wire {
		demands[i] = limit.Demand{
			Plan: w.GetPlan(), Rate: w.GetRate(), Slots: int(w.GetSlots()), Running: int(w.GetRunning()),
			Limits: plan.Limits{
				Rate: w.GetLimitRate(), Burst: int(w.GetLimitBurst()), Concurrency: int(w.GetLimitConcurrency()),
			},
		}
	}
	return demands
}

func sharesFromWire(wire []*peerpb.PlanShare) []limit.Share {
	shares := make([]limit.Share, len(wire))
	for i, w := range wire {
		shares[i] = limit.Share{Plan: w.GetPlan(), Rate: w.GetRate(), Slots: int(w.GetSlots())}
	}
	return shares
}
