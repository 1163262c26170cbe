package history

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

const (
	modelBudget    = 2400
	modelTurn      = 100
	modelRetention = time.Minute
)

// budgetModel is one program at two entries, with the state of its shard, in virtual time.
type budgetModel struct {
	now     time.Time
	state   *state
	entries [2]*allowances
	turns   int
	// handed is the output of the program's turns, and lastTurn the end of the latest: a program that
	// is away for longer than its retention begins anew.
	handed   int64
	lastTurn time.Time
	// sent are the draws sent of late, which may arrive once more.
	sent []sentDraw
}

type sentDraw struct {
	request *historypb.DrawRequest
	at      time.Time
}

// maxMessageDelay is the longest time for which a message is on its way.
const maxMessageDelay = 20 * time.Second

// repeatDraws has draws arrive late, or once more, the oldest one last.
func (m *budgetModel) repeatDraws() {
	for _, s := range slices.Backward(m.sent) {
		if m.now.Sub(s.at) <= maxMessageDelay {
			m.state.draw(s.request, m.now)
		}
	}
	m.sent = nil
}

func (m *budgetModel) advance(d time.Duration) {
	for ; d > 0; d -= time.Second {
		m.now = m.now.Add(min(d, time.Second))
		m.state.expire(m.now)
	}
}

// draw makes the draw that an allowance needs. The request or its response may be lost.
func (m *budgetModel) draw(entry *allowances, a *allowance, requestLost, responseLost bool) {
	r, needed := entry.nextDraw(a, m.now)
	if !needed {
		return
	}
	m.sent = append(m.sent, sentDraw{request: r, at: m.now})
	if requestLost {
		entry.failDraw(a)
		return
	}
	held, _ := m.state.draw(r, m.now)
	if responseLost {
		entry.failDraw(a)
		return
	}
	entry.completeDraw(a, r, held)
}

// turn runs a turn at an entry, as the entry's client does.
func (m *budgetModel) turn(t *rapid.T, entry *allowances) {
	m.turns++
	reservation := gateway.Reservation{
		Program: "p", Turn: fmt.Sprint("t", m.turns), MaxOutputTokens: modelTurn, Budget: modelBudget, Retention: modelRetention,
	}
	output := rapid.IntRange(0, modelTurn).Draw(t, "output")
	requestLost, responseLost := rapid.IntRange(0, 3).Draw(t, "request lost") == 0, rapid.IntRange(0, 3).Draw(t, "response lost") == 0
	if m.now.Sub(m.lastTurn) > modelRetention {
		m.handed = 0
	}
	took := time.Duration(rapid.IntRange(0, 5).Draw(t, "seconds")) * time.Second
	customer := ""
	if entry.beginTurn(reservation, m.now) {
		m.advance(took)
		a, _ := entry.settleTurn(gateway.Settlement{Program: "p", Turn: reservation.Turn, OutputTokens: output})
		m.draw(entry, a, requestLost, responseLost)
	} else {
		request := &historypb.ReserveRequest{
			Program: "p", Customer: &customer, Turn: reservation.Turn, Most: modelTurn, Budget: modelBudget, RetentionMs: modelRetention.Milliseconds(),
		}
		if verdict, _ := m.state.reserve(request, m.now); verdict != historypb.Verdict_DONE {
			return
		}
		m.draw(entry, entry.getOrCreate(reservation, m.now), requestLost, responseLost)
		m.advance(took)
		settlement := &historypb.SettleRequest{
			Program: "p", Customer: &customer, Turn: reservation.Turn, Made: int64(output), RetentionMs: modelRetention.Milliseconds(),
		}
		for range 1 + rapid.IntRange(0, 1).Draw(t, "repeated") {
			m.state.settle(settlement, m.now)
		}
	}
	m.handed, m.lastTurn = m.handed+int64(output), m.now
	if m.handed > modelBudget+modelTurn {
		t.Fatalf("%d tokens handed out of a budget of %d", m.handed, modelBudget)
	}
}

// Guards against a program that is granted tokens twice: by an entry that uses an allowance that the
// keepers have forgotten, or that draws a new one under the name of an old one. Entries come and go,
// turns are far apart, and messages are lost, late or repeated.
func TestBudgetOfAllowancesAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &budgetModel{now: time.Unix(1_000_000, 0), state: newState(), entries: [2]*allowances{newAllowances(), newAllowances()}}
		m.lastTurn = m.now
		entry := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "entry") }
		t.Repeat(map[string]func(*rapid.T){
			"turn":           func(t *rapid.T) { m.turn(t, m.entries[entry(t)]) },
			"turns":          func(t *rapid.T) { m.turnsApart(t, m.entries[entry(t)]) },
			"long pause":     func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 58).Draw(t, "seconds")) * time.Second) },
			"draws repeated": func(*rapid.T) { m.repeatDraws() },
			"entry restarts": func(t *rapid.T) { m.entries[entry(t)] = newAllowances() },
		})
	})
}

// turnsApart runs several turns at one entry with pauses, in which the keepers hear of none of them
// unless the entry tells them.
func (m *budgetModel) turnsApart(t *rapid.T, entry *allowances) {
	pause := time.Duration(rapid.IntRange(5, 50).Draw(t, "pause")) * time.Second
	for range rapid.IntRange(2, 8).Draw(t, "number") {
		m.turn(t, entry)
		m.advance(pause)
	}
}

// Guards against a program that is refused for its budget because of tokens that an entry holds which it has left.
func TestLeftAllowancesRefuseNoTurn(t *testing.T) {
	m := &budgetModel{now: time.Unix(1_000_000, 0), state: newState(), entries: [2]*allowances{newAllowances(), newAllowances()}}
	customer := ""
	turn := func(entry *allowances) bool {
		m.turns++
		id := fmt.Sprint("t", m.turns)
		r := gateway.Reservation{Program: "p", Turn: id, MaxOutputTokens: modelTurn, Budget: modelBudget, Retention: modelRetention}
		if entry.beginTurn(r, m.now) {
			a, _ := entry.settleTurn(gateway.Settlement{Program: "p", Turn: id, OutputTokens: modelTurn})
			m.draw(entry, a, false, false)
			return true
		}
		request := &historypb.ReserveRequest{Program: "p", Customer: &customer, Turn: id, Most: modelTurn, Budget: modelBudget, RetentionMs: modelRetention.Milliseconds()}
		if verdict, _ := m.state.reserve(request, m.now); verdict != historypb.Verdict_DONE {
			return false
		}
		m.draw(entry, entry.getOrCreate(r, m.now), false, false)
		m.state.settle(&historypb.SettleRequest{Program: "p", Customer: &customer, Turn: id, Made: modelTurn, RetentionMs: modelRetention.Milliseconds()}, m.now)
		return true
	}
	if !turn(m.entries[0]) {
		t.Fatal("first turn refused")
	}
	handed := modelTurn
	for m.advance(2 * time.Second); handed+modelTurn <= modelBudget; handed += modelTurn {
		if !turn(m.entries[1]) {
			t.Fatalf("refused after %d of %d tokens, 2 s after the turn at the other entry ended", handed, modelBudget)
		}
		m.advance(100 * time.Millisecond)
	}
}
