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

// Open starts a program without a step and makes it durable. A caller may repeat it, as unused
// programs expire.
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
	err := s.save(r, s.o.Log.AppendOrReplicate, dropUnsaved)
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

// awaitHandoff waits until a planned handoff is complete and returns the refusal that follows.
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

// End records its caller's request to end a program, after the step in flight. It is idempotent.
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
		err = s.save(r, s.o.Log.AppendOrReplicate, dropUnsaved, program.RequestEnd())
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

// claimRefusal returns the refusal for a call that could not claim its program.
func (s *Service) claimRefusal(ctx context.Context) *step.Result {
	if ctx.Err() != nil {
		return contextRefusal(ctx)
	}
	return s.goneResult()
}

// find returns the call's program, and opens one if the call starts a new program.
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

// absentResult is the refusal for a program that is not resident or belongs to another customer.
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

// adoptionPollInterval is the interval at which a waiting call checks whether its program's shard
// was adopted.
const adoptionPollInterval = 20 * time.Millisecond

// adoptionTimeout bounds how long a call waits for its program's shard to be adopted.
const adoptionTimeout = 2 * time.Second

// awaitAdoption waits until the program's shard is adopted. Otherwise a call that reaches the
// successor before it has read the log would be answered that the program does not exist.
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

// openAfterAdoption opens a program once its parent, if it has one, is adopted. The first call that
// reaches the parent's successor may open a sub-agent, and would otherwise be answered that the
// parent does not exist.
func (s *Service) openAfterAdoption(ctx context.Context, call step.Call) (*resident, *step.Result) {
	if call.Parent != "" {
		if refusal := s.awaitAdoption(ctx, call.Parent); refusal != nil {
			return nil, refusal
		}
	}
	return s.open(call)
}

// open creates a new program, as a sub-agent if the call names a parent. Its first event is appended
// to the log together with those of its first step. A sub-agent is created in its parent's shard, so
// that the root program and all its sub-agents stay on one instance through every take-over.
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

// checkChild checks the plan's bounds on sub-agents, counting those whose opening is not in the
// state yet. The lock is held.
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

// finishOpening completes the opening of a program after its first step and reports whether the
// program stays. A program of which the log can't hold any event is removed; one that stays is
// recorded with its parent.
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
