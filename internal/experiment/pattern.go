package experiment

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

// arrivalPeriod is the time during which programs start. Results leave out programs that start
// within warmUp, when caches and learned speeds are empty under every policy.
const (
	warmUp        = 10 * time.Second
	arrivalPeriod = 50 * time.Second
)

// Pattern is a named course of load and faults.
type Pattern struct {
	Name string
	// Description describes the pattern in tables.
	Description string
	// rate returns the factor on the rate of new programs at a time since the start.
	rate func(t time.Duration) float64
	// hot returns the factor on the rate of the shape's first account.
	hot func(t time.Duration) float64
	// until is the time during which programs start; 0 for arrivalPeriod.
	until time.Duration
	// chooseEntry selects one of n entries by a uniform number u from 0 up to 1.
	chooseEntry func(t time.Duration, u float64, n int) int
	// slowdown returns the factor on an engine's times from faultAt on; drains reports whether
	// the engine drains then.
	slowdown func(engine int) float64
	drains   func(engine int) bool
	// fails reports whether an engine fails every request at once from faultAt on.
	fails func(engine int) bool
	// loopShare is the share of programs that never end by themselves.
	loopShare float64
}

// period returns the time during which programs start.
func (p *Pattern) period() time.Duration {
	if p.until > 0 {
		return p.until
	}
	return arrivalPeriod
}

// faultAt is the time since the start at which engines become slow, drain or fail.
const faultAt = 25 * time.Second

// Patterns lists all patterns.
var Patterns = []Pattern{
	{Name: "steady", Description: "even load"},
	{Name: "burst", Description: "1.8 times the programs for 8 s", rate: func(t time.Duration) float64 {
		if t > 22*time.Second && t < 30*time.Second {
			return 1.8
		}
		return 1
	}},
	{Name: "wave", Description: "30% up and down every 11 s", rate: func(t time.Duration) float64 {
		return 1 + 0.3*math.Sin(2*math.Pi*t.Seconds()/11)
	}},
	{Name: "shift", Description: "half of the callers of all entries come to the first from the middle on", chooseEntry: func(t time.Duration, u float64, n int) int {
		if t > faultAt && u < 0.5 {
			return 0
		}
		return int(u * float64(n))
	}},
	{Name: "slow", Description: "one engine in six takes four times as long from the middle on", slowdown: func(engine int) float64 {
		if engine%6 == 1 {
			return 4
		}
		return 1
	}},
	{Name: "leave", Description: "half of the engines leave in the middle", drains: func(engine int) bool { return engine%2 == 1 }},
	{Name: "err", Description: "one engine in seven fails at once all it is sent from the middle on", fails: func(engine int) bool { return engine%7 == 1 }},
	{Name: "loop", Description: "one program in ten never ends by itself", loopShare: 0.1},
}

// PatternOf returns the pattern with the name.
func PatternOf(name string) (*Pattern, error) {
	for i := range Patterns {
		if Patterns[i].Name == name {
			return &Patterns[i], nil
		}
	}
	return nil, errors.Errorf("no load pattern %q", name)
}
