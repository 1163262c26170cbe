package node

import (
	"context"
	"sync"
	"time"
)

// silenceCheckInterval is how often the sources with callbacks are checked.
const silenceCheckInterval = 50 * time.Millisecond

// silenceMonitor notifies calls that wait for a response when the source of the response, a data
// centre or a keeper, becomes unresponsive. A network partition drops packets without an error, so
// that a call would otherwise wait until its connection times out.
type silenceMonitor struct {
	mu sync.Mutex
	// callbacks are the functions to call when a source becomes unresponsive, by its name.
	callbacks map[string]map[*func()]bool
}

func newSilenceMonitor() *silenceMonitor {
	return &silenceMonitor{callbacks: map[string]map[*func()]bool{}}
}

// onSilence calls f once if the source becomes unresponsive before stop is called.
func (s *silenceMonitor) onSilence(source string, f func()) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callbacks[source] == nil {
		s.callbacks[source] = map[*func()]bool{}
	}
	entry := &f
	s.callbacks[source][entry] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.callbacks[source], entry)
	}
}

// run checks the sources until ctx ends.
func (s *silenceMonitor) run(ctx context.Context, isSilent func(source string) bool) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.check(isSilent)
		case <-ctx.Done():
			return
		}
	}
}

func (s *silenceMonitor) check(isSilent func(source string) bool) {
	for _, source := range s.sources() {
		if !isSilent(source) {
			continue
		}
		for _, f := range s.takeCallbacks(source) {
			f()
		}
	}
}

// sources returns the names of the sources that have callbacks.
func (s *silenceMonitor) sources() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sources []string
	for source, callbacks := range s.callbacks {
		if len(callbacks) > 0 {
			sources = append(sources, source)
		}
	}
	return sources
}

// takeCallbacks returns the callbacks of a source and removes them.
func (s *silenceMonitor) takeCallbacks(source string) []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var callbacks []func()
	for f := range s.callbacks[source] {
		callbacks = append(callbacks, *f)
	}
	delete(s.callbacks, source)
	return callbacks
}

// isReachable reports whether an instance is reachable, or not known to be unreachable. In a large
// fleet the silence of one instance shows only after seconds, that of its data centre at once.
func (n *Node) isReachable(name string) bool {
	dataCentre := n.fleet.dataCentreOf(name)
	return n.load.DataCentreSilentFor(dataCentre) <= partitionTimeout && n.load.ReachableOrUnknown(name, partitionTimeout)
}

// isSilent reports, as a witness, whether a keeper has sent nothing recently, and whether this
// instance has listened long enough to know.
func (n *Node) isSilent(name string) (silent, known bool) {
	if silent, known := n.load.SilentDataCentre(n.fleet.dataCentreOf(name), keeperSilenceTimeout); silent {
		return true, known
	}
	return n.load.Silent(name, keeperSilenceTimeout)
}
