package demo

import (
	"fmt"
	"time"

	"foxhall/internal/load"
	"foxhall/internal/plan"
	"foxhall/internal/standin"
)

// scenario describes the programs, key and plan of one customer.
type scenario struct {
	shape load.Shape
	key   string
	plan  string
}

var scenarios = []scenario{
	{shape: load.Kerlouan, key: "kerlouan-demo-key", plan: "bids"},
	{shape: load.Semente, key: "semente-demo-key", plan: "pledges"},
}

// plansTOML returns the list of plans, one for each scenario.
func plansTOML() []byte {
	var text []byte
	for _, s := range scenarios {
		text = fmt.Appendf(text, `
[[plan]]
name = %q
customer = %q
key_hashes = [%q]
cut_basis_points = 250
[plan.budget]
money_micros = 500000000
tokens = 200000000
window = "1h"
[plan.limits]
rate = 1000.0
burst = 1000
concurrency = 500
[plan.bounds]
steps = 300
depth = 4
children = 50
lifetime = "24h"
step_time = "60s"
history_tokens = 120000
`, s.plan, s.shape.Name, plan.HashKey(s.key))
	}
	return text
}

const usageTOML = `
[[model]]
name = "oak-large"
prompt_price_micros = 400000
output_price_micros = 1600000
context_tokens = 131072
[[model]]
name = "ipe-small"
prompt_price_micros = 100000
output_price_micros = 400000
context_tokens = 131072
[[service]]
name = "auction"
repeatable = ["POST /lots/quote"]
lookup = "/outcome"
call_price_micros = 100
[[service]]
name = "nursery"
repeatable = ["POST /stock"]
lookup = "/outcome"
call_price_micros = 100
[[grant]]
plan = "bids"
models = ["oak-large"]
services = ["auction"]
data_centres = ["demo"]
latency_weight = 1.0
cache_weight = 0.3
[[grant]]
plan = "pledges"
models = ["ipe-small"]
services = ["nursery"]
data_centres = ["demo"]
latency_weight = 0.5
cache_weight = 1.0
`

// engineSpeeds are the relative speeds of the demo's engines. They differ because real
// installations have engines of different ages.
var engineSpeeds = []float64{1, 0.6, 0.35}

func (env *environment) startStandins() error {
	var err error
	if env.storeURL, err = env.serve(env.store.Handler()); err != nil {
		return err
	}
	env.storeURL = "http://" + env.storeURL
	for n, speed := range engineSpeeds {
		if err := env.startEngine(fmt.Sprintf("engine-%d", n+1), speed); err != nil {
			return err
		}
	}
	for _, name := range []string{"auction", "nursery"} {
		if err := env.startTool(name); err != nil {
			return err
		}
	}
	return nil
}

func (env *environment) startEngine(name string, speed float64) error {
	e := standin.NewEngine(standin.EngineConfig{
		Name: name, Slots: 16, MaxQueue: 64, CacheTokens: 60000,
		PrefillSpeed: 40000 * speed, DecodeSpeed: 1200 * speed, BatchSlowdown: 0.03,
		LoadLag: 100 * time.Millisecond, EventLag: 50 * time.Millisecond, KVSpeed: 200000, ChunkTokens: 4,
	})
	address, err := env.serve(e.Handler())
	if err != nil {
		return err
	}
	env.engines[name] = e
	env.upstreams = fmt.Appendf(env.upstreams, `
[[upstream]]
name = %q
kind = "engine"
address = %q
data_centre = "demo"
models = ["oak-large", "ipe-small"]
slots = 16
cache_tokens = 60000
`, name, address)
	return nil
}

func (env *environment) startTool(name string) error {
	t := standin.NewTool(name)
	t.SetFaults(standin.ToolFaults{Delay: 5 * time.Millisecond})
	address, err := env.serve(t.Handler())
	if err != nil {
		return err
	}
	env.tools[name] = t
	env.upstreams = fmt.Appendf(env.upstreams, `
[[upstream]]
name = "%s-1"
kind = "service"
address = %q
data_centre = "demo"
service = %q
slots = 64
`, name, address, name)
	return nil
}
