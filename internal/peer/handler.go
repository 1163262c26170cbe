package peer

import (
	"context"

	"foxhall/internal/peer/peerpb"
)

// Heartbeats serves heartbeats and joins; package membership implements it.
type Heartbeats interface {
	Ping(context.Context, *peerpb.PingRequest) (*peerpb.PingResponse, error)
	PingVia(context.Context, *peerpb.PingViaRequest) (*peerpb.PingViaResponse, error)
	Join(context.Context, *peerpb.JoinRequest) (*peerpb.JoinResponse, error)
}

// Configuration serves the configuration in force to peers.
type Configuration interface {
	ConfigVersion(context.Context, *peerpb.ConfigVersionRequest) (*peerpb.ConfigVersionResponse, error)
	ConfigFetch(context.Context, *peerpb.ConfigFetchRequest) (*peerpb.ConfigFetchResponse, error)
	ConfigOffer(context.Context, *peerpb.ConfigOfferRequest) (*peerpb.ConfigOfferResponse, error)
}

// Copies serves the copies that an instance holds of other cohorts' records.
type Copies interface {
	Hold(context.Context, *peerpb.HoldRequest) (*peerpb.HoldResponse, error)
	Held(context.Context, *peerpb.HeldRequest) (*peerpb.HeldResponse, error)
	Release(context.Context, *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error)
}

// Successor serves an instance that adopts shards of sealed cohorts.
type Successor interface {
	Offer(context.Context, *peerpb.OfferRequest) (*peerpb.OfferResponse, error)
	AdoptNotice(context.Context, *peerpb.AdoptNoticeRequest) (*peerpb.AdoptNoticeResponse, error)
	ReportOutcome(context.Context, *peerpb.ReportOutcomeRequest) (*peerpb.ReportOutcomeResponse, error)
}

// Upstreams serves observations of upstreams and the load of a data centre.
type Upstreams interface {
	UpstreamSignals(context.Context, *peerpb.UpstreamSignalsRequest) (*peerpb.UpstreamSignalsResponse, error)
	Loads(context.Context, *peerpb.LoadsRequest) (*peerpb.LoadsResponse, error)
}

// Limits serves an arbiter that divides plans' limits among instances.
type Limits interface {
	Divide(context.Context, *peerpb.DivideRequest) (*peerpb.DivideResponse, error)
}

// Programs serves queries about the programs resident on an instance.
type Programs interface {
	Gone(context.Context, *peerpb.GoneRequest) (*peerpb.GoneResponse, error)
}

// Handlers are the handlers that a Server delegates to. Calls of a nil handler fail with
// ErrUnimplemented, so that instances of different builds can work together.
type Handlers struct {
	Heartbeats    Heartbeats
	Configuration Configuration
	Copies        Copies
	Successor     Successor
	Upstreams     Upstreams
	Limits        Limits
	Programs      Programs
}
