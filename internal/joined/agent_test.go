package joined

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/chat"
	"foxhall/internal/load"
	"foxhall/internal/standin"
	"foxhall/internal/step"
)

// maxAttempts bounds how often an agent sends one step.
const maxAttempts = 60

// oracle records the responses that callers received and compares them with what the stand-ins
// counted.
type oracle struct {
	mu         sync.Mutex
	violations []string
	// outcomes maps each non-repeatable step to the outcomes that its caller received, in order.
	outcomes map[string][]step.Outcome
	finished int
	programs int
	// unfinished counts the programs that did not finish, by the last code that their caller received
	// (CodeOwnerUnreachable if there was none).
	unfinished map[step.Code]int
	// unexplained lists the steps at which programs ended with a code outside explainedCodes.
	unexplained   []string
	endedPrograms []string
	attempts      int
	// brokenConnections describes each connection that broke during a call.
	brokenConnections []string
	// spentTokens is the number of tokens spent by the plan with the small budget.
	spentTokens int64
	// acceptedEdits is the number of edits that were accepted.
	acceptedEdits int
}

func newOracle() *oracle {
	return &oracle{outcomes: map[string][]step.Outcome{}, unfinished: map[step.Code]int{}}
}

func (o *oracle) violation(promise, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, promise+": "+fmt.Sprintf(format, args...))
}

// agent runs one program and checks each response on arrival.
type agent struct {
	oracle  *oracle
	client  *load.Client
	model   string
	origin  int
	program string
	parent  string
	next    int
	history []chat.Message
}

// The guarantees that the oracle checks, as reported in a violation.
const (
	promiseOrder            = "calls reach the engines in order"
	promiseHistory          = "a history is never lost or mixed"
	promiseBudget           = "each plan's budget holds"
	promiseMemoryReleased   = "no engine memory stays held by programs that are gone"
	promiseCompleteResponse = "a caller gets the whole answer to its own request"
	promiseNotRun           = "a refusal saying not run is true"
	promiseOnce             = "a step that may not be repeated runs at most once"
	promiseDraining         = "a leaving upstream gets no new work"
	promiseGracefulStop     = "a planned stop cuts off no request"
	promiseConfig           = "an accepted edit is in force everywhere and never reverts"
)

// run runs a program with the given number of turns and ends it. Each turn but the last is followed
// by a repeatable and a non-repeatable step. Some programs start a sub-agent, which runs
// concurrently.
func (a *agent) run(ctx context.Context, id, turns int) {
	a.origin, a.next = id, 1
	a.oracle.mu.Lock()
	a.oracle.programs++
	a.oracle.mu.Unlock()
	var subAgents sync.WaitGroup
	defer subAgents.Wait()
	for turn := 1; turn <= turns; turn++ {
		if turn == turns {
			subAgents.Wait() // the last turn depends on the results of the sub-agents
		}
		if !a.sendTurn(ctx, fmt.Sprintf("program %d turn %d %s", id, turn, strings.Repeat("word ", 20)), turn == turns) {
			return
		}
		if turn < turns && !(a.sendQuote(ctx, turn) && a.sendOrder(ctx, turn)) {
			return
		}
		if turn == 1 && id%4 == 2 && a.parent == "" {
			subAgent := &agent{oracle: a.oracle, client: a.client, model: a.model, parent: a.program}
			subAgents.Go(func() { subAgent.run(ctx, id, 2) })
		}
		time.Sleep(time.Duration(50*(id%7)) * time.Millisecond)
	}
	a.oracle.mu.Lock()
	defer a.oracle.mu.Unlock()
	a.oracle.finished++
	a.oracle.endedPrograms = append(a.oracle.endedPrograms, a.program)
}

// sendTurn sends one model step and checks that the engine received exactly the program's history
// followed by the new message.
func (a *agent) sendTurn(ctx context.Context, text string, last bool) bool {
	message := chat.Message{Role: "user", Raw: fmt.Appendf(nil, `{"role":"user","content":%q}`, text)}
	request := &chat.Request{Model: a.model, Messages: []chat.Message{message}, Stream: true, MaxTokens: 24}
	r, ok := a.send(ctx, load.Request{Chat: request, Ends: last}, "")
	if !ok {
		return false
	}
	a.program = r.Program
	a.next++
	a.history = append(a.history, message)
	want := standin.GeneratedText(a.model, a.history, 24)
	if r.Text != want {
		promise := promiseHistory
		if strings.HasPrefix(want, r.Text) {
			promise = promiseCompleteResponse
		}
		a.oracle.violation(promise, "%s step %d: response %q, want %q", a.program, r.Number, r.Text, want)
		return false
	}
	a.history = append(a.history, chat.Message{Role: "assistant", Raw: fmt.Appendf(nil, `{"role":"assistant","content":%q}`, r.Text)})
	return true
}

// sendQuote sends one repeatable step to a service.
func (a *agent) sendQuote(ctx context.Context, turn int) bool {
	r, ok := a.send(ctx, load.Request{Service: "auction", Path: "/quote", Body: fmt.Appendf(nil, `{"lot":%d}`, turn)}, "")
	if !ok {
		return false
	}
	if !strings.Contains(r.Text, `"call":"POST /quote"`) {
		a.oracle.violation(promiseCompleteResponse, "%s step %d: unexpected response %q", a.program, a.next, r.Text)
	}
	a.next++
	return true
}

// sendOrder sends one non-repeatable step to a service.
func (a *agent) sendOrder(ctx context.Context, turn int) bool {
	key := fmt.Sprintf("%s/%d", a.program, a.next)
	r, ok := a.send(ctx, load.Request{Service: "auction", Path: "/bids", Body: fmt.Appendf(nil, `{"bid":%d}`, turn)}, key)
	if !ok {
		return false
	}
	if !strings.Contains(r.Text, `"call":"POST /bids"`) {
		a.oracle.violation(promiseCompleteResponse, "%s: unexpected response %q", key, r.Text)
	}
	a.next++
	return true
}

// send sends one step until it is done, as a careful caller does: with the same step number in each
// attempt, and after the delay that the response asks for.
func (a *agent) send(ctx context.Context, r load.Request, key string) (load.Response, bool) {
	r.Program, r.Parent, r.Number, r.Origin, r.Deadline = a.program, a.parent, a.next, a.origin, 20*time.Second
	code := step.CodeOwnerUnreachable
	for attempt := range maxAttempts {
		r.Attempt = attempt
		sendCtx, cancel := context.WithTimeout(ctx, 25*time.Second)
		response, err := a.client.Send(sendCtx, r)
		cancel()
		a.recordAttempt(key, response, err)
		if err == nil && response.Outcome == step.Done && response.Code == "" {
			return response, true
		}
		if err == nil && response.Code != "" {
			code = response.Code
		}
		if response.Code == step.CodeSettledNotRun {
			a.next++
			return a.send(ctx, r, fmt.Sprintf("%s/%d", a.program, a.next))
		}
		if response.Code == step.CodeBudget {
			break // the budget is available again at the next window, an hour later
		}
		if err == nil && response.RetryAfter == 0 && response.Code != step.CodeOutcomeUnknown && response.Code != step.CodeDeadline {
			break
		}
		time.Sleep(max(response.RetryAfter, 500*time.Millisecond))
	}
	a.oracle.mu.Lock()
	defer a.oracle.mu.Unlock()
	a.oracle.unfinished[code]++
	if !explainedCodes[code] {
		a.oracle.unexplained = append(a.oracle.unexplained, fmt.Sprintf("%q (parent %q) step %d: %s", a.program, a.parent, a.next, code))
	}
	return load.Response{}, false
}

// recordAttempt records the outcome that the caller received for a non-repeatable step. After a
// broken connection the outcome is unknown.
func (a *agent) recordAttempt(key string, r load.Response, err error) {
	a.oracle.mu.Lock()
	defer a.oracle.mu.Unlock()
	a.oracle.attempts++
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		a.oracle.brokenConnections = append(a.oracle.brokenConnections, fmt.Sprintf("%s step %d: %v", a.program, a.next, err))
	}
	if key == "" {
		return
	}
	outcome := r.Outcome
	if err != nil || outcome == "" {
		outcome = step.Unknown
	}
	a.oracle.outcomes[key] = append(a.oracle.outcomes[key], outcome)
}

// checkEffects compares the outcomes of each non-repeatable step with the effects that the services
// counted.
func (o *oracle) checkEffects(effects map[string]int) {
	for key, n := range effects {
		if _, once := o.outcomes[key]; once && n > 1 {
			o.violation(promiseOnce, "%s: took effect %d times, want at most 1", key, n)
		}
	}
	for key, outcomes := range o.outcomes {
		allNotRun := true
		for _, outcome := range outcomes {
			allNotRun = allNotRun && outcome == step.NotRun
			if outcome == step.Done && effects[key] != 1 {
				o.violation(promiseOnce, "%s: outcome is done, but it took effect %d times, want 1", key, effects[key])
			}
		}
		if allNotRun && effects[key] != 0 {
			o.violation(promiseNotRun, "%s: every outcome is not run, but it took effect", key)
		}
	}
}
