package duty

import (
	"math"
	"time"
)

const (
	// growThreshold is the demand, as a share of a model's slots, above which the
	// model gets more engines after growDelay. shrinkThreshold is the demand, as a
	// share of the slots that remain with one engine fewer, below which it loses an
	// engine after shrinkDelay. The two are far apart so that demand around one of
	// them does not alternate loads and unloads: each load costs a fetch of weights.
	growThreshold   = 0.8
	growDelay       = 4 * time.Second
	shrinkThreshold = 0.4
	shrinkDelay     = 5 * time.Minute
)

// Sizer decides with hysteresis how many engines should have each model loaded.
type Sizer struct {
	models map[string]*modelSize
}

type modelSize struct {
	engines                int
	growSince, shrinkSince time.Time
}

// Size returns the number of engines that should have the model loaded. demand is
// the number of steps that run or wait, and slots the number of steps that one
// engine runs. The first call for a model starts from have, the number of engines
// that have it loaded.
func (s *Sizer) Size(model string, demand, slots, have int, now time.Time) int {
	if s.models == nil {
		s.models = map[string]*modelSize{}
	}
	m := s.models[model]
	if m == nil {
		m = &modelSize{engines: have}
		s.models[model] = m
	}
	if demand > 0 && m.engines == 0 {
		m.engines = 1
		return m.engines
	}
	m.grow(demand, slots, now)
	m.shrink(demand, slots, now)
	return m.engines
}

func (m *modelSize) grow(demand, slots int, now time.Time) {
	if float64(demand) <= growThreshold*float64(m.engines*slots) {
		m.growSince = time.Time{}
		return
	}
	if m.growSince.IsZero() {
		m.growSince = now
	}
	if now.Sub(m.growSince) >= growDelay {
		m.engines = max(m.engines, int(math.Ceil(float64(demand)/(growThreshold*float64(slots)))))
		m.growSince = time.Time{}
	}
}

func (m *modelSize) shrink(demand, slots int, now time.Time) {
	if float64(demand) >= shrinkThreshold*float64((m.engines-1)*slots) || m.engines <= 1 {
		m.shrinkSince = time.Time{}
		return
	}
	if m.shrinkSince.IsZero() {
		m.shrinkSince = now
	}
	if now.Sub(m.shrinkSince) >= shrinkDelay {
		m.engines--
		m.shrinkSince = now
	}
}
