package scheduler

import (
	"time"

	"foxhall/internal/engine"
	"foxhall/internal/placement"
)

// seed returns the model name from which the hashes of a prompt's blocks are computed.
func (s *Scheduler) seed(model string) string {
	for _, endpoint := range s.table.Snapshot().Model(model) {
		if serving := endpoint.Serving(); serving.Ready {
			return engine.CacheName(serving.Name)
		}
	}
	return model
}

// beginToolWait records that the program waits for a tool, and releases its cache on the engine
// unless retaining it for the expected wait is worth the space. The engine evicts released blocks
// only when it needs the space, so they are usually still cached after a short wait.
func (s *Scheduler) beginToolWait(r *Request, now time.Time) {
	expected := s.toolWaits.expect(r.Service)
	var last uint32
	s.programs.with(r.programKey(), now, func(state *programState) {
		state.waitingTool, state.waitingSince = r.Service, now
		last = state.lastUpstream
	})
	u := s.table.ByID(last)
	if u == nil || s.settings.Policy != placement.Cost {
		return
	}
	turnover := placement.CacheTurnover(u.CacheTokens, s.inflow.rate(u.ID, now)*engine.BlockTokens)
	if placement.ShouldRetainCache(expected, turnover) {
		return
	}
	s.release(u.Address, r.Program)
}

// endToolWait records the duration of the wait, from which later waits for the tool are estimated.
func (s *Scheduler) endToolWait(r *Request, now time.Time) {
	s.programs.with(r.programKey(), now, func(state *programState) {
		if state.waitingTool == r.Service {
			s.toolWaits.learn(r.Service, now.Sub(state.waitingSince))
			state.waitingTool = ""
		}
	})
}
