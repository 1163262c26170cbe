package node

import (
	"context"
	"sync"
	"time"
)

// silenceEvery is how often those that somebody waits for are looked at.
const silenceCheckInterval = 50 * time.Millisecond

// silences tells those that wait for an answer from somewhere when nothing comes
// from there any more. What is sent into a cut is not refused: without it a call
// waits until its connection gives up.
type silenceMonitor struct {
	mu sync.Mutex
	// waiting are what is done when a place falls silent, by its name.
	callbacks map[string]map[*func()]bool
}

func newSilenceMonitor() *silenceMonitor {
	return &silenceMonitor{callbacks: map[string]map[*func()]bool{}}
}

// when has f called once, should the place fall silent before stop is called.
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

// run looks for silence until ctx ends.
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

// places returns the places that somebody waits for.
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

// take returns what waits for a place and forgets it.
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
