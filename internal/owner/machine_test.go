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

// The kinds of step that the machine's programs make.
const (
	turns = iota
	charges
	searches
)

// attempt is one call for a step.
type sentCall struct {
	*caller
	node *node
	// lost says that the connection broke, so that the caller has no answer.
	disconnected bool
	seen         bool
}

// wanted is a step that a program's caller wants, with all calls for it.
type plannedStep struct {
	kind     int
	number   int
	body     string
	attempts []*sentCall
	// answer is what the first call that got one was told.
	answer string
	// unknown says that a call was told so.
	toldUnknown bool
}

// client is the caller of one program.
type client struct {
	id    program.ID
	steps []*plannedStep
	next  int
	// gaveUp says that the program can't go on, and why that is right.
	stoppedBecause string
}

// machine drives services through calls and faults, one at a time, and is the
// oracle of what callers may be told.
type machine struct {
	w       *world
	clients []*client
	faults  map[string]int
	// tailLost says that turns on peers were lost, which callers are told.
	tailLost bool
}

const machineClients = 3

func newMachine(rt *rapid.T, w *world) *machine {
	m := &machine{w: w, faults: map[string]int{}}
	for i := range machineClients {
		opened := w.owner().svc.Open(context.Background(), buyerPlan, "")
		c := &client{id: opened.Program}
		for n := 1; n <= 6; n++ {
			kind := rapid.IntRange(turns, searches).Draw(rt, "kind")
			c.steps = append(c.steps, &plannedStep{kind: kind, number: n, body: fmt.Sprintf("c%d s%d", i, n)})
		}
		m.clients = append(m.clients, c)
	}
	w.auto = func(*gate) string { return "" }
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

// observe takes in the answers that have come and moves each caller on. Of
// those that came at once, it takes the ones that miss a step first: they may
// have come before the missing step ran.
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

// actions are what may happen next, one at a time.
func (m *machine) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call":   func(rt *rapid.T) { m.call(rt, 0) },
		"again":  func(rt *rapid.T) { m.call(rt, 0) },
		"more":   func(rt *rapid.T) { m.call(rt, 0) },
		"ahead":  func(rt *rapid.T) { m.call(rt, 1) },
		"late":   func(rt *rapid.T) { m.call(rt, -1) },
		"gate":   m.openGate,
		"gate 2": m.openGate,
		"gate 3": m.openGate,
		"gate 4": m.openGate,
		"gate 5": m.openGate,
		"gate 6": m.openGate,
		"cancel": rarely(m.cancel),
		"store":  rarely(m.toggleStore),
		"crash":  rarely(m.crash),
		"pause":  rarely(m.pause),
		"offer":  m.offer,
		"time":   m.advanceTime,
		"":       func(*rapid.T) { m.check() },
	}
}

// rarely makes a fault rare enough for steps to get anywhere between two.
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

// anyNode is mostly the owner, and at times a former one that still runs.
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

func (m *machine) openGate(rt *rapid.T) {
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

// crash kills the owner where it stands; a successor adopts what its log and
// its peers hold.
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

// replace seals the owner's log, for which the store must be back.
func (m *machine) takeOver(rt *rapid.T) {
	m.w.restoreStore(m.w.owner())
	kept := rapid.IntRange(0, 5).Draw(rt, "tail kept") > 0
	if !kept && len(m.w.owner().held) > 0 {
		m.tailLost = true
		m.faults["tail lost"]++
	}
	if rapid.IntRange(0, 7).Draw(rt, "torn") == 0 && m.w.owner().loseLastRecord() {
		m.tailLost = true
		m.faults["entry torn"]++
	}
	m.w.incomplete = rapid.Bool().Draw(rt, "adoption incomplete")
	m.w.takeOver(kept, rapid.Bool().Draw(rt, "late written"))
	m.observe()
}

// pause seals the owner's log while it stands at its gates; it goes on later.
func (m *machine) pause(rt *rapid.T) {
	m.faults["pause"]++
	m.takeOver(rt)
}

// offer has a former owner bring what it held to the successor.
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

// Programs of turns, charges and searches run while appends are refused, lost
// and late, the store goes down, owners crash or are paused at any point where
// they wait, callers go away, repeat, and send ahead. No charge has its effect
// twice, every "not run" is true, engines get each program's history as its
// caller was told it, and afterwards every program goes on.
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
