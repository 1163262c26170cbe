package mirror

import "time"

// Timing holds the intervals that follow from what operators require: how often the store is asked
// is a price that they pay for each deployment.
type Timing struct {
	// changeDeadline is the time within which a change has to be in force.
	changeDeadline time.Duration
	// checkInterval is how often the configuration and the replicas are read in addition to polls,
	// which the store may leave unanswered for seconds while it drops its history. It is about half of
	// the time within which a change has to be in force, with the rest for relaying it.
	checkInterval time.Duration
	// outageThreshold is how long the store must have sent no response before entries may have
	// expired. Three heartbeats of a replica take longer, and checks keep the last response younger
	// while the store is available.
	outageThreshold time.Duration
	// debounceDelay is the delay after a response with changes. A burst of changes, such as the start
	// of all replicas, then costs a few polls rather than one for each.
	debounceDelay time.Duration
}

const (
	// defaultChangeDeadline and defaultHeartbeat apply where the settings state none.
	defaultChangeDeadline = 2 * time.Second
	defaultHeartbeat      = 1200 * time.Millisecond
	// The parts of the deadline and of the heartbeat that the intervals may take.
	checkShare       = 0.55
	heartbeatShare   = 0.92
	checksPerOutage  = 2.27
	debounceFraction = 8
)

// NewTiming returns the intervals for a time within which a change has to be in force and an interval
// between two heartbeats of a replica; 0 stands for their defaults.
func NewTiming(changeDeadline, heartbeat time.Duration) Timing {
	if changeDeadline <= 0 {
		changeDeadline = defaultChangeDeadline
	}
	if heartbeat <= 0 {
		heartbeat = defaultHeartbeat
	}
	check := min(time.Duration(checkShare*float64(changeDeadline)), time.Duration(heartbeatShare*float64(heartbeat)))
	return Timing{
		changeDeadline:  changeDeadline,
		checkInterval:   check,
		outageThreshold: time.Duration(checksPerOutage * float64(check)),
		debounceDelay:   changeDeadline / debounceFraction,
	}
}

// SetTiming sets the intervals. It must be called before the mirror is shared.
func (m *Mirror) SetTiming(t Timing) { m.timing = t }
