package node

import (
	"context"
	"sync"
	"time"
)

// silenceEvery is how often those that somebody waits for are looked at.
const silenceEvery = 50 * time.Millisecond

// silences tells those that wait for an answer from somewhere when nothing comes
// from there any more. What is sent into a cut is not refused: without it a call
// waits until its connection gives up.
type silences struct {
	mu sync.Mutex
	// waiting are what is done when a place falls silent, by its name.
	waiting map[string]map[*func()]bool
}

func newSilences() *silences { return &silences{waiting: map[string]map[*func()]bool{}} }

// when has f called once, should the place fall silent before stop is called.
func (s *silences) when(place string, f func()) (stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[place] == nil {
		s.waiting[place] = map[*func()]bool{}
	}
	entry := &f
	s.waiting[place][entry] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiting[place], entry)
	}
}

// run looks for silence until ctx ends.
func (s *silences) run(ctx context.Context, silent func(place string) bool) {
	ticker := time.NewTicker(silenceEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.look(silent)
		case <-ctx.Done():
			return
		}
	}
}

func (s *silences) look(silent func(place string) bool) {
	for _, place := range s.places() {
		if !silent(place) {
			continue
		}
		for _, f := range s.take(place) {
			f()
		}
	}
}

// places returns the places that somebody waits for.
func (s *silences) places() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var places []string
	for place, waiting := range s.waiting {
		if len(waiting) > 0 {
			places = append(places, place)
		}
	}
	return places
}

// take returns what waits for a place and forgets it.
func (s *silences) take(place string) []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []func()
	for f := range s.waiting[place] {
		all = append(all, *f)
	}
	delete(s.waiting, place)
	return all
}
