package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"foxhall/internal/chat"
	"foxhall/internal/step"
)

// Shape describes the programs of one scenario.
type Shape struct {
	Name  string
	Model string
	// Turns holds the minimum and the maximum number of model steps.
	Turns [2]int
	// PromptWords is the length in words of a program's first message, of which the first
	// SharedWords are the same in all programs of the customer.
	PromptWords, SharedWords int
	AnswerTokens             int
	// Quote is the path of the repeatable tool call, Effect that of the non-repeatable one.
	Service, Quote, Effect string
	// EffectEvery makes every n-th tool step a non-repeatable call.
	EffectEvery int
	// Pause is the longest pause between a tool's response and the next turn.
	Pause time.Duration
	// Children is the number of sub-agents that a program starts, each of one turn.
	Children int
	Deadline time.Duration
}

// Kerlouan is the shape of a buyer's agent that asks for appraisals and places bids.
var Kerlouan = Shape{
	Name: "kerlouan", Model: "oak-large", Turns: [2]int{2, 6}, PromptWords: 400, SharedWords: 250, AnswerTokens: 24,
	Service: "auction", Quote: "/lots/quote", Effect: "/bids", EffectEvery: 2, Pause: 20 * time.Millisecond, Children: 1,
	Deadline: 30 * time.Second,
}

// Semente is the shape of a donor's agent that confirms pledges and orders seedlings.
var Semente = Shape{
	Name: "semente", Model: "ipe-small", Turns: [2]int{3, 9}, PromptWords: 700, SharedWords: 600, AnswerTokens: 16,
	Service: "nursery", Quote: "/stock", Effect: "/orders", EffectEvery: 3, Pause: 60 * time.Millisecond,
	Deadline: 60 * time.Second,
}

// usageOptions is the request field that asks for a usage block at the end of a stream.
var usageOptions = map[string]json.RawMessage{"stream_options": json.RawMessage(`{"include_usage":true}`)}

// originCount is the number of distinct values of Request.Origin.
const originCount = 1 << 16

// maxAttempts is the maximum number of attempts at one step, the first one included.
const maxAttempts = 12

// Run is the record of one program as its caller saw it.
type Run struct {
	Program  string
	Finished bool
	// Reason is the code of the refusal that ended an unfinished program; it has no meaning for a
	// finished one.
	Reason  step.Code
	Latency time.Duration
	Steps   int
	Effects int
	Refused int
	// Codes counts the refusals by code. A connection that fails before a response arrives counts
	// under the empty code.
	Codes map[step.Code]int
	Usage chat.Usage
	First []time.Duration
	// EffectKeys lists the steps whose non-repeatable call was reported as done, as PROGRAM/NUMBER.
	EffectKeys []string
}

func (r *Run) recordRefusal(code step.Code) {
	r.Refused++
	r.addCode(code, 1)
}

func (r *Run) addCode(code step.Code, n int) {
	if r.Codes == nil {
		r.Codes = map[step.Code]int{}
	}
	r.Codes[code] += n
}

// agent runs one program and holds its state.
type agent struct {
	client   *Client
	shape    Shape
	origin   int
	rnd      *rand.Rand
	run      Run
	nextStep int
}

// RunProgram runs one program of the shape to its end and returns the record of its caller.
func RunProgram(ctx context.Context, client *Client, shape Shape, seed uint64) Run {
	a := &agent{client: client, shape: shape, origin: int(seed % originCount), rnd: rand.New(rand.NewPCG(seed, 1)), nextStep: 1}
	started := time.Now()
	a.run.Finished = a.runTurns(ctx, seed)
	a.run.Latency = time.Since(started)
	return a.run
}

// runTurns runs the model and tool steps of the program and reports whether all were done.
func (a *agent) runTurns(ctx context.Context, seed uint64) bool {
	turns := a.shape.Turns[0] + a.rnd.IntN(a.shape.Turns[1]-a.shape.Turns[0]+1)
	prompt := strings.Repeat("shared ", a.shape.SharedWords) + fmt.Sprintf("program %d ", seed)
	prompt += strings.Repeat("own ", max(0, a.shape.PromptWords-a.shape.SharedWords))
	nextMessage := newMessage("user", prompt)
	for turn := 1; turn <= turns; turn++ {
		last := turn == turns
		answer, ok := a.callModel(ctx, nextMessage, last)
		if !ok {
			return false
		}
		if last {
			break
		}
		toolText, ok := a.callTool(ctx, turn)
		if !ok {
			return false
		}
		if turn == 1 && !a.runChildren(ctx, answer) {
			return false
		}
		a.pauseBeforeTurn(ctx)
		nextMessage = newMessage("user", "tool said: "+toolText)
	}
	return true
}

func (a *agent) callModel(ctx context.Context, m chat.Message, last bool) (string, bool) {
	request := &chat.Request{Model: a.shape.Model, Messages: []chat.Message{m}, Stream: true, MaxTokens: a.shape.AnswerTokens, Extra: usageOptions}
	r, ok := a.sendUntilDone(ctx, Request{Chat: request, Ends: last})
	if !ok {
		return "", false
	}
	a.run.First = append(a.run.First, r.FirstToken)
	a.run.Usage.PromptTokens += r.Usage.PromptTokens
	a.run.Usage.CompletionTokens += r.Usage.CompletionTokens
	return r.Text, true
}

func (a *agent) callTool(ctx context.Context, turn int) (string, bool) {
	request := Request{Service: a.shape.Service, Path: a.shape.Quote, Body: fmt.Appendf(nil, `{"turn":%d}`, turn)}
	effect := turn%a.shape.EffectEvery == 0
	if effect {
		request.Path = a.shape.Effect
	}
	r, ok := a.sendUntilDone(ctx, request)
	if effect && ok {
		a.run.Effects++
		a.run.EffectKeys = append(a.run.EffectKeys, fmt.Sprintf("%s/%d", a.run.Program, r.Number))
	}
	return r.Text, ok
}

// runChildren runs the sub-agents of the program, each with one model step, and reports whether
// all of them finished.
func (a *agent) runChildren(ctx context.Context, task string) bool {
	for range a.shape.Children {
		child := &agent{client: a.client, shape: a.shape, origin: a.origin, rnd: a.rnd, nextStep: 1}
		request := &chat.Request{Model: a.shape.Model, Messages: []chat.Message{newMessage("user", "check: "+task)}, MaxTokens: a.shape.AnswerTokens}
		_, ok := child.sendUntilDone(ctx, Request{Chat: request, Parent: a.run.Program, Ends: true})
		a.run.Steps += child.run.Steps
		a.run.Refused += child.run.Refused
		for code, n := range child.run.Codes {
			a.run.addCode(code, n)
		}
		if !ok {
			a.run.Reason = child.run.Reason
			return false
		}
	}
	return true
}

// sendUntilDone sends a step until it is done, at most maxAttempts times. Between attempts it
// waits as long as foxhall asks for, and at least 100 ms; a refusal that names no such time ends
// the program. All attempts carry the same step number, so that the step runs only once; after
// step.CodeSettledNotRun it is sent under the next number, at once.
func (a *agent) sendUntilDone(ctx context.Context, request Request) (Response, bool) {
	request.Program, request.Number, request.Deadline, request.Origin = a.run.Program, a.nextStep, a.shape.Deadline, a.origin
	for attempt := range maxAttempts {
		request.Attempt = attempt
		r, err := a.client.Send(ctx, request)
		if err == nil && r.Outcome == step.Done && r.Code == "" {
			a.run.Program = r.Program
			a.run.Steps++
			a.nextStep++
			return r, true
		}
		a.run.recordRefusal(r.Code)
		a.run.Reason = r.Code
		if r.Code == step.CodeSettledNotRun {
			a.nextStep++
			request.Number = a.nextStep
			continue
		}
		if err == nil && r.RetryAfter == 0 {
			return r, false
		}
		if !sleep(ctx, max(r.RetryAfter, 100*time.Millisecond)) {
			return r, false
		}
	}
	return Response{}, false
}

func (a *agent) pauseBeforeTurn(ctx context.Context) {
	if a.shape.Pause > 0 {
		sleep(ctx, time.Duration(a.rnd.Int64N(int64(a.shape.Pause))))
	}
}

// sleep waits for d and reports whether it did so before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
