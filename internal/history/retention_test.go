package history

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/history/historypb"
)

// testCustomers are the customers of drawn turns: an older version names none, and the empty name stands
// for callers without a key.
var testCustomers = []*string{nil, customer(""), customer("a"), customer("b")}

// testIDs is the number of ids of drawn turns.
const testIDs = 6

// drawTurns draws turns of several customers that use the same ids, with retentions of their own. Chains
// branch, and may be cyclic if set, since callers choose the ids.
func drawTurns(t *rapid.T, cyclic bool) []*historypb.Turn {
	var turns []*historypb.Turn
	known := map[string]bool{}
	for range rapid.IntRange(1, 16).Draw(t, "turns") {
		id := rapid.IntRange(0, testIDs-1).Draw(t, "id")
		turn := &historypb.Turn{
			Id:          fmt.Sprint("t", id),
			Customer:    rapid.SampledFrom(testCustomers).Draw(t, "customer"),
			EndedUnixMs: int64(rapid.IntRange(0, 700).Draw(t, "ended")) * 1000,
			RetentionMs: int64(rapid.SampledFrom([]int{1, 10, 60, 600}).Draw(t, "retention")) * 1000,
		}
		if previous := rapid.IntRange(-1, testIDs-1).Draw(t, "previous"); previous >= 0 && (cyclic || previous < id) {
			turn.Previous = fmt.Sprint("t", previous)
		}
		if key := recordKey(turn.Customer, turn.Id); !known[key] {
			known[key] = true
			turns = append(turns, turn)
		}
	}
	return turns
}

// lastNeeded returns the end of each turn's retention, in the order of the turns: its own, or that of
// any turn that may continue it.
func lastNeeded(turns []*historypb.Turn) []int64 {
	needed := make([]int64, len(turns))
	for i, t := range turns {
		needed[i] = t.EndedUnixMs + t.RetentionMs + retentionMargin.Milliseconds()
	}
	for range turns { // each pass extends a chain by at least one turn
		for i, earlier := range turns {
			for j, later := range turns {
				sameCustomer := earlier.Customer == nil || later.Customer == nil || *earlier.Customer == *later.Customer
				if later.Previous == earlier.Id && sameCustomer {
					needed[i] = max(needed[i], needed[j])
				}
			}
		}
	}
	return needed
}

// Guards against a turn that is removed while a later turn of its chain is retained, because the later
// one was read first: logs and transfers give turns in any order, and more than once.
func TestRetentionDoesNotDependOnTheOrderOfTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turns := drawTurns(t, true)
		needed := lastNeeded(turns)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		s := newState()
		arriving := slices.Concat(turns, turns[:random.IntN(len(turns)+1)])
		random.Shuffle(len(arriving), func(i, j int) { arriving[i], arriving[j] = arriving[j], arriving[i] })
		for _, turn := range arriving {
			s.apply(turnRecord(0, turn))
			if random.IntN(4) == 0 {
				s.expire(time.UnixMilli(0)) // removes nothing, but links
			}
		}
		at := int64(rapid.IntRange(0, 1400).Draw(t, "at")) * 1000
		s.expire(time.UnixMilli(at))
		retained := 0
		for i, turn := range turns {
			is := s.turns[recordKey(turn.Customer, turn.Id)] != nil
			if is != (needed[i] >= at) {
				t.Fatalf("turn %s of %v is retained: %t at %d; oracle expects its end at %d", turn.Id, turn.Customer, is, at, needed[i])
			}
			if is {
				retained++
			}
		}
		if len(s.turns) != retained {
			t.Fatalf("%d turns are held, of which %d are known", len(s.turns), retained)
		}
	})
}

// transfersPerCheck is the number of transfers of each drawn set of turns: few interleavings of parts and
// removals show a fault.
const transfersPerCheck = 50

// Guards against a holder that lacks a turn of a chain after a transfer, because it removed the turn
// between its inventory and the arrival of the later one, or between two parts of the transfer.
func TestTransferLeavesNoChainIncomplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turns := drawTurns(t, false)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		for range transfersPerCheck {
			transferTurns(t, turns, random)
		}
	})
}

// transferTurns gives all turns to one state and some of them to another, transfers what that one lacks
// in parts, with removals between them, and checks that it has the same chains then.
func transferTurns(t *rapid.T, turns []*historypb.Turn, random *rand.Rand) {
	sender, receiver := newState(), newState()
	for _, i := range random.Perm(len(turns)) {
		sender.apply(turnRecord(0, turns[i]))
		if random.IntN(2) == 0 {
			receiver.apply(turnRecord(0, turns[i]))
		}
	}
	now := time.UnixMilli(random.Int64N(1400) * 1000)
	sender.expire(now)
	receiver.expire(now.Add(-time.Duration(random.Int64N(int64(time.Minute)))))
	records := sender.recordsMissingFrom(0, receiver.inventory(), now)
	end := now.Add(retentionMargin)
	for len(records) > 0 {
		now = now.Add(time.Duration(random.Int64N(int64(end.Sub(now)))))
		receiver.expire(now)
		n := 1 + random.IntN(len(records))
		for _, r := range records[:n] {
			receiver.apply(r)
		}
		records = records[n:]
	}
	sender.expire(end)
	receiver.expire(end)
	for _, turn := range turns {
		for _, c := range testCustomers[1:] { // for a caller without a customer, any with the id will do
			chain, whole := sender.chain(c, turn.Id)
			if !whole || chain[len(chain)-1] != turn || ownEnd(turn) < end.UnixMilli() {
				continue
			}
			if _, gap := receiver.walkChain(c, turn.Id); gap != nil {
				t.Fatalf("chain of %s is whole at the sender; the receiver lacks %s", turn.Id, gap.Missing)
			}
		}
	}
}

// Guards against spent tokens that come back, because an account's older version arrives after a newer
// one or is read back from another part of the log.
func TestAccountsDoNotDependOnTheOrderOfVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		newest := map[string]uint64{}
		var records []*historypb.Record
		for range rapid.IntRange(1, 20).Draw(t, "accounts") {
			a := &historypb.Account{
				Program:  fmt.Sprint("p", rapid.IntRange(0, 2).Draw(t, "program")),
				Customer: rapid.SampledFrom(testCustomers[1:]).Draw(t, "customer"),
				Version:  rapid.Uint64Range(1, 20).Draw(t, "version"),
			}
			a.Spent = int64(a.Version) // spent grows with the version
			newest[recordKey(a.Customer, a.Program)] = max(newest[recordKey(a.Customer, a.Program)], a.Version)
			records = append(records, accountRecord(0, a))
		}
		parts := [2]*state{newState(), newState()}
		for _, i := range random.Perm(len(records)) {
			for range 1 + random.IntN(2) {
				parts[random.IntN(2)].apply(records[i])
			}
		}
		for _, r := range parts[0].recordsMissingFrom(0, parts[1].inventory(), time.UnixMilli(0)) {
			parts[1].apply(r)
		}
		for key, version := range newest {
			if a := parts[1].accounts[key]; a == nil || a.Version != version || a.Spent != int64(version) {
				t.Fatalf("account %q is %v after the merge; the newest version is %d", key, a, version)
			}
		}
	})
}

// Guards against a chain that is lost after restarts: the first writes the log anew, in any order, and
// the second reads it.
func TestChainOutlivesRestartsOfItsKeeper(t *testing.T) {
	is := is.New(t)
	turns := map[string]*historypb.Turn{}
	for i := range 8 {
		turn := &historypb.Turn{Id: fmt.Sprint("t", i), EndedUnixMs: int64(i) * 10_000, RetentionMs: 60_000}
		if i > 0 {
			turn.Previous = fmt.Sprint("t", i-1)
		}
		turns[turn.Id] = turn
	}
	for range 100 {
		s := newState()
		for turn := range maps.Values(turns) { // in any order
			s.apply(turnRecord(0, turn))
		}
		s.expire(time.UnixMilli(70_000 + 60_000))
		_, whole := s.chain(nil, "t7")
		is.True(whole)
	}
}

// Guards against memory for turns that never come: nothing is remembered of a missing turn but in the
// turn that continues it, and in the bounded log of removals.
func TestNeedOfAMissingTurnExpires(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.apply(turnRecord(0, &historypb.Turn{Id: "b", Previous: "a", RetentionMs: 1000}))
	is.Equal(len(s.turns), 1)
	s.expire(time.UnixMilli(0).Add(retentionMargin + time.Minute))
	s.removed = removalLog{}
	is.Equal(*s, *newState())
}

// Guards against a customer whose turn shortens the retention of another customer's turn with the same
// id: callers choose ids.
func TestTurnOfAnotherCustomerDoesNotTakeTheNeedOfATurn(t *testing.T) {
	is := is.New(t)
	const retention = 60_000
	s := newState()
	s.apply(turnRecord(0, &historypb.Turn{Id: "t1", Previous: "t0", Customer: customer("a"), EndedUnixMs: 100_000, RetentionMs: retention}))
	s.apply(turnRecord(0, &historypb.Turn{Id: "t0", Customer: customer("b"), RetentionMs: retention}))
	s.apply(turnRecord(0, &historypb.Turn{Id: "t0", Customer: customer("a"), RetentionMs: retention}))
	s.expire(time.UnixMilli(120_000))
	_, whole := s.chain(customer("a"), "t1")
	is.True(whole)
}

// retained returns the ends of retention of a state's turns and the versions of its accounts, by key.
func retained(s *state) (turns map[string]int64, accounts map[string]uint64) {
	turns, accounts = map[string]int64{}, map[string]uint64{}
	for key, k := range s.turns {
		turns[key] = k.expires
	}
	for key, a := range s.accounts {
		accounts[key] = a.Version
	}
	return turns, accounts
}

// Guards against a keeper that starts with less than it acknowledged: it was killed while it wrote its
// log anew, so that the new segment ends at any byte beside the old one.
func TestInterruptedCompactionChangesNothing(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		whole := newState()
		var old []byte
		for _, turn := range drawTurns(t, true) {
			account := &historypb.Account{Program: turn.Id, Customer: turn.Customer, Version: 1 + random.Uint64N(9), TouchedUnixMs: turn.EndedUnixMs}
			for _, r := range []*historypb.Record{turnRecord(0, turn), accountRecord(0, account)} {
				whole.apply(r)
				old = appendTestFrame(t, old, r)
			}
		}
		var compacted []byte
		for _, r := range whole.records(0) {
			compacted = appendTestFrame(t, compacted, r)
		}
		writeTestLog(t, dir, old, compacted[:random.IntN(len(compacted)+1)])
		read := newState()
		l, err := openLog(dir, func(r *historypb.Record) { read.apply(r) })
		if err != nil || l.close() != nil {
			t.Fatalf("log can't be opened and closed: %v", err)
		}
		at := time.UnixMilli(random.Int64N(1400) * 1000)
		whole.expire(at)
		read.expire(at)
		wantTurns, wantAccounts := retained(whole)
		gotTurns, gotAccounts := retained(read)
		if !maps.Equal(gotTurns, wantTurns) || !maps.Equal(gotAccounts, wantAccounts) {
			t.Fatalf("read %v, %v; want %v, %v", gotTurns, gotAccounts, wantTurns, wantAccounts)
		}
	})
}

func appendTestFrame(t *rapid.T, b []byte, r *historypb.Record) []byte {
	framed, err := appendFrame(b, r)
	if err != nil {
		t.Fatal(err)
	}
	return framed
}

// writeTestLog replaces the log in a directory by the given segments.
func writeTestLog(t *rapid.T, dir string, segments ...[]byte) {
	older, err := listSegments(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range older {
		if err := os.Remove(filepath.Join(dir, fmt.Sprintf(segmentNameFormat, n))); err != nil {
			t.Fatal(err)
		}
	}
	for i, data := range segments {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf(segmentNameFormat, i+1)), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
