// Package usage defines what each plan may use: models, tool services, the upstreams that serve them
// and the data centres of the upstreams. It does no I/O.
package usage

import (
	"foxhall/internal/listfile"
	"foxhall/internal/plan"
)

// Model is a model under the name that customers use for it.
type Model struct {
	Name string `toml:"name"`
	// Version is the version of the weights. After a change the engines drain before they switch.
	Version string `toml:"version"`
	// Adapter is an optional adapter on top of the base weights.
	Adapter string `toml:"adapter"`
	// PromptPrice and OutputPrice are in micros per million tokens.
	PromptPrice plan.Micros `toml:"prompt_price_micros"`
	OutputPrice plan.Micros `toml:"output_price_micros"`
	// ContextTokens is the maximum of prompt and output together, in tokens.
	ContextTokens int `toml:"context_tokens"`
}

// Service is a tool service or a plain service.
type Service struct {
	Name string `toml:"name"`
	// Repeatable lists "METHOD /path" patterns of calls that may be repeated;
	// a trailing * matches any suffix. Other calls may not be repeated.
	Repeatable []string `toml:"repeatable"`
	// Lookup is the path at which the service returns the outcome of a call by its idempotency key;
	// empty if the service has no such path.
	Lookup string `toml:"lookup"`
	// CallPrice is the price of a call, in micros.
	CallPrice plan.Micros `toml:"call_price_micros"`
}

// Kinds of upstreams.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Upstream is a model engine or a replica of a service.
type Upstream struct {
	Name string `toml:"name"`
	// Kind is KindEngine or KindService.
	Kind string `toml:"kind"`
	// Address is host:port, with an IP address as the host.
	Address    string `toml:"address"`
	DataCentre string `toml:"data_centre"`
	// Models are the models that an engine has loaded or may load. Service is the name of the service
	// of a service replica.
	Models  []string `toml:"models"`
	Service string   `toml:"service"`
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int `toml:"slots"`
	// CacheTokens is the size of an engine's prefix cache in tokens.
	CacheTokens int `toml:"cache_tokens"`
	// Fenced indicates that the upstream rejects orders with an outdated fencing token.
	Fenced bool `toml:"fenced"`
	// Version is that of the upstream's software, as the upstream reports it; empty if it is not known.
	// The list does not have it.
	Version string `toml:"-"`
}

// Grant lists what one plan may use.
type Grant struct {
	Plan        string   `toml:"plan"`
	Models      []string `toml:"models"`
	Services    []string `toml:"services"`
	DataCentres []string `toml:"data_centres"`
	// LatencyWeight and CacheWeight are the relative costs of a second of the program's waiting time
	// and of a second of repeated prefill.
	LatencyWeight float64 `toml:"latency_weight"`
	CacheWeight   float64 `toml:"cache_weight"`
}

// List is an accepted, immutable usage list.
type List struct {
	Models    []Model    `toml:"model,omitempty"`
	Services  []Service  `toml:"service,omitempty"`
	Upstreams []Upstream `toml:"upstream,omitempty"`
	Grants    []Grant    `toml:"grant,omitempty"`

	models   map[string]*Model
	services map[string]*Service
	grants   map[string]*Grant

	positions *listfile.Positions
}

// Model returns the model with the given name, or nil.
func (l *List) Model(name string) *Model { return l.models[name] }

// Service returns the service with the given name, or nil.
func (l *List) Service(name string) *Service { return l.services[name] }

// Grant returns the grant of the plan with the given name, or nil.
func (l *List) Grant(planName string) *Grant { return l.grants[planName] }
