package history

import (
	"slices"
	"time"

	"foxhall/internal/history/historypb"
)

const (
	// retentionMargin is added to the retention of turns and accounts, because the clocks of
	// instances differ and may step by seconds.
	retentionMargin = 20 * time.Second
	// maxSettledTurns bounds the settled turns that an account lists to detect repeated
	// settlements. A repeat arrives within seconds, in which a program settles a few turns.
	maxSettledTurns = 16
)

// state is the replicated state of one shard. Its methods do no I/O: they change the state and
// return the records that make the change durable.
type state struct {
	// accounts and turns are keyed by customer and id, see recordKey.
	accounts map[string]*historypb.Account
	turns    map[string]*retainedTurn
	removed  removalLog
	// primaryEpoch is the latest epoch in which this keeper is or was the primary.
	primaryEpoch uint64
	// diskStarts counts the starts of the keeper on this disk.
	diskStarts uint64
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
			// The caller has released the turn already; this request arrived late.
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
	listAttempt(next, r, now)
	s.putAccount(next)
	return historypb.Verdict_DONE, next
}

// draw records the output tokens that an entry used of its allowance, and extends the allowance as
// long as spent and reserved tokens stay within half of the budget. The other half remains for
// turns at other entries, which can't use the unused part of this allowance.
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
	// A request that arrives late reports fewer output tokens than are known. The result is
	// relative to the request, so it includes the tokens used since.
	return a.Most + a.Made - r.Made, next
}

// settle closes a turn and adds its output tokens to the account. A turn that is not open is
// counted too, since it may have been opened by a primary whose record was lost. A repeat changes
// nothing but returns the records again: a backup may lack records that this keeper wrote to its
// disk before it was killed.
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

// retain adds a turn, and returns the record of the turn that is retained under its id.
func (s *state) retain(shardID uint32, t *historypb.Turn) *historypb.Record {
	s.addTurn(t)
	return turnRecord(shardID, s.turns[recordKey(t.Customer, t.Id)].turn)
}

// preferredReplica returns the engine that most likely has a turn's prompt cached: the one that ran
// the previous turn, or else the program's last turn.
func (s *state) preferredReplica(customer *string, program string, chain []*historypb.Turn) string {
	if n := len(chain); n > 0 && chain[n-1].Replica != "" {
		return chain[n-1].Replica
	}
	if a := s.account(customer, program); a != nil {
		return a.Replica
	}
	return ""
}

// apply applies a record of a primary, and reports whether it changed the state. Records may arrive
// twice and out of order: turns never change, and the highest version of an account wins.
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

// expire removes the turns and accounts whose retention has passed. It returns the turns that were
// found without the turn that they continue.
func (s *state) expire(now time.Time) (incomplete []*historypb.Turn) {
	at := now.UnixMilli()
	for key, a := range s.accounts {
		if a.TouchedUnixMs+max(a.RetentionMs, defaultRetention.Milliseconds())+retentionMargin.Milliseconds() < at {
			delete(s.accounts, key)
		}
	}
	return s.expireTurns(at)
}

// defaultRetention is the minimum retention of an account.
const defaultRetention = time.Minute

// records returns all records of the shard, in any order.
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

// nextAccountVersion returns a copy of an account, to be changed, with a new version. Versions of a
// later epoch are always higher. Otherwise an uncommitted version that the previous primary left on
// some disk could be taken for the newer one. Versions also grow with each start of the keeper,
// because it may have sent versions to its backups that were not on its own disk when it was
// killed.
func (s *state) nextAccountVersion(old *historypb.Account, customer *string, program string) *historypb.Account {
	first := s.primaryEpoch<<epochShift + s.diskStarts<<startShift
	if old == nil {
		return &historypb.Account{Program: program, Customer: customer, Version: first + 1, AttemptsSinceUnixMs: listsAllSince}
	}
	if customer == nil {
		// The request is from an entry of an older version, which sends no customer.
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

		Attempts:            slices.Clone(old.Attempts),
		AttemptsSinceUnixMs: old.AttemptsSinceUnixMs,
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
