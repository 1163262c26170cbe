package history

import (
	"fmt"
	"testing"
	"time"

	"foxhall/internal/history/historypb"
)

// benchmarkTurns is the number of turns of a keeper's shards, in chains of benchmarkChain turns.
const (
	benchmarkTurns = 40_000
	benchmarkChain = 5
)

// fillState retains turns in the order of their chains, or with the last turn of each chain first.
func fillState(customer *string, lastFirst bool) *state {
	s := newState()
	for i := range benchmarkTurns / benchmarkChain {
		for n := range benchmarkChain {
			if lastFirst {
				n = benchmarkChain - 1 - n
			}
			turn := &historypb.Turn{Id: fmt.Sprintf("turn-%d-%d", i, n), Customer: customer, EndedUnixMs: int64(n), RetentionMs: 60_000}
			if n > 0 {
				turn.Previous = fmt.Sprintf("turn-%d-%d", i, n-1)
			}
			s.addTurn(turn)
		}
	}
	return s
}

// BenchmarkExpire compares the removal of expired turns at rest, right after a transfer that brought all
// turns after those that continue them, and with turns of an older version only.
func BenchmarkExpire(b *testing.B) {
	now := time.UnixMilli(60_000)
	b.Run("at rest", func(b *testing.B) {
		s := fillState(customer("a"), false)
		for b.Loop() {
			s.expire(now)
		}
	})
	b.Run("after a transfer", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			s := fillState(customer("a"), true)
			b.StartTimer()
			s.expire(now)
		}
	})
	b.Run("older version", func(b *testing.B) {
		s := fillState(nil, false)
		for b.Loop() {
			s.expire(now)
		}
	})
}
