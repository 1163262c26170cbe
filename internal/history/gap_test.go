package history

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// Guards against a refusal that operators can't explain: it must tell which turn of the chain is missing
// in which shard, whether it was removed, and which turn continues it.
func TestRefusalNamesTheMissingTurn(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.apply(turnRecord(0, &historypb.Turn{Id: "t0", Customer: customer("a"), RetentionMs: 60_000}))
	s.expire(time.UnixMilli(90_000))
	s.apply(turnRecord(0, &historypb.Turn{Id: "t1", Previous: "t0", Customer: customer("a"), EndedUnixMs: 80_000, RetentionMs: 60_000}))
	_, gap := s.walkChain(customer("a"), "t1")
	gap.Slice = 7
	err := newTurnNotFoundError("t1", map[uint32]*historypb.Gap{7: gap})
	err.At = time.UnixMilli(100_000)
	is.True(errors.Is(err, gateway.ErrNoSuchTurn))
	is.Equal(err.Error(), "gateway: turn not found: t1: shard 7 lacks t0, which it removed 10s ago, but has t1, which continues it and ended 20s ago")
	is.Equal(newTurnNotFoundError("t1", nil).Error(), "gateway: turn not found: no shard knows t1")

	_, gap = s.walkChain(customer("b"), "t1")
	is.True(!isTelling(gap)) // another customer learns nothing
}

// Guards against a loss that shows only when a caller comes back: a holder reports a turn without the one
// that it continues, once, and not while a transfer may still bring it.
func TestIncompleteChainIsReportedOnce(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.apply(turnRecord(0, &historypb.Turn{Id: "t1", Previous: "t0", Customer: customer("a"), RetentionMs: 60_000}))
	s.apply(turnRecord(0, &historypb.Turn{Id: "late", Previous: "first", Customer: customer("a"), RetentionMs: 60_000}))
	reported := map[string]int{}
	for range 2 * reportAfterMissed {
		for _, turn := range s.expire(time.UnixMilli(1)) {
			reported[turn.Id]++
		}
		s.apply(turnRecord(0, &historypb.Turn{Id: "first", Customer: customer("a"), RetentionMs: 60_000}))
	}
	is.Equal(reported, map[string]int{"t1": 1})
}

// Guards against memory that grows with each turn ever removed.
func TestRemovalsAreRememberedWithinABound(t *testing.T) {
	is := is.New(t)
	l := removalLog{}
	for i := range 3 * maxRemovals {
		l.add(fmt.Sprint(i), int64(i+1))
	}
	is.Equal(len(l.entries), maxRemovals)
	is.Equal(l.find(fmt.Sprint(3*maxRemovals-1)), int64(3*maxRemovals))
	is.Equal(l.find(fmt.Sprint(2*maxRemovals)), int64(2*maxRemovals+1))
	is.Equal(l.find(fmt.Sprint(2*maxRemovals-1)), int64(0))
}
