package budget

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"foxhall/internal/plan"
	"foxhall/internal/store"
)

// KindBudget is the kind of the objects that count what is drawn.
const KindBudget = "budget"

const (
	// recentWrites is the number of write ids that an object remembers. A lost
	// answer is settled within a few seconds, and an object is written a few
	// times a second at most.
	maxRecentWrites = 96
	// carryTime is how long after a change of a window's length its new windows
	// count what was drawn under the old length. An edit is in force everywhere
	// within 10 s; what a partitioned instance still holds is not counted longer.
	carryPeriod = time.Minute
)

// account counts what is drawn of one plan's budget in its last windows.
type account struct {
	// Budget is the plan's budget as the keeper with the highest
	// configuration version knew it, and Version is that version.
	Budget  plan.Budget `json:"b"`
	Version uint64      `json:"v"`
	// Before is the window length before the last change of it, at Changed.
	PreviousLength time.Duration  `json:"o,omitempty"`
	ChangedAt      time.Time      `json:"c,omitzero"`
	Drawn          map[int64]Cost `json:"d"`
	Carried        map[int64]Cost `json:"p,omitempty"`
}

// accountSet is one object of the store: the accounts of a shard of the plans.
type accountSet struct {
	Accounts map[string]*account `json:"accounts"`
	// Writes are the ids of the last writes, oldest first.
	Writes []string `json:"writes"`
}

// ask is what an instance wants of one plan's budget in one window.
type drawRequest struct {
	plan    string
	budget  plan.Budget
	version uint64
	window  Window
	// give is returned; it has been drawn before.
	returned Cost
	// need is the least that is of use, want what recent spending calls for;
	// held is what the asker has free already.
	need, want, held Cost
}

// result is the answer to an ask.
type drawResult struct {
	request drawRequest
	granted Cost
	// refusal says why a need was not met.
	refusal Reason
}

// shardOf returns the object that counts a plan's budget.
func shardOf(name string, shards int) int { return int(xxhash.Sum64String(name) % uint64(shards)) }

// apply answers asks and reports whether anything has changed.
func (b *accountSet) apply(asks []drawRequest, share int64, now time.Time) (results []drawResult, changed bool) {
	if b.Accounts == nil {
		b.Accounts = map[string]*account{}
	}
	for _, a := range asks {
		acc := b.Accounts[a.plan]
		if acc == nil {
			acc = &account{Budget: a.budget, Version: a.version, Drawn: map[int64]Cost{}}
			b.Accounts[a.plan] = acc
		}
		r := acc.grant(a, share, now)
		changed = changed || !r.granted.isZero() || !a.returned.isZero()
		results = append(results, r)
	}
	if changed {
		b.prune(now)
	}
	return results, changed
}

// answer takes back what is given and grants what the budget has left.
func (a *account) grant(q drawRequest, share int64, now time.Time) drawResult {
	r := drawResult{request: q}
	if !a.updateBudget(q, now) {
		r.refusal = PlanOutdated
		// Money given back still counts, whoever gives it.
		a.creditReturn(q)
		return r
	}
	a.creditReturn(q)
	if q.need.isZero() && q.want.isZero() {
		return r
	}
	left := limitOf(a.Budget).minus(a.drawn(q.window))
	left = left.atLeast(Cost{})
	if !left.covers(q.need) {
		r.refusal = Exhausted
		return r
	}
	// Nobody holds more than a share of what is left, so that the last part of
	// a budget is not with whoever asked first.
	available := left.dividedBy(share).minus(q.held).atLeast(Cost{})
	r.granted = q.want.atMost(available).atLeast(q.need)
	a.Drawn[q.window.Index] = a.Drawn[q.window.Index].plus(r.granted)
	return r
}

// follow brings the account to the asker's budget if that is newer. It reports
// false if the asker's is older: a grant by a budget that has been cut since
// would break the cut for everybody.
func (a *account) updateBudget(q drawRequest, now time.Time) bool {
	if q.budget == a.Budget {
		a.Version = max(a.Version, q.version)
		return true
	}
	if q.version <= a.Version {
		return false
	}
	if q.budget.Window != a.Budget.Window {
		a.changeWindowLength(q, now)
	}
	a.Budget, a.Version = q.budget, q.version
	return true
}

// changeLength starts counting in windows of another length. What has been
// drawn in the old windows that are not over may have been spent in the first
// new ones, so they begin with it.
func (a *account) changeWindowLength(q drawRequest, now time.Time) {
	a.PreviousLength, a.ChangedAt = lengthOf(a.Budget), now
	var carried Cost
	for index := range a.Drawn {
		if w := (Window{Length: a.PreviousLength, Index: index}); !w.ended(now) {
			carried = carried.plus(a.drawn(w))
		}
	}
	a.Drawn, a.Carried = map[int64]Cost{}, map[int64]Cost{}
	last := windowAt(now.Add(carryPeriod), lengthOf(q.budget))
	for w := windowAt(now.Add(-2*MaxClockError), lengthOf(q.budget)); w.Index <= last.Index; w = w.next() {
		a.Carried[w.Index] = carried
	}
}

func (a *account) drawn(w Window) Cost { return a.Drawn[w.Index].plus(a.Carried[w.Index]) }

func (a *account) creditReturn(q drawRequest) {
	if q.window.Length != lengthOf(a.Budget) || q.returned.isZero() {
		return
	}
	a.Drawn[q.window.Index] = a.Drawn[q.window.Index].minus(q.returned).atLeast(Cost{})
}

// prune forgets windows that are over on every clock, and plans without any.
func (b *accountSet) prune(now time.Time) {
	for name, a := range b.Accounts {
		length := lengthOf(a.Budget)
		for index := range a.Drawn {
			if (Window{Length: length, Index: index}).ended(now) {
				delete(a.Drawn, index)
			}
		}
		for index := range a.Carried {
			if (Window{Length: length, Index: index}).ended(now) {
				delete(a.Carried, index)
			}
		}
		if len(a.Drawn) == 0 && len(a.Carried) == 0 {
			delete(b.Accounts, name)
		}
	}
}

// mark names a write: its own id and the id of the write before it, which is
// empty if there is none.
type writeMark struct{ id, previousID string }

// note remembers a write.
func (b *accountSet) recordWrite(id string) writeMark {
	m := writeMark{id: id}
	if len(b.Writes) > 0 {
		m.previousID = b.Writes[len(b.Writes)-1]
	}
	b.Writes = append(b.Writes, id)
	b.Writes = b.Writes[max(0, len(b.Writes)-maxRecentWrites):]
	return m
}

// wrote tells whether a write has taken effect: known is false if the set has
// forgotten writes since, so that it can't tell. While the write before it is
// remembered, none since is forgotten. Without that a full set could never
// tell, and a write lost without effect would refuse draws for the backoff.
func (b *accountSet) findWrite(m writeMark) (found, known bool) {
	if slices.Contains(b.Writes, m.id) {
		return true, true
	}
	return false, len(b.Writes) < maxRecentWrites || slices.Contains(b.Writes, m.previousID)
}

func (b *accountSet) encode() ([]byte, error) {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if err := json.NewEncoder(w).Encode(b); err != nil {
		return nil, errors.Wrap(err, "budget: encode")
	}
	err := w.Close()
	return out.Bytes(), errors.Wrap(err, "budget: encode")
}

func decodeAccounts(value []byte) (*accountSet, error) {
	b := &accountSet{}
	if len(value) == 0 {
		return b, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "budget: decode")
	}
	err = json.NewDecoder(io.LimitReader(r, 16*store.MaxValue)).Decode(b)
	return b, errors.Wrap(err, "budget: decode")
}
