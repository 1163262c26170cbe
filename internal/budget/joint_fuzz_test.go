package budget

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxhall/internal/config"
	"foxhall/internal/plan"
	"foxhall/internal/standin"
)

// site is an instance with its configuration source and the allocator that uses it.
type site struct {
	*config.Source
	allocator *Allocator
	link      *link
	fleet     *[]*site
	isolated  atomic.Bool
	stop      func()
}

// Sample implements config.Peers with all other reachable sites.
func (s *site) Sample(int) []config.Peer {
	var peers []config.Peer
	for _, other := range *s.fleet {
		if other != s && !s.isolated.Load() && !other.isolated.Load() {
			peers = append(peers, direct{other})
		}
	}
	return peers
}

// direct is a peer that is called without a network.
type direct struct{ *site }

func (d direct) Name() string                            { return "peer" }
func (d direct) Version(context.Context) (uint64, error) { return d.site.Version(), nil }
func (d direct) Offer(_ context.Context, u config.Update) ([]config.Digest, error) {
	return d.site.Source.Offer(u)
}
func (d direct) Export(_ context.Context, h config.ChunkInventory) (config.Update, error) {
	return d.site.Source.Export(h), nil
}

func newSite(l *link, fleet *[]*site) *site {
	s := &site{link: l, fleet: fleet}
	s.Source = config.NewSource(l, config.Options{Peers: s})
	s.allocator = NewAllocator(l, s.Source, Options{Shards: 1, Horizon: 20 * time.Second, ShareDivisor: 4, Lead: 5 * time.Second, RenewInterval: 5 * time.Second})
	return s
}

func (s *site) start() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = s.Source.Run(ctx); done <- struct{}{} }()
	go func() { _ = s.allocator.Run(ctx); done <- struct{}{} }()
	s.stop = func() {
		cancel()
		s.allocator.cancel()
		<-done
		<-done
		s.allocator.draws.Wait()
	}
}

// Operators edit one plan's budget through the store, while instances receive the edits by watches
// and from peers and spend allotments. Versions must never decrease, and the spending must be within
// the largest budget in force on any instance. Ten seconds after all faults have ended the accepted
// budget must be in force everywhere, and the spending in the next window must be within it.
func TestEditsAndBudgetsTogether(t *testing.T) {
	check(t, "25", func(rt *rapid.T) {
		inBubble(t, func() {
			w := newWorld(0)
			var fleet []*site
			for range 3 {
				fleet = append(fleet, newSite(&link{Client: w.store, firstRead: w.firstRead, mu: &w.mu}, &fleet))
			}
			for _, s := range fleet {
				s.start()
				defer s.stop()
			}
			defer w.store.SetFaults(standin.StoreFaults{})
			j := &jointModel{world: w, fleet: fleet, minVersions: make([]uint64, len(fleet)), spent: map[int64]int64{}}
			rt.Repeat(map[string]func(*rapid.T){
				"edit": j.edit, "spend": j.spend, "more": j.spend, "faults": j.faults, "": j.check,
				"time": func(rt *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 9000).Draw(rt, "ms")) * time.Millisecond)
				},
			})
			j.heal(rt)
		})
	})
}

type jointModel struct {
	*world
	fleet       []*site
	minVersions []uint64
	spent       map[int64]int64
	accepted    uint64
}

func (j *jointModel) edit(rt *rapid.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	tokens := rapid.SampledFrom([]int64{50, 200, 400, 800}).Draw(rt, "tokens")
	editor := config.NewEditor(j.store)
	_, base, err := editor.Get(ctx, 0)
	if err != nil {
		return
	}
	if accepted, err := editor.Apply(ctx, config.Proposal{Operator: "ana", Base: base, Plans: onePlan(tokens)}); err == nil {
		j.accepted = max(j.accepted, accepted.Version)
	}
}

func (j *jointModel) spend(rt *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(rt, "calls") {
		s := rapid.SampledFrom(j.fleet).Draw(rt, "site")
		tokens := rapid.Int64Range(1, 30).Draw(rt, "tokens")
		r, err := s.allocator.Reserve(context.Background(), &plan.Plan{Name: "p"}, Cost{Tokens: tokens})
		if err != nil {
			continue
		}
		window := time.Now().UnixNano() / int64(testWindow)
		r.Settle(Cost{Tokens: tokens})
		j.spent[window] += tokens
		if limit := j.largest(); j.spent[window] > limit {
			rt.Fatalf("spent %d tokens, budget is %d", j.spent[window], limit)
		}
	}
}

func (j *jointModel) largest() (largest int64) {
	for _, s := range j.fleet {
		if c := s.Current(); c != nil {
			largest = max(largest, c.Plans.Lookup("p").Budget.Tokens)
		}
	}
	return largest
}

func (j *jointModel) faults(rt *rapid.T) {
	j.store.SetFaults(standin.StoreFaults{
		Down:         rapid.IntRange(0, 4).Draw(rt, "down") == 0,
		LoseAnswers:  rapid.SampledFrom([]int{0, 1, 3}).Draw(rt, "lose"),
		StallWatches: rapid.Bool().Draw(rt, "stall"),
	})
	s := rapid.SampledFrom(j.fleet).Draw(rt, "site")
	s.link.set(rapid.IntRange(0, 2).Draw(rt, "cut") == 0, rapid.IntRange(0, 2).Draw(rt, "regressed") == 0)
	s.isolated.Store(rapid.IntRange(0, 2).Draw(rt, "alone") == 0)
}

func (j *jointModel) check(rt *rapid.T) {
	for i, s := range j.fleet {
		if s.Version() < j.minVersions[i] {
			rt.Fatalf("version of site %d decreased to %d", i, s.Version())
		}
		j.minVersions[i] = s.Version()
	}
}

func (j *jointModel) heal(rt *rapid.T) {
	j.store.SetFaults(standin.StoreFaults{})
	for _, s := range j.fleet {
		s.link.set(false, false)
		s.isolated.Store(false)
	}
	time.Sleep(10 * time.Second)
	for i, s := range j.fleet {
		if s.Version() < j.accepted {
			rt.Fatalf("site %d has version %d, want at least the accepted version %d", i, s.Version(), j.accepted)
		}
	}
	sleepUntil(testWindow + 5*time.Second)
	j.spend(rt)
	j.check(rt)
}
