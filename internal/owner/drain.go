package owner

import (
	"context"
)

// Drain prepares a planned stop: no new step starts, steps in flight complete, and pending events
// are appended to the log. Calls that arrive meanwhile wait for MarkMoved, so that the handoff
// refuses none of them. It returns an error if steps are still in flight when ctx ends.
func (s *Service) Drain(ctx context.Context) error {
	err := s.flights.close(ctx)
	for i := range s.shards {
		for _, r := range s.shards[i].all() {
			if r.hasUnsaved() && r.tryClaim() {
				_ = s.save(r, s.o.Log.AppendOrReplicate, keepUnsaved)
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

// MarkMoved records that successors own all programs, after a planned seal or because the log was
// found sealed. Every call is answered step.CodeMoved from then on.
func (s *Service) MarkMoved() {
	s.movedOnce.Do(func() {
		s.moved.Store(true)
		close(s.movedCh)
		s.log.Warn("successors own the programs; all calls are answered as moved")
		s.runInBackground(func(context.Context) { s.dropPrograms() })
	})
}

// dropPrograms removes all programs. Steps in flight keep their program until they end.
func (s *Service) dropPrograms() {
	for i := range s.shards {
		s.removeAll(s.shards[i].all())
	}
}
