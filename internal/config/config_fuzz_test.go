package config

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"foxhall/internal/standin"
)

// propagationLimit is the time within which all instances must have the last accepted version in
// force once all faults have ended: 10 s.
const propagationLimit = 10 * time.Second

// editAttempt is an edit of one plan's token budget, with the result that its operator got.
type editAttempt struct {
	plan    string
	tokens  int64
	version uint64
	err     error
}

// modelRun is one run of the state machine with the results that it has observed.
type modelRun struct {
	*cluster
	attempts          []editAttempt
	sectionsByVersion map[uint64]Sections
	lastTokens        int64
}

// Operators edit concurrently and instances follow. Meanwhile the store goes down, is slow, loses
// responses or writes, stalls watches and serves stale reads; instances lose their connections to the
// store and to each other, and restart. The test checks that
//   - the version in force on an instance never decreases, and a version is the same on all instances;
//   - an accepted edit is in the history exactly once, a rejected edit is not in it;
//   - no edit reverts another one;
//   - once all faults have ended, all instances have the last version within propagationLimit.
func TestConfigurationAgainstOracle(t *testing.T) {
	checks := 0
	rapid.Check(t, func(rt *rapid.T) {
		checks++
		folder := filepath.Join(t.TempDir(), fmt.Sprint(checks))
		makeFolder(t, folder)
		inBubble(t, func() {
			r := &modelRun{cluster: newCluster(folder, "", "", "", ""), sectionsByVersion: map[uint64]Sections{}}
			defer r.close()
			rt.Repeat(map[string]func(*rapid.T){
				"edit":    r.edit,
				"race":    r.race,
				"collect": r.collect,
				"store":   r.setStoreFaults,
				"link":    r.setClientFaults,
				"restart": r.restart,
				"time":    r.advanceTime,
				"":        r.checkInstances,
			})
			r.heal()
			time.Sleep(propagationLimit)
			r.checkInstances(rt)
			r.checkHistory(rt)
		})
	})
}

// inBubble runs f in virtual time and panics in the caller's goroutine if f panics. rapid reports a
// failure by a panic.
func inBubble(t *testing.T, f func()) {
	var recovered any
	synctest.Test(t, func(*testing.T) {
		defer func() { recovered = recover() }()
		f()
	})
	if recovered != nil {
		panic(recovered)
	}
}

func (r *modelRun) advanceTime(rt *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond)
}

func (r *modelRun) edit(rt *rapid.T) {
	operator := rapid.IntRange(0, len(r.operators)-1).Draw(rt, "operator")
	r.propose(operator, rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(rt, "plan"), r.nextTokens(), nil)
}

// race makes two operators read the same base and apply their edits concurrently.
func (r *modelRun) race(rt *rapid.T) {
	var ready, group sync.WaitGroup
	ready.Add(2)
	for i := range 2 {
		name, tokens := rapid.SampledFrom([]string{"p1", "p2"}).Draw(rt, "plan"), r.nextTokens()
		group.Go(func() {
			r.propose(i, name, tokens, func() { ready.Done(); ready.Wait() })
		})
	}
	group.Wait()
}

// nextTokens returns a token budget that no other edit of the run uses, which identifies the edit.
func (r *modelRun) nextTokens() int64 {
	r.lastTokens++
	return r.lastTokens
}

var attemptsLock sync.Mutex

// propose reads the lists, calls afterRead unless it is nil, sets one plan's tokens and records the
// result.
func (r *modelRun) propose(operator int, name string, tokens int64, afterRead func()) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	editor := NewEditor(r.operators[operator])
	pair, base, err := editor.Get(ctx, 0)
	if afterRead != nil {
		afterRead()
	}
	if err != nil {
		return
	}
	accepted, err := editor.Apply(ctx, Proposal{
		Operator: fmt.Sprint("operator-", operator), Base: base, Plans: withTokens(pair.Plans, name, tokens),
	})
	attemptsLock.Lock()
	defer attemptsLock.Unlock()
	r.attempts = append(r.attempts, editAttempt{plan: name, tokens: tokens, version: accepted.Version, err: err})
}

func (r *modelRun) collect(*rapid.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, _ = NewEditor(r.operators[2]).Collect(ctx, DefaultHistoryVersions)
}

func (r *modelRun) setStoreFaults(rt *rapid.T) {
	r.store.SetFaults(standin.StoreFaults{
		Down:         rapid.IntRange(0, 3).Draw(rt, "down") == 0,
		Delay:        time.Duration(rapid.SampledFrom([]int{0, 0, 5, 800}).Draw(rt, "delay")) * time.Millisecond,
		LoseAnswers:  rapid.SampledFrom([]int{0, 0, 1, 3, 6}).Draw(rt, "lose"),
		DropWrites:   rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(rt, "drop"),
		StallWatches: rapid.Bool().Draw(rt, "stall"),
	})
}

func (r *modelRun) setClientFaults(rt *rapid.T) {
	clients := append([]*faultyClient{}, r.operators...)
	for _, n := range r.nodes {
		clients = append(clients, n.client)
	}
	client := rapid.SampledFrom(clients).Draw(rt, "link")
	client.setFaults(rapid.Bool().Draw(rt, "cut"), rapid.Bool().Draw(rt, "regressed"))
	n := rapid.SampledFrom(r.nodes).Draw(rt, "node")
	n.isolated.Store(rapid.Bool().Draw(rt, "alone"))
}

func (r *modelRun) restart(rt *rapid.T) {
	n := rapid.SampledFrom(r.nodes).Draw(rt, "node")
	n.stop()
	if n.dataFolder == "" {
		n.highestVersion = 0
	}
	n.start()
}

func (r *modelRun) heal() {
	r.store.SetFaults(standin.StoreFaults{})
	for _, n := range r.nodes {
		n.client.setFaults(false, false)
		n.isolated.Store(false)
	}
	for _, operator := range r.operators {
		operator.setFaults(false, false)
	}
}

// checkInstances checks that no instance has returned to an older version and that a version is the
// same on all instances. It is called after each step of the state machine.
func (r *modelRun) checkInstances(rt *rapid.T) {
	for _, n := range r.nodes {
		current := n.Current()
		if current == nil {
			if n.highestVersion > 0 {
				rt.Fatalf("instance %d has no configuration after version %d", n.index, n.highestVersion)
			}
			continue
		}
		if current.Version < n.highestVersion {
			rt.Fatalf("instance %d returned from version %d to version %d", n.index, n.highestVersion, current.Version)
		}
		n.highestVersion = current.Version
		if seen, ok := r.sectionsByVersion[current.Version]; ok && fmt.Sprint(seen) != fmt.Sprint(current.sections) {
			rt.Fatalf("version %d differs between instances", current.Version)
		}
		r.sectionsByVersion[current.Version] = current.sections
	}
}

// checkHistory compares the results that operators got with the history, and the versions on the
// instances with the last version in it.
func (r *modelRun) checkHistory(rt *rapid.T) {
	ctx := context.Background()
	editor := NewEditor(r.store)
	h, err := editor.head(ctx)
	if err != nil {
		rt.Fatal(err)
	}
	for _, n := range r.nodes {
		if n.source.Load().Version() != h.version {
			rt.Fatalf("instance %d has version %d in force, want the last accepted version %d", n.index, n.source.Load().Version(), h.version)
		}
	}
	records, err := editor.History(ctx, 1<<20)
	if err != nil {
		rt.Fatal(err)
	}
	values := r.tokenVersions(rt, h, records)
	for _, a := range r.attempts {
		versions := values[a.tokens]
		var conflict *ConflictError
		switch {
		case a.err == nil && (len(versions) != 1 || versions[0] != a.version):
			rt.Fatalf("edit %d was accepted as version %d, but is in the history as %v", a.tokens, a.version, versions)
		case (errors.Is(a.err, ErrNotAccepted) || errors.As(a.err, &conflict)) && len(versions) > 0:
			rt.Fatalf("edit %d failed with %v, but is in the history as %v", a.tokens, a.err, versions)
		case len(versions) > 1:
			rt.Fatalf("edit %d is in the history %d times, want at most once", a.tokens, len(versions))
		}
	}
}

// tokenVersions returns the versions at which each token value was set. Each edit of the test changes
// one plan, so an edit that changes more than one entry has reverted another edit.
func (r *modelRun) tokenVersions(rt *rapid.T, h *head, records []Record) map[int64][]uint64 {
	values := map[int64][]uint64{}
	before := emptyPair()
	for i := len(records) - 1; i >= 0; i-- {
		record := records[i]
		after, err := h.pair(context.Background(), &record.Sections)
		if err != nil {
			rt.Fatal(err)
		}
		changes := Diff(before, after)
		if len(changes) != 1 {
			rt.Fatalf("version %d has changes %v, want one change", record.Version, changes)
		}
		tokens := after.Plans.Lookup(changes[0].Name).Budget.Tokens
		values[tokens] = append(values[tokens], record.Version)
		before = after
	}
	return values
}
