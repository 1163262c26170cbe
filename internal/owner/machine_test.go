package owner

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"foxhall/internal/program"
	"foxhall/internal/step"
)

// The kinds of step in the machine's programs.
const (
	turns = iota
	charges
	searches
)

// sentCall is one call for a step.
type sentCall struct {
	*caller
	node *node
	// disconnected indicates that the connection broke, so that the caller gets no result.
	disconnected bool
	// seen indicates that the result was recorded.
	seen bool
}

// plannedStep is a step that a client makes, with all calls for it.
type plannedStep struct {
	kind     int
	number   int
	body     string
	attempts []*sentCall
	// answer is the response that the first successful call received.
	answer string
	// toldUnknown indicates that a call ended without a known outcome.
	toldUnknown bool
}

// client is the caller of one program.
type client struct {
	id    program.ID
	steps []*plannedStep
	// next is the index of the step to make next.
	next int
	// stoppedBecause is the reason for which the program legitimately can't continue, or "".
	stoppedBecause string
}

// machine drives services through calls and faults, one at a time, and checks the results that
// callers receive.
type machine struct {
	w       *world
	clients []*client
	faults  map[string]int
	// recordsLost indicates that held records or a log entry were lost, which callers may notice.
	recordsLost bool
}

const machineClients = 3

func newMachine(rt *rapid.T, w *world) *machine {
	m := &machine{w: w, faults: map[string]int{}}
	for i := range machineClients {
		opened := w.owner().svc.Open(context.Background(), testPlan, "")
		c := &client{id: opened.Program}
		for n := 1; n <= 6; n++ {
			kind := rapid.IntRange(turns, searches).Draw(rt, "kind")
			c.steps = append(c.steps, &plannedStep{kind: kind, number: n, body: fmt.Sprintf("c%d s%d", i, n)})
		}
		m.clients = append(m.clients, c)
	}
	w.decideGate = func(*gate) string { return "" }
	w.lookupKnows = rapid.Bool().Draw(rt, "lookups")
	return m
}

func (m *machine) callFor(c *client, s *plannedStep) step.Call {
	switch s.kind {
	case turns:
		return modelCall(c.id, s.number, s.body)
	case charges:
		return charge(c.id, s.number, s.body)
	}
	return toolStep(c.id, s.number, "search", s.body)
}

func (m *machine) send(n *node, c *client, s *plannedStep) {
	a := &sentCall{caller: m.w.call(n, m.callFor(c, s)), node: n}
	s.attempts = append(s.attempts, a)
	m.observe()
}

// observe records new results. Of results that arrived together, it records those that report a
// missing step first, since they may be from before the missing step ran.
func (m *machine) observe() {
	synctest.Wait()
	var rest []func()
	for _, c := range m.clients {
		for _, s := range c.steps {
			for _, a := range s.attempts {
				if !a.ended.Load() || a.disconnected || a.seen {
					continue
				}
				a.seen = true
				if a.result.MissingStep > 0 {
					m.recordResult(c, s, a)
					continue
				}
				rest = append(rest, func() { m.recordResult(c, s, a) })
			}
		}
	}
	for _, take := range rest {
		take()
	}
}

// actions returns the actions that rapid chooses from.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call":   func(rt *rapid.T) { m.call(rt, 0) },
		"again":  func(rt *rapid.T) { m.call(rt, 0) },
		"more":   func(rt *rapid.T) { m.call(rt, 0) },
		"ahead":  func(rt *rapid.T) { m.call(rt, 1) },
		"late":   func(rt *rapid.T) { m.call(rt, -1) },
		"gate":   m.releaseGate,
		"gate 2": m.releaseGate,
		"gate 3": m.releaseGate,
		"gate 4": m.releaseGate,
		"gate 5": m.releaseGate,
		"gate 6": m.releaseGate,
		"cancel": rarely(m.cancel),
		"store":  rarely(m.toggleStore),
		"crash":  rarely(m.crash),
		"pause":  rarely(m.pause),
		"offer":  m.offer,
		"time":   m.advanceTime,
		"":       func(*rapid.T) { m.check() },
	}
}

// rarely skips the action most of the time, so that steps complete between faults.
func rarely(action func(*rapid.T)) func(*rapid.T) {
	return func(rt *rapid.T) {
		if rapid.IntRange(0, 3).Draw(rt, "rarely") > 0 {
			rt.Skip()
		}
		action(rt)
	}
}

func (m *machine) call(rt *rapid.T, offset int) {
	c := m.clients[rapid.IntRange(0, len(m.clients)-1).Draw(rt, "client")]
	i := c.next + offset
	if i < 0 || i >= len(c.steps) || c.stoppedBecause != "" {
		rt.Skip()
	}
	m.send(m.anyNode(rt), c, c.steps[i])
}

func (m *machine) advanceTime(rt *rapid.T) {
	advance(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "ms")) * time.Millisecond)
	m.observe()
}

// anyNode returns the owner in most cases, and otherwise any node that still runs.
func (m *machine) anyNode(rt *rapid.T) *node {
	if rapid.IntRange(0, 4).Draw(rt, "node") > 0 {
		return m.w.owner()
	}
	var alive []*node
	for _, n := range m.w.nodes {
		if !n.crashed.Load() {
			alive = append(alive, n)
		}
	}
	return alive[rapid.IntRange(0, len(alive)-1).Draw(rt, "any")]
}

var decisions = map[string][]string{
	"append": {ok, ok, ok, ok, refused, responseLost, dropped, delayed},
	"hold":   {ok, ok, refused},
	"admit":  {ok, ok, ok, refused},
	"tool":   {ok, ok, actThenHang, responseLost, dropped, notSent},
	"model":  {ok, ok, ok, dropped, notSent},
}

func (m *machine) releaseGate(rt *rapid.T) {
	waiting := m.w.waitingGates()
	if len(waiting) == 0 {
		rt.Skip()
	}
	i := rapid.IntRange(0, len(waiting)-1).Draw(rt, "gate")
	d := rapid.SampledFrom(decisions[waiting[i]]).Draw(rt, "decision")
	if d != ok {
		m.faults[waiting[i]+" "+d]++
	}
	m.w.release(i, d)
	m.observe()
}

func (m *machine) cancel(rt *rapid.T) {
	for _, c := range m.clients {
		for _, s := range c.steps {
			for _, a := range s.attempts {
				if !a.ended.Load() && rapid.Bool().Draw(rt, "cancel") {
					m.faults["cancel"]++
					a.cancel()
					m.observe()
					return
				}
			}
		}
	}
	rt.Skip()
}

func (m *machine) toggleStore(*rapid.T) {
	if m.w.storeDown {
		m.w.restoreStore(nil)
		return
	}
	m.faults["store down"]++
	m.w.mu.Lock()
	m.w.storeDown = true
	m.w.mu.Unlock()
}

// crash crashes the owner; a successor adopts the records in its log and on its peers.
func (m *machine) crash(rt *rapid.T) {
	m.faults["crash"]++
	m.crashNode(m.w.owner())
	m.takeOver(rt)
}

func (m *machine) crashNode(n *node) {
	m.w.mu.Lock()
	n.crashed.Store(true)
	var released []*gate
	m.w.gates = slices.DeleteFunc(m.w.gates, func(g *gate) bool {
		if g.node == n {
			released = append(released, g)
		}
		return g.node == n
	})
	m.w.mu.Unlock()
	m.observe()
	for _, g := range released {
		g.ch <- crash
	}
	for _, c := range m.clients {
		for _, s := range c.steps {
			for _, a := range s.attempts {
				if a.node == n && !a.ended.Load() {
					a.disconnected = true
					s.toldUnknown = true
					a.cancel()
				}
			}
		}
	}
	synctest.Wait()
}

// takeOver seals the owner's log, for which the store must be available, and starts a successor.
func (m *machine) takeOver(rt *rapid.T) {
	m.w.restoreStore(m.w.owner())
	kept := rapid.IntRange(0, 5).Draw(rt, "tail kept") > 0
	if !kept && len(m.w.owner().held) > 0 {
		m.recordsLost = true
		m.faults["tail lost"]++
	}
	if rapid.IntRange(0, 7).Draw(rt, "torn") == 0 && m.w.owner().loseLastRecord() {
		m.recordsLost = true
		m.faults["entry torn"]++
	}
	m.w.adoptionIncomplete = rapid.Bool().Draw(rt, "adoption incomplete")
	m.w.takeOver(kept, rapid.Bool().Draw(rt, "late written"))
	m.observe()
}

// pause lets a successor take over while the owner is paused at its gates; the owner resumes later.
func (m *machine) pause(rt *rapid.T) {
	m.faults["pause"]++
	m.takeOver(rt)
}

// offer lets a former owner offer its held records to the successor.
func (m *machine) offer(rt *rapid.T) {
	i := rapid.IntRange(0, len(m.w.nodes)-1).Draw(rt, "former owner")
	former := m.w.nodes[i]
	if len(former.held) == 0 || !former.sealed {
		rt.Skip()
	}
	m.faults["held records offered late"]++
	ctx, cancel := context.WithCancel(context.Background())
	m.w.callers = append(m.w.callers, &caller{cancel: cancel})
	go func() { _ = m.w.owner().svc.AdoptLate(ctx, former.svc.Cohort(), former.held) }()
	m.observe()
}

// Programs make model calls, charges and searches while appends are refused, lost and delayed, the
// store becomes unavailable, owners crash or are paused at any point where they wait, and callers
// disconnect, repeat calls and send steps ahead. No charge has its effect twice, every "not run" is
// true, engines receive each program's history as its caller knows it, and once the faults end every
// program continues.
func TestRandomFaults(t *testing.T) {
	totals := map[string]int{}
	answered, unknown, effects := 0, 0, 0
	checkInVirtualTime(t, func(rt *rapid.T, w *world) {
		m := newMachine(rt, w)
		rt.Repeat(m.actions())
		m.finish(rt)
		for name, n := range m.faults {
			totals[name] += n
		}
		for _, c := range m.clients {
			for _, s := range c.steps {
				effects += m.effectsOf(s)
				if s.answer != "" {
					answered++
				} else if s.toldUnknown {
					unknown++
				}
			}
		}
	})
	t.Log("faults tried:", totals, "steps answered:", answered, "left unknown:", unknown, "charges made:", effects)
}
