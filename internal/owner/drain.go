package owner

import (
	"context"
)

// Drain ends the service's work for a planned stop: no new step starts, those
// under way run to their end, and what is pending goes into the log. Calls that
// come meanwhile wait for HandedOver, so that the hand-over refuses none.
func (s *Service) Drain(ctx context.Context) error {
	err := s.flights.close(ctx)
	for i := range s.shards {
		for _, r := range s.shards[i].all() {
			if r.hasUnsaved() && r.tryClaim() {
				_ = s.save(r, s.o.Log.AppendOrHold, keepUnsaved)
				r.unclaim()
			}
		}
	}
	return err
}

func (r *resident) hasUnsaved() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending) > 0 || len(r.deferred) > 0
}

// HandedOver says that successors own all programs now, after a planned seal or
// because the log was found sealed. Every call is answered "moved" from now on.
func (s *Service) HandedOver() {
	s.movedOnce.Do(func() {
		s.moved.Store(true)
		close(s.movedCh)
		s.log.Warn("programs are owned by successors now")
		s.runInBackground(func(context.Context) { s.dropPrograms() })
	})
}

// forget drops all programs; steps under way keep theirs to their end.
func (s *Service) dropPrograms() {
	for i := range s.shards {
		s.removeAll(s.shards[i].all())
	}
}
