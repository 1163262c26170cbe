package duty

import (
	"math"
	"time"
)

const (
	// growAt is the share of a model's slots in use above which it gets another
	// engine, after growAfter; shrinkAt the share that one engine fewer would
	// have below which it loses one, after shrinkAfter. The two are far apart,
	// and loading costs a fetch of weights, so that demand around one of them
	// does not load and unload in turn.
	growThreshold   = 0.8
	growDelay       = 4 * time.Second
	shrinkThreshold = 0.4
	shrinkDelay     = 5 * time.Minute
)

// Sizer decides how many engines should hold each model, with hysteresis.
type Sizer struct {
	models map[string]*modelSize
}

type modelSize struct {
	engines                int
	growSince, shrinkSince time.Time
}

// Size returns the number of engines that should hold the model at the demand,
// in calls under way and waiting, of which one engine runs slots. The first
// sight takes over what is there.
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
