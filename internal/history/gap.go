package history

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// maxRemovals is the number of removed turns that a shard remembers.
const maxRemovals = 128

// removalLog remembers the turns that were removed last, to tell turns that were removed from turns that
// never arrived.
type removalLog struct {
	entries []removal
	// oldest is the index of the oldest entry once there are maxRemovals.
	oldest int
}

type removal struct {
	// turn is the hash of the turn's key.
	turn uint64
	// at is in Unix milliseconds.
	at int64
}

func (l *removalLog) add(key string, at int64) {
	r := removal{turn: xxhash.Sum64String(key), at: at}
	if len(l.entries) < maxRemovals {
		l.entries = append(l.entries, r)
		return
	}
	l.entries[l.oldest] = r
	l.oldest = (l.oldest + 1) % maxRemovals
}

// find returns when a turn was removed, in Unix milliseconds; 0 if that is not known.
func (l *removalLog) find(key string) int64 {
	hash, at := xxhash.Sum64String(key), int64(0)
	for _, r := range l.entries {
		if r.turn == hash {
			at = max(at, r.at)
		}
	}
	return at
}

// newGap describes a missing turn and the one that continues it, which is nil if none is retained.
func (s *state) newGap(customer *string, missing string, continuedBy *historypb.Turn) *historypb.Gap {
	g := &historypb.Gap{Missing: missing, RemovedUnixMs: s.removed.find(recordKey(customer, missing))}
	if continuedBy != nil {
		g.ContinuedBy, g.EndedUnixMs = continuedBy.Id, continuedBy.EndedUnixMs
	}
	return g
}

// isTelling reports whether the gap says more than that the turn is not in the shard.
func isTelling(g *historypb.Gap) bool { return g.GetContinuedBy() != "" || g.GetRemovedUnixMs() > 0 }

// TurnNotFoundError says what the keepers know of a turn that a call continues, and that none of them
// retains with its chain. It is an ErrNoSuchTurn.
type TurnNotFoundError struct {
	Turn string
	// Gaps are the gaps of the shards that hold a part of the chain or held the turn.
	Gaps []*historypb.Gap
	At   time.Time
}

func newTurnNotFoundError(turn string, gaps map[uint32]*historypb.Gap) *TurnNotFoundError {
	e := &TurnNotFoundError{Turn: turn, At: time.Now()}
	for _, shard := range slices.Sorted(maps.Keys(gaps)) {
		e.Gaps = append(e.Gaps, gaps[shard])
	}
	return e
}

// Error implements error.
func (e *TurnNotFoundError) Error() string {
	if len(e.Gaps) == 0 {
		return fmt.Sprintf("%v: no shard knows %s", gateway.ErrNoSuchTurn, e.Turn)
	}
	var gaps []string
	for _, g := range e.Gaps {
		gaps = append(gaps, describeGap(g, e.At))
	}
	return fmt.Sprintf("%v: %s: %s", gateway.ErrNoSuchTurn, e.Turn, strings.Join(gaps, "; "))
}

// Unwrap returns ErrNoSuchTurn.
func (e *TurnNotFoundError) Unwrap() error { return gateway.ErrNoSuchTurn }

func describeGap(g *historypb.Gap, now time.Time) string {
	since := func(unixMs int64) string {
		return now.Sub(time.UnixMilli(unixMs)).Round(100 * time.Millisecond).String()
	}
	text := fmt.Sprintf("shard %d lacks %s", g.Slice, g.Missing)
	if g.RemovedUnixMs > 0 {
		text += fmt.Sprintf(", which it removed %s ago", since(g.RemovedUnixMs))
	}
	if g.ContinuedBy != "" {
		text += fmt.Sprintf(", but has %s, which continues it and ended %s ago", g.ContinuedBy, since(g.EndedUnixMs))
	}
	return text
}
