package owner

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/plan"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

// Open starts a program without a step and makes it durable. It may be
// repeated: a program that nobody uses expires.
func (s *Service) Open(ctx context.Context, p *plan.Plan, parent program.ID) step.Result {
	if s.moved.Load() {
		return *movedResult()
	}
	if !s.flights.begin() {
		return *s.awaitHandoff(ctx)
	}
	defer s.flights.end()
	call := step.Call{Plan: p, Parent: parent}
	r, refusal := s.openAfterAdoption(ctx, call)
	if refusal != nil {
		return *refusal
	}
	if !r.claim(ctx) {
		s.finishOpening(r)
		return *cancelledResult()
	}
	err := s.save(r, s.o.Log.AppendOrHold, dropUnsaved)
	r.unclaim()
	s.finishOpening(r)
	switch {
	case errors.Is(err, ErrFenced):
		return *movedResult()
	case err != nil:
		return *s.storeUnavailable()
	}
	return step.Result{Outcome: step.Done, Program: r.id, Status: http.StatusCreated}
}

// awaitHandOver waits for the end of a planned hand-over.
func (s *Service) awaitHandoff(ctx context.Context) *step.Result {
	timeout := time.NewTimer(handoffTimeout)
	defer timeout.Stop()
	select {
	case <-s.movedCh:
		return movedResult()
	case <-timeout.C:
		return shuttingDown()
	case <-ctx.Done():
		return contextRefusal(ctx)
	}
}

func (r *resident) wasStarted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// End says for its caller that a program is needed no longer, after the step
// under way. It may be repeated.
func (s *Service) End(ctx context.Context, p *plan.Plan, id program.ID) step.Result {
	r, refusal := s.find(ctx, step.Call{Plan: p, Program: id})
	if refusal != nil {
		return *refusal
	}
	if !r.claim(ctx) {
		return *s.claimRefusal(ctx)
	}
	r.mu.Lock()
	alreadyRequested := !r.state.EndRequestedAt.IsZero()
	r.mu.Unlock()
	var err error
	if !alreadyRequested {
		err = s.save(r, s.o.Log.AppendOrHold, dropUnsaved, program.RequestEnd())
	}
	r.unclaim()
	switch {
	case errors.Is(err, ErrFenced):
		return *movedResult()
	case err != nil:
		return *s.storeUnavailable()
	}
	s.releaseEnded(r)
	return step.Result{Outcome: step.Done, Program: id, Status: http.StatusNoContent}
}

func (s *Service) claimRefusal(ctx context.Context) *step.Result {
	if ctx.Err() != nil {
		return contextRefusal(ctx)
	}
	return s.goneResult()
}

// find returns the call's program, opening it where the call starts one.
func (s *Service) find(ctx context.Context, call step.Call) (*resident, *step.Result) {
	if call.Program == "" {
		return s.openAfterAdoption(ctx, call)
	}
	if refusal := s.awaitAdoption(ctx, call.Program); refusal != nil {
		return nil, refusal
	}
	r := s.lookup(call.Program)
	if r == nil || !r.belongsTo(call.Plan) {
		return nil, s.absentResult(call.Program)
	}
	return r, nil
}

func (r *resident) belongsTo(p *plan.Plan) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.state.Account && r.state.Customer == p.Customer
}

// absent is the answer for an id that is not resident, or not the caller's.
func (s *Service) absentResult(id program.ID) *step.Result {
	if s.moved.Load() {
		return movedResult()
	}
	sh := s.shard(id)
	sh.mu.RLock()
	uncertain := sh.uncertain[id.Cohort()]
	sh.mu.RUnlock()
	if uncertain {
		return refuse(http.StatusConflict, step.CodeHistoryUncertain,
			"programs of its owner may not have been recovered")
	}
	return notFoundResult()
}

// adoptionPoll is how often a call looks whether its program's slice was taken over.
const adoptionPollInterval = 20 * time.Millisecond

// adoptionWait is how long a call waits for a take-over under way.
const adoptionTimeout = 2 * time.Second

// awaitAdoption waits briefly for the program's slice to be taken over. The
// failure: a call reaches the successor before it has read the log, and would
// be told that its program does not exist.
func (s *Service) awaitAdoption(ctx context.Context, id program.ID) *step.Result {
	if s.o.Residency == nil || s.o.Residency.Adopted(id) {
		return nil
	}
	timeout := time.NewTimer(adoptionTimeout)
	defer timeout.Stop()
	ticker := time.NewTicker(adoptionPollInterval)
	defer ticker.Stop()
	for !s.o.Residency.Adopted(id) {
		select {
		case <-ticker.C:
		case <-timeout.C:
			r := refuse(http.StatusServiceUnavailable, step.CodeOwnerUnreachable, "the program is being taken over")
			r.RetryAfter = s.o.RetryAfter
			return r
		case <-ctx.Done():
			return contextRefusal(ctx)
		}
	}
	return nil
}

// openAdopted opens a program once its parent, if it has one, is taken over:
// a sub-agent may be the first call that the parent's successor sees, and would
// be told that its parent does not exist.
func (s *Service) openAfterAdoption(ctx context.Context, call step.Call) (*resident, *step.Result) {
	if call.Parent != "" {
		if refusal := s.awaitAdoption(ctx, call.Parent); refusal != nil {
			return nil, refusal
		}
	}
	return s.open(call)
}

// open makes a new resident; its first event goes into the log with the first
// step's. A sub-agent is born in its parent's slice, so that the whole root
// program stays on one instance through every take-over.
func (s *Service) open(call step.Call) (*resident, *step.Result) {
	opening := program.Opening{
		Customer: call.Plan.Customer,
		Plan:     call.Plan.Name,
		Bounds:   s.bounds(call.Plan),
	}
	if call.Parent == "" {
		opening.ID = program.NewID(s.o.Cohort)
		return s.newResident(opening, &tree{}), nil
	}
	parent := s.lookup(call.Parent)
	if parent == nil || !parent.belongsTo(call.Plan) {
		return nil, s.absentResult(call.Parent)
	}
	parent.mu.Lock()
	defer parent.mu.Unlock()
	if refusal := parent.checkChild(time.Now()); refusal != nil {
		return nil, refusalOf(refusal)
	}
	parent.openingChildren++
	opening.ID = program.NewIDInShard(s.o.Cohort, call.Parent.Shard())
	opening.Parent = parent.state
	return s.newResident(opening, parent.tree), nil
}

func (r *resident) checkChild(now time.Time) *program.Refusal {
	unrecorded := r.openingChildren
	for _, note := range r.deferred {
		if note.GetChildOpened() != nil {
			unrecorded++
		}
	}
	return r.state.CheckChild(now, unrecorded)
}

func (s *Service) newResident(opening program.Opening, t *tree) *resident {
	r := &resident{
		id:     opening.ID,
		tree:   t,
		state:  &program.State{ID: opening.ID},
		usedAt: time.Now(),
	}
	r.applyPending(program.Open(opening))
	s.insert(r)
	return r
}

// opened settles a new program after its first step and reports whether it
// stays: one of which the log knows nothing is dropped, another counts with
// its parent.
func (s *Service) finishOpening(r *resident) bool {
	r.mu.Lock()
	saved, parentID, id := r.saved || len(r.state.Steps) > 0, r.state.Parent, r.id
	r.mu.Unlock()
	if !saved {
		s.remove(r)
	}
	if parentID == "" {
		return saved
	}
	parent := s.lookup(parentID)
	if parent == nil {
		return saved
	}
	parent.mu.Lock()
	parent.openingChildren--
	parent.mu.Unlock()
	if saved {
		parent.deferEvent(program.OpenChild(id))
	}
	return saved
}

func (s *Service) bounds(p *plan.Plan) program.Bounds {
	return program.Bounds{
		Steps:         capped(p.Bounds.Steps, s.o.MaxSteps),
		Depth:         p.Bounds.Depth,
		Children:      p.Bounds.Children,
		Lifetime:      time.Duration(p.Bounds.Lifetime),
		HistoryTokens: capped(p.Bounds.HistoryTokens, s.o.MaxHistoryTokens),
	}
}

func capped(bound, limit int) int {
	if bound <= 0 {
		return limit
	}
	return min(bound, limit)
}
