package owner

import (
	"context"
	"fmt"
	"strings"

	"foxhall/internal/chat"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

// engineRun is one model call that reached an engine. fenced indicates that its owner had been
// replaced or had crashed.
type engineRun struct {
	program program.ID
	number  int
	history []string
	fenced  bool
}

// MayRepeat implements Catalogue.
func (w *world) MayRepeat(service, _, _ string) bool { return service == "search" }

// Find implements Lookup.
func (w *world) Find(_ context.Context, _, key string) (*LookupResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	body := w.lookupBody(key)
	if body == "" || !w.lookupKnows {
		return nil, nil
	}
	return &LookupResult{Status: 200, Body: []byte("did " + strings.TrimSuffix(body, " "+key))}, nil
}

func (w *world) lookupBody(key string) string {
	for body := range w.effects {
		if strings.HasSuffix(body, " "+key) {
			return body
		}
	}
	return ""
}

// Admit implements Executor.
func (n *node) Admit(ctx context.Context, work *Work) (PlacedStep, *step.Result) {
	switch d := n.w.waitAtGate(ctx, &gate{kind: "admit", node: n, work: work}); d {
	case refused, expired:
		return nil, refuse(429, step.CodeOverloaded, "full")
	}
	return &placed{n: n, work: work}, nil
}

type placed struct {
	n    *node
	work *Work
}

func (p *placed) Cancel() {}

func (p *placed) Run(ctx context.Context, sink step.Sink) step.Result {
	if p.work.Call.Model != nil {
		return p.runModel(ctx, sink)
	}
	return p.runTool(ctx)
}

func (p *placed) runTool(ctx context.Context) step.Result {
	w, acted := p.n.w, false
	for {
		d := w.waitAtGate(ctx, &gate{kind: "tool", node: p.n, work: p.work})
		body := string(p.work.Call.Tool.Body)
		if !acted && (d == ok || d == actThenHang || d == responseLost) {
			w.mu.Lock()
			w.effects[body+" "+p.work.IdempotencyKey]++
			w.mu.Unlock()
			acted = true
		}
		switch {
		case d == actThenHang:
			continue
		case d == ok:
			return step.Result{Outcome: step.Done, Status: 200, Body: []byte("did " + body), Price: 100}
		case d == notSent && !acted:
			return step.Refuse(502, step.CodeUpstreamFailed, "refused")
		}
		return step.Result{Outcome: step.Unknown, Status: 504, Code: step.CodeUpstreamFailed}
	}
}

func (p *placed) runModel(ctx context.Context, sink step.Sink) step.Result {
	w := p.n.w
	r := engineRun{program: p.work.Program, number: p.work.Number}
	for _, m := range p.work.History {
		r.history = append(r.history, text(m))
	}
	w.mu.Lock()
	r.fenced = p.n.sealed || p.n.crashed.Load()
	w.engineRuns = append(w.engineRuns, r)
	w.answerCount++
	answer := fmt.Sprintf("answer %d", w.answerCount)
	w.mu.Unlock()
	if sink != nil {
		_ = sink.Begin(step.Result{Outcome: step.Done, Status: 200})
		_ = sink.Chunk([]byte("first "))
		_ = sink.Chunk([]byte("second "))
		_ = sink.Chunk([]byte(`"finish_reason":"stop"`))
		_ = sink.Chunk([]byte("[DONE]"))
	}
	switch w.waitAtGate(ctx, &gate{kind: "model", node: p.n, work: p.work}) {
	case notSent:
		return step.Refuse(503, step.CodeNoUpstream, "none")
	case ok:
		return step.Result{Outcome: step.Done, Status: 200, AssistantMessage: message("assistant", answer), Model: "m",
			FinishReason: "stop", Usage: chat.Usage{PromptTokens: 10, CompletionTokens: 1}, Price: 100}
	}
	return step.Result{Outcome: step.Unknown, Status: 502, Code: step.CodeUpstreamFailed, Price: 100}
}
