package gateway

import (
	"math"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/engine"
	"foxhall/internal/routing"
)

// Guards against a caller that fills the instance's memory by what it claims: each 64 tokens of a
// prompt take a hash, and a header of a few bytes can claim billions. Such a call can't be served and
// must be refused for good before anything runs.
func TestPromptBeyondAnyEngineIsRefused(t *testing.T) {
	const capacity = 100_000
	huge := math.MaxInt64 / 2
	for name, call := range map[string]Call{
		"one part":         {Prompt: []Part{{ID: 1, Tokens: 3_000_000_000}}},
		"sum of parts":     {Prompt: []Part{{ID: 1, Tokens: capacity}, {ID: 2, Tokens: 1}}},
		"sum overflows":    {Prompt: []Part{{ID: 1, Tokens: huge}, {ID: 2, Tokens: huge}, {ID: 3, Tokens: huge}}},
		"number of tokens": {PromptTokens: capacity + 1},
		"output":           {PromptTokens: 1, MaxOutputTokens: capacity + 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := serveEngine(t, routing.Engine{CacheTokens: capacity}, call)
			is.Equal(got.result.Outcome, NotRun)
			is.Equal(got.result.Reason, PromptTooLarge)
			is.Equal(len(got.targets), 0)
		})
	}
	is := is.New(t)
	fits := Call{Prompt: []Part{{ID: 1, Tokens: capacity - 1}, {ID: 2, Tokens: 1}}, PromptTokens: capacity, MaxOutputTokens: 100}
	is.Equal(serveEngine(t, routing.Engine{CacheTokens: capacity}, fits).result.Outcome, Completed)
	is.Equal(serveEngine(t, routing.Engine{}, fits).result.Outcome, Completed)
	is.Equal(serveEngine(t, routing.Engine{}, Call{PromptTokens: maxPromptTokens + 1}).result.Reason, PromptTooLarge)
}

func serveEngine(t *testing.T, e routing.Engine, call Call) testOutcome {
	e.TokensPerEvent = 2
	return serveService(t, routing.Service{Name: "s", Engine: &e}, streamRoute, call, streams(nil, event(1)))
}

// Guards against memory that grows with a caller's claim where no engine reads it: a call to a service
// without engines is served whatever its prompt claims.
func TestPromptOfACallToAServiceCostsNothing(t *testing.T) {
	is := is.New(t)
	got := serve(t, routing.Route{Kind: routing.AtMostOnce, Attempts: 1}, Call{ID: "r", Prompt: []Part{{ID: 1, Tokens: 3_000_000_000}}}, nil, succeedsWith("ok"))
	is.Equal(got.body, "ok")
}

// Guards against hashes that take more memory than the prompt has blocks, whatever its parts are.
func TestHashesTakeTheMemoryOfThePromptsBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var prompt []Part
		total := 0
		for range rapid.IntRange(0, 40).Draw(t, "parts") {
			p := Part{ID: rapid.Uint64Range(0, 3).Draw(t, "id"), Tokens: rapid.IntRange(0, 2000).Draw(t, "tokens")}
			prompt, total = append(prompt, p), total+p.Tokens
		}
		blocks := hashBlocks("s", prompt)
		if want := total / engine.BlockTokens; len(blocks) != want || cap(blocks) > want {
			t.Fatalf("%d hashes in room for %d, the prompt has %d blocks", len(blocks), cap(blocks), want)
		}
	})
}
