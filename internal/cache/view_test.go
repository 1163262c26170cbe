package cache

import (
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/engine"
	"foxhall/internal/fuzzing"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(20261202, 300)
	os.Exit(m.Run())
}

// chainOf returns the block hashes of prompt n of 32 prompts that share prefixes.
func chainOf(n int) []uint64 {
	chain := []uint64{}
	for depth := range 6 {
		hash := uint64(n>>(5-depth)+1)<<32 | uint64(depth+1)
		chain = append(chain, hash*0x9e3779b97f4a7c15)
	}
	return chain
}

// fakeEngine is the oracle's model of an engine: the blocks that it holds and the events that it has
// sent.
type fakeEngine struct {
	boot   int
	seq    uint64
	held   map[uint64]bool
	events []engine.Event
}

func (m *fakeEngine) emit(kind engine.EventKind, blocks ...uint64) {
	m.seq++
	m.events = append(m.events, engine.Event{Boot: fmt.Sprint("b", m.boot), Seq: m.seq, Kind: kind, Blocks: blocks})
}

func (m *fakeEngine) state() engine.State {
	s := engine.State{Boot: fmt.Sprint("b", m.boot), Seq: m.seq}
	for hash := range m.held {
		s.Blocks = append(s.Blocks, hash)
	}
	return s
}

// Events are delayed, lost, duplicated and reordered, and engines restart. Whenever the view is
// trusted and has all events, it must show exactly the blocks that the engine holds. After a gap it
// must show none of the blocks known before the gap.
func TestViewAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := New(Options{MaxBlocks: 1 << 16})
		engines := []*fakeEngine{{held: map[uint64]bool{}}, {held: map[uint64]bool{}}}
		next := []int{0, 0}
		pick := func() int { return rapid.IntRange(0, 1).Draw(t, "engine") }
		apply := func(i int, event engine.Event) {
			_, _, before := view.Position(uint32(i + 1))
			if view.Apply(uint32(i+1), event) && before {
				var m Matches
				for n := range 32 {
					view.Lookup(chainOf(n), &m)
					for _, f := range m.Found {
						if f.Upstream == uint32(i+1) {
							t.Fatal("the view shows blocks from before a gap in the events")
						}
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"store": func(t *rapid.T) {
				m := engines[pick()]
				var added []uint64
				for _, hash := range chainOf(rapid.IntRange(0, 31).Draw(t, "chain"))[:rapid.IntRange(1, 6).Draw(t, "depth")] {
					if !m.held[hash] {
						m.held[hash] = true
						added = append(added, hash)
					}
				}
				if len(added) > 0 {
					m.emit(engine.Stored, added...)
				}
			},
			"evict": func(t *rapid.T) {
				m := engines[pick()]
				hash := leaf(m.held)
				if hash != 0 {
					delete(m.held, hash)
					m.emit(engine.Evicted, hash)
				}
			},
			"restart": func(t *rapid.T) {
				i := pick()
				engines[i] = &fakeEngine{boot: engines[i].boot + 1, held: map[uint64]bool{}}
				next[i] = 0
			},
			"deliver": func(t *rapid.T) {
				i := pick()
				if next[i] < len(engines[i].events) {
					apply(i, engines[i].events[next[i]])
					next[i]++
				}
			},
			"lose": func(t *rapid.T) {
				i := pick()
				next[i] = min(next[i]+1, len(engines[i].events))
			},
			"doubleOrReorder": func(t *rapid.T) {
				i := pick()
				if n := len(engines[i].events); n > 0 {
					apply(i, engines[i].events[rapid.IntRange(0, n-1).Draw(t, "event")])
				}
			},
			"oldBoot": func(t *rapid.T) {
				i := pick()
				apply(i, engine.Event{Boot: "b-old", Seq: uint64(rapid.IntRange(1, 9).Draw(t, "seq")), Kind: engine.Stored, Blocks: chainOf(1)})
			},
			"resync": func(t *rapid.T) {
				i := pick()
				view.Resync(uint32(i+1), engines[i].state())
			},
			"": func(t *rapid.T) {
				for i, m := range engines {
					boot, seq, trusted := view.Position(uint32(i + 1))
					if trusted && boot == fmt.Sprint("b", m.boot) && seq == m.seq {
						checkView(t, view, uint32(i+1), m)
					}
				}
			},
		})
	})
}

// leaf returns a held block that no other held block follows in a chain, or 0.
func leaf(held map[uint64]bool) uint64 {
	for n := range 32 {
		chain := chainOf(n)
		for depth := len(chain) - 1; depth >= 0; depth-- {
			if held[chain[depth]] && !hasSuccessor(held, n, depth) {
				return chain[depth]
			}
		}
	}
	return 0
}

func hasSuccessor(held map[uint64]bool, n, depth int) bool {
	for other := range 32 {
		chain := chainOf(other)
		if chain[depth] == chainOf(n)[depth] && depth+1 < len(chain) && held[chain[depth+1]] {
			return true
		}
	}
	return false
}

func checkView(t *rapid.T, view *View, id uint32, m *fakeEngine) {
	var matches Matches
	for n := range 32 {
		chain := chainOf(n)
		want := 0
		for want < len(chain) && m.held[chain[want]] {
			want++
		}
		view.Lookup(chain, &matches)
		got := 0
		for _, f := range matches.Found {
			if f.Upstream == id {
				got = f.Blocks
			}
		}
		if got != want {
			t.Fatalf("engine %d, chain %d: view has %d blocks, engine %d", id, n, got, want)
		}
	}
}

// An engine restarts over and over, and each restart drops its part of the view by giving it a new
// slot. When no free slots are left, dead ones are reused; blocks that referred to a reused slot
// must not count as the engine's.
func TestSlotsAreClearedBeforeReuse(t *testing.T) {
	is := is.New(t)
	view := New(Options{MaxBlocks: 1 << 16})
	chainAt := func(i int) []uint64 { return []uint64{uint64(i+1) * 0x9e3779b97f4a7c15} }
	var m Matches
	for i := range 2 * slotCount {
		view.RecordSent(1, chainAt(i))
		view.Resync(1, engine.State{Boot: fmt.Sprint(i)})
		for n := max(0, i-slotCount-4); n < i-slotCount+4; n++ {
			view.Lookup(chainAt(n), &m)
			is.Equal(len(m.Found), 0)
		}
	}
}

func TestViewMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	view := New(Options{MaxBlocks: 64 * 16})
	for i := range 100000 {
		view.RecordSent(1, []uint64{uint64(i) * 0x9e3779b97f4a7c15})
	}
	is.True(view.Blocks() <= 64*16)
}
