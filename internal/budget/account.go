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

// KindBudget is the kind of the store objects that count the draws.
const KindBudget = "budget"

const (
	// maxRecentWrites is the number of write ids that an object retains. The outcome of a write
	// with a lost response is resolved within a few seconds, and an object is written at most a
	// few times per second.
	maxRecentWrites = 96
	// carryPeriod is how long after a change of the window length new windows include the draws
	// under the old length. An edit is in force everywhere within 10 s. Allotments that a
	// partitioned instance holds for longer than carryPeriod are not included.
	carryPeriod = time.Minute
)

// account counts the draws from one plan's budget in its last windows.
type account struct {
	// Budget is the plan's budget at the highest configuration version that any allocator has
	// used, and Version is that version.
	Budget  plan.Budget `json:"b"`
	Version uint64      `json:"v"`
	// PreviousLength is the window length before its last change, made at ChangedAt.
	PreviousLength time.Duration `json:"o,omitempty"`
	ChangedAt      time.Time     `json:"c,omitzero"`
	// Drawn holds the draws by window index. Carried holds, by window index, the draws under the
	// previous window length that the window includes.
	Drawn   map[int64]Cost `json:"d"`
	Carried map[int64]Cost `json:"p,omitempty"`
}

// accountSet is one object of the store: the accounts of a shard of the plans.
type accountSet struct {
	Accounts map[string]*account `json:"accounts"`
	// Writes holds the ids of the last writes, oldest first.
	Writes []string `json:"writes"`
}

// drawRequest is a request of an instance for a part of one plan's budget in one window.
type drawRequest struct {
	plan    string
	budget  plan.Budget
	version uint64
	window  Window
	// returned is an amount drawn before that the request returns.
	returned Cost
	// need is the smallest amount that is of use, and want the amount that recent spending calls
	// for. held is what the instance holds unreserved already.
	need, want, held Cost
}

// drawResult is the result of a drawRequest.
type drawResult struct {
	request drawRequest
	granted Cost
	// refusal is the reason why the need was not met; empty if it was.
	refusal Reason
}

// shardOf returns the number of the object that counts a plan's budget.
func shardOf(name string, shards int) int { return int(xxhash.Sum64String(name) % uint64(shards)) }

// apply applies requests to the accounts and reports whether an account has changed.
func (b *accountSet) apply(requests []drawRequest, shareDivisor int64, now time.Time) (results []drawResult, changed bool) {
	if b.Accounts == nil {
		b.Accounts = map[string]*account{}
	}
	for _, q := range requests {
		acc := b.Accounts[q.plan]
		if acc == nil {
			acc = &account{Budget: q.budget, Version: q.version, Drawn: map[int64]Cost{}}
			b.Accounts[q.plan] = acc
		}
		r := acc.grant(q, shareDivisor, now)
		changed = changed || !r.granted.isZero() || !q.returned.isZero()
		results = append(results, r)
	}
	if changed {
		b.prune(now)
	}
	return results, changed
}

// grant credits the returned amount and grants what the budget has left.
func (a *account) grant(q drawRequest, shareDivisor int64, now time.Time) drawResult {
	r := drawResult{request: q}
	if !a.updateBudget(q, now) {
		r.refusal = PlanOutdated
		// A return is credited also if the plan version is outdated.
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
	// In advance no instance holds more than 1/shareDivisor of the rest, so that the last part of a
	// budget does not go to the first requester.
	available := left.dividedBy(shareDivisor).minus(q.held).atLeast(Cost{})
	r.granted = q.want.atMost(available).atLeast(q.need)
	a.Drawn[q.window.Index] = a.Drawn[q.window.Index].plus(r.granted)
	return r
}

// updateBudget updates the account to the request's budget if that is newer. It returns false if
// the request's budget is older: a grant under a budget that has been reduced since would exceed
// the reduced budget.
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

// changeWindowLength starts counting in windows of another length. The amounts drawn in old windows
// that have not ended may be spent in the first new ones, which therefore include them.
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

// prune removes windows that have ended on every clock, and plans without windows.
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

// writeMark identifies a write by its own id and the id of the write before it, which is empty if
// there is none.
type writeMark struct{ id, previousID string }

// recordWrite adds a write to the recent writes.
func (b *accountSet) recordWrite(id string) writeMark {
	m := writeMark{id: id}
	if len(b.Writes) > 0 {
		m.previousID = b.Writes[len(b.Writes)-1]
	}
	b.Writes = append(b.Writes, id)
	b.Writes = b.Writes[max(0, len(b.Writes)-maxRecentWrites):]
	return m
}

// findWrite reports whether a write has taken effect. known is false if this can't be determined,
// because the write's id may have been removed from the set. If the id of the write before it is
// still in the set, no later id has been removed; without this rule a full set could never show
// that a write had no effect, and draws would be refused for the duration of the backoff.
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
		return nil, errors.Wrap(err, "budget: encode accounts")
	}
	err := w.Close()
	return out.Bytes(), errors.Wrap(err, "budget: compress accounts")
}

func decodeAccounts(value []byte) (*accountSet, error) {
	b := &accountSet{}
	if len(value) == 0 {
		return b, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return nil, errors.Wrap(err, "budget: decompress accounts")
	}
	err = json.NewDecoder(io.LimitReader(r, 16*store.MaxValue)).Decode(b)
	return b, errors.Wrap(err, "budget: decode accounts")
}
