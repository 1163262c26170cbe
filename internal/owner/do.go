package owner

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"foxhall/internal/chat"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

// Do runs one step of a program owned here, joins the same step if it is in flight, or returns its
// recorded response. sink is nil if the caller wants a non-streaming response; a streamed response
// is complete only once Do has returned step.Done.
func (s *Service) Do(ctx context.Context, call step.Call, sink step.Sink) step.Result {
	result := s.do(ctx, call, sink)
	s.meters.count(result)
	if result.Outcome != step.Done {
		s.logFailure(call, result)
	}
	return result
}

func (s *Service) do(ctx context.Context, call step.Call, sink step.Sink) step.Result {
	if refusal := s.checkCall(call); refusal != nil {
		return *refusal
	}
	r, refusal := s.find(ctx, call)
	if refusal != nil {
		return *refusal
	}
	result := s.runOrJoin(ctx, r, call, newAttempt(call), sink)
	if call.Program == "" && !r.wasStarted() {
		s.finishOpening(r)
	}
	return result
}

// checkCall refuses calls that are invalid regardless of the program's state.
func (s *Service) checkCall(call step.Call) *step.Result {
	switch {
	case s.moved.Load():
		return movedResult()
	case (call.Model == nil) == (call.Tool == nil):
		return refuse(http.StatusBadRequest, step.CodeBadRequest, "a step is a model call or a tool call")
	case call.Number < 0 || call.Program == "" && call.Number > 1:
		return refuse(http.StatusBadRequest, step.CodeBadRequest, "a new program starts with step 1")
	case call.Model != nil && messageBytes(call.Model.Messages) > maxTurnBytes:
		return refuse(http.StatusRequestEntityTooLarge, step.CodeBounds, "the messages are too large for one turn")
	case len(call.IdempotencyKey) > maxNameBytes || call.Tool != nil && len(call.Tool.Path) > maxNameBytes:
		return refuse(http.StatusRequestEntityTooLarge, step.CodeBounds, "the path or idempotency key is too long")
	case call.Tool == nil || s.mayRepeat(call.Tool):
		return nil
	}
	return checkIdentified(call)
}

// checkIdentified refuses a call that may not be repeated unless it carries its program and a step
// number or idempotency key. If a balancer or a retry sends such a call twice, the second could not
// be distinguished from a new call without that identity, and each would open a program of its own.
func checkIdentified(call step.Call) *step.Result {
	switch {
	case call.Program == "":
		return refuse(http.StatusBadRequest, step.CodeBadRequest,
			"a call that may not be repeated needs a program; open one first")
	case call.Number == 0 && call.IdempotencyKey == "":
		return refuse(http.StatusBadRequest, step.CodeBadRequest,
			"a call that may not be repeated needs a step number or an idempotency key")
	}
	return nil
}

func (s *Service) mayRepeat(t *step.ToolRequest) bool {
	return s.o.Catalogue.MayRepeat(t.Service, t.Method, t.Path)
}

// maxTurnBytes bounds the messages of one call, in bytes, so that its turn fits into a log entry,
// which holds up to a megabyte.
const maxTurnBytes = 768 << 10

// maxNameBytes bounds a call's path (including the query) and its idempotency key, in bytes each. A
// program keeps both for each of its steps, and all of them must fit into one log entry when the
// program is taken over.
const maxNameBytes = 2 << 10

func messageBytes(messages []chat.Message) int {
	size := 0
	for _, m := range messages {
		size += len(m.Raw)
	}
	return size
}

// newAttempt returns the identity of the call's step. The hash covers the call's content, with the
// fields of Extra in sorted order.
func newAttempt(call step.Call) program.Attempt {
	a := program.Attempt{Number: call.Number, Key: call.IdempotencyKey, After: call.AfterTurn}
	if t := call.Tool; t != nil {
		a.Hash = program.HashBody([]byte(t.Service), []byte(t.Method), []byte(t.Path), []byte(t.ContentType), t.Body)
		return a
	}
	m := call.Model
	parts := [][]byte{[]byte(m.Model), strconv.AppendInt(nil, int64(m.MaxTokens), 10)}
	for _, message := range m.Messages {
		parts = append(parts, message.Raw)
	}
	names := make([]string, 0, len(m.Extra))
	for name := range m.Extra {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		parts = append(parts, []byte(name), m.Extra[name])
	}
	a.Hash = program.HashBody(parts...)
	a.FullConversation = !chat.IsContinuation(m.Messages)
	return a
}

// runOrJoin waits until it is the call's turn and runs its step, joins the same step in flight, or
// returns its recorded response.
func (s *Service) runOrJoin(ctx context.Context, r *resident, call step.Call, a program.Attempt, sink step.Sink) step.Result {
	defer r.stopWaiting()
	if !r.startWaiting(s.o.MaxWaiting) {
		return *refuse(http.StatusTooManyRequests, step.CodeOverloaded, "too many steps of the program wait")
	}
	gap := gapTimer{remaining: s.o.MissingStepTimeout}
	followCtx, cancel := withDeadline(ctx, call, deadlineGrace)
	defer cancel()
	ctx, cancel = withDeadline(ctx, call, 0)
	defer cancel()
	for {
		chosen := s.chooseAction(r, call, a, gap.remaining <= 0)
		if chosen.flight != nil {
			return chosen.flight.follow(followCtx, chosen.signal, sink)
		}
		if chosen.recorded {
			return s.replayRecorded(ctx, r, a)
		}
		if chosen.refusal != nil {
			return *chosen.refusal
		}
		if refusal := s.waitForChange(ctx, chosen, &gap); refusal != nil {
			return *refusal
		}
	}
}

// deadlineGrace is how long a call waits beyond its deadline for a step in flight. The step ends at
// that deadline and reports more precisely than its callers could whether it ran.
const deadlineGrace = 500 * time.Millisecond

// withDeadline returns ctx with the call's deadline plus grace, if the call has a deadline.
func withDeadline(ctx context.Context, call step.Call, grace time.Duration) (context.Context, context.CancelFunc) {
	if call.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, call.Deadline.Add(grace))
}

// startWaiting counts a call that waits for its turn or its response, and reports whether the
// number of waiting calls is within the limit.
func (r *resident) startWaiting(limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters++
	return r.waiters <= limit
}

func (r *resident) stopWaiting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters--
}

// action is what a call does next: follow a flight, return the recorded response, return a refusal,
// or, if none of these is set, wait for the program to change.
type action struct {
	flight   *flight
	signal   chan struct{}
	recorded bool
	refusal  *step.Result
	changed  <-chan struct{}
	// idle indicates that the program has neither a step nor another change in flight, so that the
	// wait counts towards Options.MissingStepTimeout.
	idle bool
	// draining indicates that no new step may start because of a planned stop.
	draining bool
}

// chooseAction returns the call's next action and starts its flight if it is the call's turn.
// gapOver indicates that the call has waited for missing earlier steps for
// Options.MissingStepTimeout.
func (s *Service) chooseAction(r *resident, call step.Call, a program.Attempt, gapOver bool) action {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.removed {
		return action{refusal: s.goneResult()}
	}
	if f := r.flight; f != nil && a.Matches(f.head) {
		return s.joinFlight(r, f, a)
	}
	position, _ := r.state.Find(a)
	switch position {
	case program.Recorded:
		return action{recorded: true}
	case program.Reused:
		return action{refusal: keyReused()}
	case program.Early:
		return chooseForEarly(r, gapOver)
	}
	if r.claimed {
		return action{changed: r.changeChannel()}
	}
	if !s.flights.begin() {
		return action{changed: r.changeChannel(), draining: true}
	}
	f, signal := s.startFlight(r, call, a)
	return action{flight: f, signal: signal}
}

func (s *Service) joinFlight(r *resident, f *flight, a program.Attempt) action {
	if !a.Repeats(f.head) {
		return action{refusal: keyReused()}
	}
	signal := f.join()
	if signal == nil {
		return action{changed: r.changeChannel()}
	}
	s.meters.joined.Inc(1)
	return action{flight: f, signal: signal}
}

func keyReused() *step.Result {
	return refuse(http.StatusConflict, step.CodeKeyReused,
		"the step number or idempotency key belongs to a step with another content")
}

// chooseForEarly returns the action of a call whose earlier steps have not arrived. The resident's
// lock is held.
func chooseForEarly(r *resident, gapOver bool) action {
	if r.state.Uncertain {
		refusal := refuse(http.StatusConflict, step.CodeHistoryUncertain, "the latest turns may not have been recovered")
		refusal.MissingStep = r.state.Next()
		return action{refusal: refusal}
	}
	if gapOver && !r.claimed {
		refusal := refuse(http.StatusConflict, step.CodeMissingStep, "an earlier step of the program has not arrived")
		refusal.MissingStep = r.state.Next()
		refusal.RetryAfter = shortRetryAfter
		return action{refusal: refusal}
	}
	return action{changed: r.changeChannel(), idle: !r.claimed}
}

// shortRetryAfter is the retry delay given to a caller whose step came before an earlier one, whose
// program has moved, or whose instance is stopping.
const shortRetryAfter = time.Second

func (s *Service) goneResult() *step.Result {
	if s.moved.Load() {
		return movedResult()
	}
	return notFoundResult()
}

// gapTimer is the time for which a call still waits for missing earlier steps.
type gapTimer struct{ remaining time.Duration }

// handoffTimeout bounds how long a call waits for a planned handoff to complete. The instance
// bounds a planned stop by a shorter time.
const handoffTimeout = time.Minute

// waitForChange waits for the program to change, and returns a refusal if the call must not wait
// longer.
func (s *Service) waitForChange(ctx context.Context, chosen action, gap *gapTimer) *step.Result {
	limit := time.Duration(0)
	switch {
	case chosen.draining:
		limit = handoffTimeout
	case chosen.idle:
		limit = gap.remaining
	}
	var timeout <-chan time.Time
	if limit > 0 {
		timer := time.NewTimer(limit)
		defer timer.Stop()
		timeout = timer.C
	}
	start := time.Now()
	select {
	case <-chosen.changed:
	case <-timeout:
		if chosen.draining {
			return shuttingDown()
		}
	case <-s.movedCh:
		return movedResult()
	case <-ctx.Done():
		return contextRefusal(ctx)
	}
	if chosen.idle {
		gap.remaining -= time.Since(start)
	}
	return nil
}

func shuttingDown() *step.Result {
	r := refuse(http.StatusServiceUnavailable, step.CodeShuttingDown, "the instance is stopping")
	r.RetryAfter = shortRetryAfter
	return r
}

// contextRefusal returns the refusal of a step that did not begin before ctx ended.
func contextRefusal(ctx context.Context) *step.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return deadlineExceeded()
	}
	return cancelledResult()
}

// replayRecorded returns a recorded response once all earlier events of the program are durable.
// The response of a step whose intent is in the log is returned even if they are not.
func (s *Service) replayRecorded(ctx context.Context, r *resident, a program.Attempt) step.Result {
	saved := s.flush(ctx, r)
	r.mu.Lock()
	defer r.mu.Unlock()
	position, recorded := r.state.Find(a)
	if position != program.Recorded || r.removed && s.moved.Load() {
		return *movedResult()
	}
	if !saved && (recorded.Tool == nil || !recorded.Tool.Intent) {
		return s.notDurable()
	}
	s.meters.replayed.Inc(1)
	r.usedAt = time.Now()
	return replay(r.state, recorded)
}

// flush appends pending events and reports whether all of the program's events are durable.
func (s *Service) flush(ctx context.Context, r *resident) bool {
	r.mu.Lock()
	nothingToSave := len(r.pending) == 0
	r.mu.Unlock()
	if nothingToSave {
		return true
	}
	if !r.claim(ctx) {
		return false
	}
	defer r.unclaim()
	return s.save(r, s.o.Log.AppendOrReplicate, keepUnsaved) == nil
}

func (s *Service) logFailure(call step.Call, r step.Result) {
	entry := s.log.WithField("program", string(call.Program)).WithField("step", r.Number)
	entry = entry.WithField("outcome", string(r.Outcome)).WithField("code", string(r.Code))
	entry.WithField("reason", r.Message).Info("step ended without a response")
}
