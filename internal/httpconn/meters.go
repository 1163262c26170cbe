package httpconn

import "github.com/rcrowley/go-metrics"

// Meters count what happens on the connections of one or more pools.
type Meters struct {
	// opened counts the connections that were opened, stray the skipped responses to other calls.
	opened, stray metrics.Counter
}

// NewMeters returns the meters whose names begin with prefix.
func NewMeters(prefix string, registry metrics.Registry) *Meters {
	return &Meters{
		opened: metrics.GetOrRegisterCounter(prefix+".connections.opened", registry),
		stray:  metrics.GetOrRegisterCounter(prefix+".responses.stray", registry),
	}
}

// unregistered are the meters of a pool that was given none.
var unregistered = NewMeters("unregistered", metrics.NewRegistry())
