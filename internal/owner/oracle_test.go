package owner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"foxhall/internal/program"
	"foxhall/internal/step"
)

// recordResult checks the result of a call against earlier ones and moves its client to the next
// step.
func (m *machine) recordResult(c *client, s *plannedStep, a *sentCall) {
	r := a.result
	switch r.Outcome {
	case step.Done:
		got := string(r.Body)
		if s.kind == turns {
			got = text(r.AssistantMessage)
		}
		if s.answer != "" && got != s.answer {
			panic(fmt.Sprintf("%s was answered %q, then %q", s.body, s.answer, got))
		}
		s.answer = got
		c.next = max(c.next, s.number)
	case step.NotRun:
		if r.Code == step.CodeSettledNotRun {
			c.next = max(c.next, s.number)
		}
	case step.Unknown:
		s.toldUnknown = true
		if s.kind == charges && r.Code == step.CodeOutcomeUnknown {
			c.next = max(c.next, s.number)
		}
	}
	if r.MissingStep > 0 && r.MissingStep <= s.number && !a.node.sealed {
		m.handleMissing(c, r)
	}
}

// handleMissing moves a client back to the step that its program lacks. The client must not have a
// response to that step.
func (m *machine) handleMissing(c *client, r step.Result) {
	if c.steps[r.MissingStep-1].answer != "" {
		if c.steps[r.MissingStep-1].kind != turns || m.recordsLost {
			// Allowed: a lost turn is reported to the caller, and a tool call whose caller has the
			// response may lack its record, but never its effect.
			c.stoppedBecause = "history uncertain"
			return
		}
		panic(fmt.Sprintf("%s is missing at the owner and was answered\n%s", c.steps[r.MissingStep-1].body, c.report()))
	}
	c.next = min(c.next, r.MissingStep-1)
}

// report lists the results that the client received, for failure messages.
func (c *client) report() string {
	var out strings.Builder
	for _, s := range c.steps {
		fmt.Fprintf(&out, "%s of kind %d, answer %q:", s.body, s.kind, s.answer)
		for _, a := range s.attempts {
			fmt.Fprintf(&out, " [%s seen %v lost %v: %s %s %d]", a.node.svc.Cohort(), a.seen, a.disconnected, a.result.Outcome, a.result.Code, a.result.MissingStep)
		}
		out.WriteString("\n")
	}
	return out.String()
}

// check compares the effects, engine runs and results so far with the guarantees.
func (m *machine) check() {
	m.observe()
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	for _, c := range m.clients {
		for _, s := range c.steps {
			m.checkEffects(s)
		}
	}
	reached := map[program.ID]int{}
	for _, r := range m.w.engineRuns {
		m.checkHistory(r)
		if r.number < reached[r.program] {
			panic(fmt.Sprintf("%s: step %d reached an engine after step %d", r.program, r.number, reached[r.program]))
		}
		reached[r.program] = r.number
	}
}

func (m *machine) effectsOf(s *plannedStep) (n int) {
	for body, count := range m.w.effects {
		if strings.HasPrefix(body, "charge "+s.body+" ") {
			n += count
		}
	}
	return n
}

func (m *machine) checkEffects(s *plannedStep) {
	if s.kind != charges {
		return
	}
	effects := m.effectsOf(s)
	if effects > 1 {
		panic(fmt.Sprintf("%s had its effect %d times", s.body, effects))
	}
	if s.answer != "" && effects == 0 {
		panic(s.body + " was answered and had no effect")
	}
	notRun := len(s.attempts) > 0
	for _, a := range s.attempts {
		notRun = notRun && a.seen && a.result.Outcome == step.NotRun
	}
	if notRun && effects > 0 {
		panic(s.body + " was reported as not run by all its results and had its effect")
	}
}

// checkHistory compares the history that an engine received with that of the program's caller: the
// caller's messages in order, each acknowledged turn with its response, and nothing else.
func (m *machine) checkHistory(r engineRun) {
	c := m.clients[slices.IndexFunc(m.clients, func(c *client) bool { return c.id == r.program })]
	var want []string
	for _, s := range c.steps[:r.number] {
		if s.kind == turns {
			want = append(want, s.body)
		}
	}
	if len(r.history) != 2*len(want)-1 {
		panic(fmt.Sprintf("%s %d: the engine received %q", c.id, r.number, r.history))
	}
	for i, user := range want {
		s := c.steps[slices.IndexFunc(c.steps, func(s *plannedStep) bool { return s.body == user })]
		if r.history[2*i] != user {
			panic(fmt.Sprintf("step %d: the engine received %q", r.number, r.history))
		}
		last := s.number == r.number
		if !last && s.answer != "" && r.history[2*i+1] != s.answer && !r.fenced {
			panic(fmt.Sprintf("step %d: the caller of %s received %q, the engine %q", r.number, user, s.answer, r.history))
		}
	}
}

// finish ends all faults, and checks that each program completes all its steps.
func (m *machine) finish(rt *rapid.T) {
	m.w.restoreStore(nil)
	m.w.mu.Lock()
	m.w.decideGate = func(*gate) string { return ok }
	m.w.mu.Unlock()
	for len(m.w.waitingGates()) > 0 {
		m.w.release(0, ok)
	}
	advance(time.Minute)
	m.check()
	if rapid.Bool().Draw(rt, "last take-over") {
		m.takeOver(rt)
	}
	for _, c := range m.clients {
		m.finishClient(c)
	}
	m.check()
	for _, c := range m.clients {
		for _, s := range c.steps[:c.next] {
			if s.answer != "" {
				m.send(m.w.owner(), c, s) // repeats get the recorded responses
			}
		}
	}
	m.check()
}

// maxAttempts is more than any step needs once no fault occurs.
const maxAttempts = 40

func (m *machine) finishClient(c *client) {
	for range maxAttempts {
		if c.next >= len(c.steps) || c.stoppedBecause != "" {
			return
		}
		m.send(m.w.owner(), c, c.steps[c.next])
		advance(time.Second)
		m.observe()
		s := c.steps[c.next%len(c.steps)]
		if n := len(s.attempts); n > 0 && m.recordsLost && s.attempts[n-1].result.Code == step.CodeHistoryUncertain {
			return
		}
	}
	s := c.steps[c.next]
	panic(fmt.Sprintf("%s makes no progress at step %d: %+v", c.id, s.number, s.attempts[len(s.attempts)-1].result))
}
