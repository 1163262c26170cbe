package history

import (
	"slices"
	"time"

	"foxhall/internal/history/historypb"
)

const (
	// keepMargin is how much longer than asked turns and accounts are kept: the
	// clocks of instances differ, and may step by seconds.
	retentionMargin = 20 * time.Second
	// settledMost bounds the settled turns that an account remembers. A repeat
	// comes within seconds, in which a program ends a few turns.
	maxSettledTurns = 16
)

// state is what is kept of one slice. Its rules are pure: they change the
// state and return the records that make the change durable.
type state struct {
	// accounts and turns are found by customer and id, see keyOf.
	accounts map[string]*historypb.Account
	turns    map[string]*retainedTurn
	// epoch is that in which this keeper decides, or did last.
	primaryEpoch uint64
	// starts counts the starts of keepers on this disk.
	diskStarts uint64
}

type retainedTurn struct {
	turn    *historypb.Turn
	expires int64
}

func newState() *state {
	return &state{accounts: map[string]*historypb.Account{}, turns: map[string]*retainedTurn{}}
}

// reserve opens a turn in the program's account.
func (s *state) reserve(r *historypb.ReserveRequest, now time.Time) (historypb.Verdict, *historypb.Account) {
	old := s.account(r.Customer, r.Program)
	if old != nil {
		if slices.ContainsFunc(old.Open, func(o *historypb.OpenTurn) bool { return o.Id == r.Turn }) {
			return historypb.Verdict_DONE, old
		}
		if slices.Contains(old.Settled, r.Turn) {
			// The caller has given the turn up; this request was late.
			return historypb.Verdict_NOT_NOW, nil
		}
		if r.Budget > 0 && old.Spent+reservedTokens(old)+r.Most > r.Budget {
			return historypb.Verdict_SPENT, nil
		}
	} else if r.Budget > 0 && r.Most > r.Budget {
		return historypb.Verdict_SPENT, nil
	}
	next := s.nextAccountVersion(old, r.Customer, r.Program)
	next.Open = append(next.Open, &historypb.OpenTurn{Id: r.Turn, Most: r.Most})
	next.TouchedUnixMs, next.RetentionMs = now.UnixMilli(), max(next.RetentionMs, r.RetentionMs)
	s.putAccount(next)
	return historypb.Verdict_DONE, next
}

// draw takes in what an entry made of its allowance and adds to the allowance
// while the program has used less than half of its budget: the other half stays
// for turns at other entries, which can't see what this one does not use.
func (s *state) draw(r *historypb.DrawRequest, now time.Time) (held int64, next *historypb.Account) {
	next = s.nextAccountVersion(s.account(r.Customer, r.Program), r.Customer, r.Program)
	i := slices.IndexFunc(next.Open, func(o *historypb.OpenTurn) bool { return o.Id == r.Allowance })
	a := &historypb.OpenTurn{Id: r.Allowance}
	if i >= 0 {
		a.Most, a.Made = next.Open[i].Most, next.Open[i].Made
		next.Open = slices.Delete(next.Open, i, i+1)
	}
	if delta := r.Made - a.Made; delta > 0 {
		next.Spent += delta
		a.Made, a.Most = r.Made, max(0, a.Most-delta)
	}
	if more := r.Want - a.Most; more > 0 && next.Spent+reservedTokens(next)+r.Want <= r.Budget/2 {
		a.Most += more
	}
	next.Open = append(next.Open, a)
	next.TouchedUnixMs, next.RetentionMs = now.UnixMilli(), max(next.RetentionMs, r.RetentionMs)
	if r.Replica != "" {
		next.Replica = r.Replica
	}
	s.putAccount(next)
	// An older request, come late, tells less than is known: what may be made
	// beyond it includes what was made meanwhile.
	return a.Most + a.Made - r.Made, next
}

// settle closes a turn and counts what it made. A turn that is not open may
// have been opened by a primary whose record was lost; it counts all the same.
// A repeat changes nothing, but returns its records again: a partner may lack
// what this keeper has on its disk since before it was killed.
func (s *state) settle(r *historypb.SettleRequest, now time.Time) []*historypb.Record {
	var records []*historypb.Record
	account := s.account(r.Customer, r.Program)
	if account == nil || !slices.Contains(account.Settled, r.Turn) {
		next := s.nextAccountVersion(account, r.Customer, r.Program)
		next.Open = slices.DeleteFunc(next.Open, func(o *historypb.OpenTurn) bool { return o.Id == r.Turn })
		next.Spent += r.Made
		if r.Replica != "" {
			next.Replica = r.Replica
		}
		next.Settled = append(next.Settled, r.Turn)
		if over := len(next.Settled) - maxSettledTurns; over > 0 {
			next.Settled = next.Settled[over:]
		}
		next.TouchedUnixMs, next.RetentionMs = now.UnixMilli(), max(next.RetentionMs, r.RetentionMs)
		s.putAccount(next)
		account = next
	}
	records = append(records, accountRecord(r.Slice, account))
	for _, t := range r.Chain {
		records = append(records, s.retain(r.Slice, t))
	}
	if r.Kept != nil {
		records = append(records, s.retain(r.Slice, r.Kept))
	}
	return records
}

// keep keeps a turn, and returns the record of what is kept under its id.
func (s *state) retain(shardID uint32, t *historypb.Turn) *historypb.Record {
	s.addTurn(t)
	return turnRecord(shardID, s.turns[recordKey(t.Customer, t.Id)].turn)
}

// addTurn keeps a turn, and the chain before it as long as itself.
func (s *state) addTurn(t *historypb.Turn) {
	key := recordKey(t.Customer, t.Id)
	if s.turns[key] == nil {
		s.turns[key] = &retainedTurn{turn: t}
	}
	expires := t.EndedUnixMs + t.RetentionMs + retentionMargin.Milliseconds()
	for k := s.turns[key]; k != nil && k.expires < expires; k = s.turn(t.Customer, k.turn.Previous) {
		k.expires = expires
	}
}

// chain returns the customer's turns up to and with the named one, the oldest first;
// false if any of them is not here.
func (s *state) chain(customer *string, id string) ([]*historypb.Turn, bool) {
	var chain []*historypb.Turn
	for id != "" {
		k := s.turn(customer, id)
		if k == nil || len(chain) > len(s.turns) {
			return nil, false
		}
		chain = append(chain, k.turn)
		id = k.turn.Previous
	}
	slices.Reverse(chain)
	return chain, true
}

// replica returns the engine that most likely has a turn's prompt cached: the
// one that ran the turn before, or else the program's last.
func (s *state) preferredReplica(customer *string, program string, chain []*historypb.Turn) string {
	if n := len(chain); n > 0 && chain[n-1].Replica != "" {
		return chain[n-1].Replica
	}
	if a := s.account(customer, program); a != nil {
		return a.Replica
	}
	return ""
}

// apply takes in a record of a primary, and reports whether it was news. Records may
// come twice and out of order: turns never change, and of an account the higher version
// counts.
func (s *state) apply(r *historypb.Record) bool {
	switch b := r.Body.(type) {
	case *historypb.Record_Turn:
		_, known := s.turns[recordKey(b.Turn.Customer, b.Turn.Id)]
		s.addTurn(b.Turn)
		return !known
	case *historypb.Record_Account:
		if old := s.accounts[recordKey(b.Account.Customer, b.Account.Program)]; old == nil || old.Version < b.Account.Version {
			s.putAccount(b.Account)
			return true
		}
	}
	return false
}

// expire forgets what need not be kept any longer.
func (s *state) expire(now time.Time) {
	at := now.UnixMilli()
	for key, k := range s.turns {
		if k.expires < at {
			delete(s.turns, key)
		}
	}
	for key, a := range s.accounts {
		if a.TouchedUnixMs+max(a.RetentionMs, defaultRetention.Milliseconds())+retentionMargin.Milliseconds() < at {
			delete(s.accounts, key)
		}
	}
}

// defaultRetention is how long an account is kept whose turns name no time.
const defaultRetention = time.Minute

// records returns all of the slice.
func (s *state) records(shardID uint32) []*historypb.Record {
	records := make([]*historypb.Record, 0, len(s.turns)+len(s.accounts))
	for _, a := range s.accounts {
		records = append(records, accountRecord(shardID, a))
	}
	for _, k := range s.turns {
		records = append(records, turnRecord(shardID, k.turn))
	}
	return records
}

const (
	// epochShift leaves 2^24 starts to each epoch, and startShift 2^12 versions of an
	// account to each start.
	epochShift = 36
	startShift = 12
)

// copyAccount returns an account to be changed, in a version of its own. A version of
// a later epoch is always higher: the primary before may have left one on a disk that
// was never acknowledged, and would pass for the newer there. The same holds for what
// this keeper sent its partners before it was killed, and has not on its own disk.
func (s *state) nextAccountVersion(old *historypb.Account, customer *string, program string) *historypb.Account {
	first := s.primaryEpoch<<epochShift + s.diskStarts<<startShift
	if old == nil {
		return &historypb.Account{Program: program, Customer: customer, Version: first + 1}
	}
	if customer == nil {
		// The request is an older version's, which knows no customers.
		customer = old.Customer
	}
	return &historypb.Account{
		Program:       program,
		Customer:      customer,
		Version:       max(first, old.Version) + 1,
		Spent:         old.Spent,
		Open:          slices.Clone(old.Open),
		Settled:       slices.Clone(old.Settled),
		TouchedUnixMs: old.TouchedUnixMs,
		RetentionMs:   old.RetentionMs,
		Replica:       old.Replica,
	}
}

func reservedTokens(a *historypb.Account) int64 {
	n := int64(0)
	for _, o := range a.Open {
		n += o.Most
	}
	return n
}

func accountRecord(shardID uint32, a *historypb.Account) *historypb.Record {
	return &historypb.Record{Slice: shardID, Body: &historypb.Record_Account{Account: a}}
}

func turnRecord(shardID uint32, t *historypb.Turn) *historypb.Record {
	return &historypb.Record{Slice: shardID, Body: &historypb.Record_Turn{Turn: t}}
}

func epochStateRecord(shardID uint32, m epochState) *historypb.Record {
	wire := &historypb.Mark{Epoch: m.promised, Base: m.base, Synced: m.isComplete(m.promised)}
	return &historypb.Record{Slice: shardID, Body: &historypb.Record_Mark{Mark: wire}}
}
