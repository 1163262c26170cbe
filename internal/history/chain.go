package history

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/history/historypb"
)

// retainedTurn is a turn with the end of its retention.
type retainedTurn struct {
	turn *historypb.Turn
	// expires is the end of the retention, in Unix milliseconds.
	expires int64
	// linked means that the turn begins its chain, or that the turn that it continues was found.
	linked bool
	// missed counts the searches that did not find the turn that it continues, up to reportAfterMissed.
	missed uint8
}

// reportAfterMissed is the number of searches after which a turn without the one that it continues is
// reported. The first search may fall into the transfer of a chain.
const reportAfterMissed = 2

// ownEnd returns the end of the turn's own retention, in Unix milliseconds.
func ownEnd(t *historypb.Turn) int64 {
	return t.EndedUnixMs + t.RetentionMs + retentionMargin.Milliseconds()
}

// addTurn retains a turn, and the chain before it at least as long as the turn itself. Turns may
// arrive in any order: those that arrive after one that continues them are extended by linkTurns.
func (s *state) addTurn(t *historypb.Turn) {
	key := recordKey(t.Customer, t.Id)
	k := s.turns[key]
	if k == nil {
		k = &retainedTurn{turn: t}
		s.turns[key] = k
	}
	s.extend(k, ownEnd(t))
}

// extend retains a turn, and the known turns before it, at least until expires.
func (s *state) extend(k *retainedTurn, expires int64) {
	for k != nil && k.expires < expires {
		k.expires = expires
		k = s.predecessor(k)
	}
}

// predecessor returns the turn that k continues, or nil, and records whether it is found.
func (s *state) predecessor(k *retainedTurn) *retainedTurn {
	t := k.turn
	switch {
	case t.Previous == "":
		k.linked = true
		return nil
	case t.Customer == nil:
		return s.turns[t.Previous] // see linkByID
	}
	p := s.turn(t.Customer, t.Previous)
	k.linked = p != nil
	return p
}

// linkTurns extends the turns that arrived after those that continue them. The ends of retention then
// depend on the set of turns alone.
func (s *state) linkTurns() {
	ofOlderVersion := false
	for _, k := range s.turns {
		ofOlderVersion = ofOlderVersion || k.turn.Customer == nil
		if !k.linked {
			s.extend(s.predecessor(k), k.expires)
		}
	}
	if ofOlderVersion {
		s.linkByID()
	}
}

// linkByID extends each turn that a later one may continue. It is needed only while there are turns of
// an older version: these name no customer, and each customer may continue them and be continued by
// them.
func (s *state) linkByID() {
	byID := s.turnsByID()
	for extended := true; extended; {
		extended = false
		for _, k := range s.turns {
			for _, p := range byID[k.turn.Previous] {
				if p.expires < k.expires && ownedBy(p.turn, k.turn.Customer) {
					s.extend(p, k.expires)
					extended = true
				}
			}
		}
	}
}

// turnsByID returns the turns of all customers by their ids.
func (s *state) turnsByID() map[string][]*retainedTurn {
	byID := map[string][]*retainedTurn{}
	for _, k := range s.turns {
		byID[k.turn.Id] = append(byID[k.turn.Id], k)
	}
	return byID
}

// expireTurns removes the turns whose retention has passed. It returns the turns that were found
// without the turn that they continue for the reportAfterMissed-th time.
func (s *state) expireTurns(at int64) []*historypb.Turn {
	s.linkTurns()
	var incomplete []*historypb.Turn
	for key, k := range s.turns {
		if k.expires < at {
			delete(s.turns, key)
			s.removed.add(key, at)
			continue
		}
		if !k.linked && k.turn.Customer != nil && k.missed < reportAfterMissed && s.predecessor(k) == nil {
			if k.missed++; k.missed == reportAfterMissed {
				incomplete = append(incomplete, k.turn)
			}
		}
	}
	return incomplete
}

// chain returns the customer's turns up to and including the named one, the oldest first; false if
// any of them is missing.
func (s *state) chain(customer *string, id string) ([]*historypb.Turn, bool) {
	chain, gap := s.walkChain(customer, id)
	return chain, gap == nil
}

// walkChain does the same, and returns the gap if a turn is missing.
func (s *state) walkChain(customer *string, id string) (chain []*historypb.Turn, gap *historypb.Gap) {
	var continuedBy *historypb.Turn
	for id != "" {
		k := s.turn(customer, id)
		if k == nil || len(chain) > len(s.turns) {
			return nil, s.newGap(customer, id, continuedBy)
		}
		continuedBy = k.turn
		chain = append(chain, continuedBy)
		id = continuedBy.Previous
	}
	slices.Reverse(chain)
	return chain, nil
}

// turn returns the customer's retained turn, or nil.
func (s *state) turn(customer *string, id string) *retainedTurn {
	if id == "" {
		return nil
	}
	if k := s.turns[recordKey(customer, id)]; k != nil && ownedBy(k.turn, customer) {
		return k
	}
	if customer == nil {
		return s.turnByID(id)
	}
	if k := s.turns[id]; k != nil && k.turn.Customer == nil {
		return k
	}
	return nil
}

// turnByID finds a turn for an entry of an older version, which names no customer.
func (s *state) turnByID(id string) *retainedTurn {
	for _, k := range s.turns {
		if k.turn.Id == id {
			return k
		}
	}
	return nil
}

// missingTurns returns the turns that a receiver lacks, each after those that continue it. listed has
// the hashes of the keys of the turns that the receiver has.
//
// The receiver removes expired turns while the missing ones are on their way. A listed turn that it may
// remove before the turn that continues it arrives is therefore sent again.
func (s *state) missingTurns(listed map[uint64]bool, now time.Time) []*historypb.Turn {
	w := &chainWalk{state: s, listed: listed, safeUntil: now.Add(retentionMargin).UnixMilli(), visited: map[*retainedTurn]bool{}}
	for _, k := range s.turns {
		if !w.isListed(k) {
			w.visit(k)
		}
	}
	slices.Reverse(w.turns)
	return w.turns
}

// chainWalk collects turns, each after those that it continues.
type chainWalk struct {
	state  *state
	listed map[uint64]bool
	// safeUntil is the time, in Unix milliseconds, by which a transfer has long ended: the largest shard
	// takes a few seconds.
	safeUntil int64
	visited   map[*retainedTurn]bool
	turns     []*historypb.Turn
	// byID is built for the first turn of an older version.
	byID map[string][]*retainedTurn
}

func (w *chainWalk) isListed(k *retainedTurn) bool {
	return w.listed[xxhash.Sum64String(recordKey(k.turn.Customer, k.turn.Id))]
}

func (w *chainWalk) visit(k *retainedTurn) {
	if w.visited[k] {
		return
	}
	w.visited[k] = true
	for _, p := range w.predecessors(k) {
		if !w.isListed(p) || ownEnd(p.turn) < w.safeUntil {
			w.visit(p)
		}
	}
	w.turns = append(w.turns, k.turn)
}

// predecessors returns the turns of which k continues one.
func (w *chainWalk) predecessors(k *retainedTurn) []*retainedTurn {
	if k.turn.Customer == nil {
		if w.byID == nil {
			w.byID = w.state.turnsByID()
		}
		return w.byID[k.turn.Previous]
	}
	if p := w.state.predecessor(k); p != nil {
		return []*retainedTurn{p}
	}
	return nil
}
