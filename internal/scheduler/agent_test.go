package scheduler

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"foxhall/internal/chat"
	"foxhall/internal/engine"
	"foxhall/internal/standin"
)

// agent is one program of the workload.
type agent struct {
	bench        *bench
	name, root   string
	plan         int
	instance     *Scheduler
	random       *rand.Rand
	turns        int
	child        bool
	deadline     time.Time
	abandonAt    time.Time
	conversation []chat.Message
}

func randomIn(r *rand.Rand, bounds [2]int) int { return bounds[0] + r.IntN(bounds[1]-bounds[0]+1) }

func message(role, seed string, tokens int) chat.Message {
	r := rand.New(rand.NewPCG(uint64(len(seed)), hashOf(seed)))
	text := make([]byte, tokens*engine.TokenBytes)
	for i := range text {
		text[i] = byte('a' + r.IntN(26))
	}
	raw, _ := json.Marshal(map[string]string{"role": role, "content": string(text)})
	return chat.Message{Role: role, Raw: raw}
}

func hashOf(text string) uint64 {
	return engine.Blocks(nil, text, []chat.Message{{Raw: make([]byte, 256)}})[0]
}

func (b *bench) newProgram(n int) *agent {
	r := rand.New(rand.NewPCG(b.random.Uint64(), uint64(n)))
	name := fmt.Sprintf("p%d", n)
	a := &agent{
		bench: b, name: name, root: name, plan: r.IntN(testPlans), instance: b.instances[r.IntN(len(b.instances))], random: r,
		turns: randomIn(r, b.scenario.turns), deadline: time.Now().Add(b.scenario.deadline), abandonAt: time.Now().Add(b.callerTimeout),
	}
	a.conversation = []chat.Message{message("system", fmt.Sprint("family", r.IntN(b.scenario.families)), b.scenario.shared)}
	return a
}

// run runs the program's turns and records the result.
func (a *agent) run(ctx context.Context) {
	begin := time.Now()
	ctx, cancel := context.WithDeadline(ctx, a.abandonAt)
	defer cancel()
	verdict := a.runTurns(ctx)
	a.instance.EndProgram(a.name)
	if a.child {
		return
	}
	a.bench.mu.Lock()
	defer a.bench.mu.Unlock()
	a.bench.endedPrograms[a.name] = true
	if begin.Before(a.bench.warmUpEnd) {
		return
	}
	out := &a.bench.outcome
	out.began++
	out.planBegan[a.plan]++
	switch verdict {
	case finished:
		out.latencies = append(out.latencies, time.Since(begin).Seconds())
		if time.Since(begin) <= a.bench.scenario.deadline {
			out.inTime++
			out.planInTime[a.plan]++
		}
	case refusedFirstStep:
		out.refused++
	case missedDeadline:
		out.missedDeadline++
	case programLost:
		out.lost++
	}
}

type verdict int

const (
	finished verdict = iota
	refusedFirstStep
	missedDeadline
	programLost
)

func (a *agent) runTurns(ctx context.Context) verdict {
	spawnAt := -1
	if !a.child && a.random.Float64() < a.bench.scenario.childShare {
		spawnAt = a.random.IntN(a.turns)
	}
	for turn := range a.turns {
		a.conversation = append(a.conversation, message("user", fmt.Sprint(a.name, turn), randomIn(a.random, a.bench.scenario.user)))
		if v := a.step(ctx, turn == 0 && !a.child); v != finished {
			return v
		}
		if turn == spawnAt {
			a.spawn(ctx)
		}
		if turn < a.turns-1 && !a.callTool(ctx) {
			return missedDeadline
		}
	}
	return finished
}

// spawn runs two sub-agents in parallel, each with half of the parent's number of turns.
func (a *agent) spawn(ctx context.Context) {
	var group sync.WaitGroup
	for i := range 2 {
		name := fmt.Sprintf("%s.%d", a.name, i)
		child := &agent{
			bench: a.bench, name: name, root: a.root, plan: a.plan, instance: a.instance, child: true, deadline: a.deadline, abandonAt: a.abandonAt, turns: max(1, a.turns/2),
			random: rand.New(rand.NewPCG(a.random.Uint64(), 1)), conversation: a.conversation[:1:1],
		}
		group.Go(func() {
			child.run(ctx)
			a.bench.mu.Lock()
			a.bench.endedPrograms[name] = true
			a.bench.mu.Unlock()
		})
	}
	group.Wait()
}

func (a *agent) callTool(ctx context.Context) bool {
	pause := time.Duration(a.random.ExpFloat64() * float64(a.bench.scenario.pause))
	g, refusal := a.instance.Acquire(ctx, Request{Plan: "p", Service: "tool", Program: a.name, Root: a.root, Grant: a.bench.grants[a.plan]})
	if refusal != nil {
		return false
	}
	select {
	case <-time.After(pause):
		g.Done(Feedback{Total: pause})
		return true
	case <-ctx.Done():
		g.Done(Feedback{Cancelled: true})
		return false
	}
}

// requestDeadline returns the deadline of the program's requests, or zero if the caller waits beyond
// it.
func (a *agent) requestDeadline() time.Time {
	if a.bench.callerTimeout > a.bench.scenario.deadline {
		return time.Time{}
	}
	return a.deadline
}

func (a *agent) step(ctx context.Context, first bool) verdict {
	output := randomIn(a.random, a.bench.scenario.output)
	var tried []string
	for {
		r := Request{
			Plan: fmt.Sprint(a.plan), Grant: a.bench.grants[a.plan], Model: testModel, Program: a.name, Root: a.root, Critical: a.child,
			Messages: a.conversation, MaxOutputTokens: output, Deadline: a.requestDeadline(), Tried: tried,
		}
		g, refusal := a.instance.Acquire(ctx, r)
		switch {
		case refusal != nil && ctx.Err() != nil:
			return missedDeadline
		case refusal != nil && first && len(tried) == 0:
			return refusedFirstStep
		case refusal != nil:
			select {
			case <-time.After(max(time.Second, refusal.RetryAfter)):
			case <-ctx.Done():
				return missedDeadline
			}
			continue
		}
		done, err := a.callEngine(ctx, g, output)
		if done || ctx.Err() != nil {
			if err != nil {
				return missedDeadline
			}
			return finished
		}
		tried = append(tried, g.Upstream)
	}
}

// callEngine sends one step and records how many cached prefix tokens were prefilled again.
func (a *agent) callEngine(ctx context.Context, g *Grant, output int) (done bool, err error) {
	a.bench.recordSent(g.Upstream)
	g.MarkSent()
	best := 0
	for _, e := range a.bench.fleet {
		best = max(best, e.Cached(testModel, a.conversation))
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	progressTimer := time.AfterFunc(g.ProgressTimeout, cancel)
	defer progressTimer.Stop()
	request := &engine.Request{Chat: &chat.Request{Model: testModel, Messages: a.conversation, MaxTokens: output, Stream: true}, Program: a.name, Priority: g.Priority}
	response, err := a.bench.fleet.Complete(callCtx, g.Address, request, func(engine.Chunk) error {
		progressTimer.Reset(g.ProgressTimeout)
		g.RecordFirstToken()
		return nil
	})
	feedback := FeedbackOf(response, err)
	feedback.Cancelled = err != nil && ctx.Err() != nil
	g.Done(feedback)
	if err != nil {
		return false, err
	}
	a.bench.recordCall(a, response, best, output)
	a.conversation = append(a.conversation, response.Message)
	return true, nil
}

func (b *bench) recordCall(a *agent, response *engine.Response, best, output int) {
	var got struct{ Content string }
	_ = json.Unmarshal(response.Message.Raw, &got)
	b.mu.Lock()
	defer b.mu.Unlock()
	if got.Content != standin.GeneratedText(testModel, a.conversation, output) {
		b.outcome.wrong++
	}
	if time.Now().Before(b.warmUpEnd) {
		return
	}
	b.outcome.calls++
	b.outcome.prompt += int64(response.Usage.PromptTokens)
	b.outcome.recomputed += int64(max(0, best-response.CachedTokens()))
}
