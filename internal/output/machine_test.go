package output

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"foxhall/internal/buffer"
	"foxhall/internal/output/outputpb"
)

const (
	machineEntries = 3
	machineProgram = "program"
	machineLine    = Line(7)
	machineLife    = time.Hour
)

// machineRun is an attempt that an instance serves.
type machineRun struct {
	attempt Attempt
	caller  *machineCaller
	record  *Record
	entry   int
	next    int
	ended   bool
}

// machineCaller pursues one turn: it sends one attempt at a time, and leaves it before the next one.
type machineCaller struct {
	names bool
	// root is the call that brought the first event, had are the events since then. resumedAfter is the event after which
	// the latest resumption was.
	root, resumedAfter string
	had                []Event
	began              bool
	// on is the attempt that the caller reads; nil between attempts.
	on *machineRun
}

func (c *machineCaller) after() string {
	if len(c.had) == 0 {
		return ""
	}
	return c.had[len(c.had)-1].ID
}

// late is an attempt that its caller has left before it was reserved. expected are the events that the caller had.
type late struct {
	attempt  Attempt
	entry    int
	expected []Event
}

// machine plays callers of turns that have the same line, at instances that lose what they hold.
type machine struct {
	registries [machineEntries]*Registry
	cutOff     [machineEntries]bool
	listed     []Attempt
	callers    []*machineCaller
	runs       []*machineRun
	late       []late
	sent       int
	// deterministic is set if all replicas give the same events.
	deterministic bool
	// simple is set while the only caller gets its events: nothing was lost, none of its attempts was late, it names the
	// call that brought the first event or never began anew, and it never resumed twice after the same event. In that case
	// two attempts may forward other events from there on, and nothing tells which of them the caller has read.
	simple bool
}

// Outputs implements Peers.
func (m *machine) Outputs(instance string) (outputpb.Outputs, bool) {
	i, err := strconv.Atoi(instance)
	if err != nil || m.cutOff[i] {
		return nil, false
	}
	return m.registries[i], true
}

func (m *machine) newRegistry(i int) *Registry {
	logger := &log.Logger{Handler: json.New(io.Discard), Level: log.ErrorLevel}
	return NewRegistry(strconv.Itoa(i), m, buffer.NewBudget(0, metrics.NewRegistry()), logger, metrics.NewRegistry())
}

func (m *machine) caller(t *rapid.T) *machineCaller {
	return m.callers[rapid.IntRange(0, len(m.callers)-1).Draw(t, "caller")]
}

// leave ends the reading of the caller's attempt. The instance may not notice it.
func (m *machine) leave(c *machineCaller) { c.on = nil }

func (m *machine) newAttempt(t *rapid.T, c *machineCaller) (Attempt, int) {
	m.sent++
	entry := rapid.IntRange(0, machineEntries-1).Draw(t, "entry")
	a := Attempt{Call: fmt.Sprintf("call-%d", m.sent), Entry: strconv.Itoa(entry), Line: machineLine, After: c.after()}
	if c.names && a.After != "" {
		a.Resumes = c.root
	}
	return a, entry
}

// send sends the caller's next attempt, from the start of the turn or after the events that the caller has.
func (m *machine) send(t *rapid.T) {
	c := m.caller(t)
	m.leave(c)
	if len(c.had) > 0 && rapid.IntRange(0, 5).Draw(t, "restarts") == 0 {
		c.had = nil
	}
	a, entry := m.newAttempt(t, c)
	if a.After == "" {
		m.simple = m.simple && (c.names || !c.began)
		c.began = true
	} else {
		m.simple = m.simple && a.After != c.resumedAfter
	}
	c.resumedAfter = a.After
	if rapid.IntRange(0, 7).Draw(t, "late") == 0 {
		m.late = append(m.late, late{a, entry, slices.Clone(c.had)})
		m.simple = false
		return
	}
	if run := m.reserve(t, a, entry, c.had); run != nil {
		c.on, run.caller = run, c
		if len(c.had) == 0 {
			c.root = a.Call
		}
	} else if m.simple {
		t.Fatalf("%s was refused, though nothing is lost and no other turn is of its line", a.Call)
	}
}

// reserveLate reserves an attempt that its caller has left.
func (m *machine) reserveLate(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("none is late")
	}
	l := m.late[0]
	m.late = m.late[1:]
	m.reserve(t, l.attempt, l.entry, l.expected)
}

// reserve lists an attempt and finds the events that its caller had as it sent it.
func (m *machine) reserve(t *rapid.T, a Attempt, entry int, had []Event) *machineRun {
	r := m.registries[entry]
	record := r.Begin(Key{Program: machineProgram, Call: a.Call}, a.After, machineLife)
	others := slices.Clone(m.listed)
	m.listed = append(m.listed, a)
	if a.After != "" {
		found := r.Resolve(context.Background(), Question{Program: machineProgram, Attempt: a}, others, true)
		if found.Source != Found {
			record.End()
			return nil
		}
		if !equalEvents(found.Events, had) {
			t.Fatalf("%s after %q: expected the events %v, found %v", a.Call, a.After, had, found.Events)
		}
		record.TakeOver(found)
	}
	run := &machineRun{attempt: a, record: record, entry: entry, next: len(had) + 1}
	m.runs = append(m.runs, run)
	return run
}

func (m *machine) run(t *rapid.T) *machineRun {
	if len(m.runs) == 0 {
		t.Skip("no attempt")
	}
	return m.runs[rapid.IntRange(0, len(m.runs)-1).Draw(t, "run")]
}

// forward forwards the next event of an attempt, which reaches its caller or is lost with the connection.
func (m *machine) forward(t *rapid.T) {
	run := m.run(t)
	if run.ended {
		t.Skip("ended")
	}
	e := Event{ID: strconv.Itoa(run.next), Data: []byte(fmt.Sprintf("event %d of %s", run.next, run.attempt.Call))}
	if m.deterministic {
		e.Data = []byte(fmt.Sprintf("event %d", run.next))
	}
	run.next++
	run.record.Add(e)
	c := run.caller
	switch {
	case c == nil || c.on != run:
	case rapid.IntRange(0, 3).Draw(t, "lost") == 0:
		m.leave(c)
	default:
		c.had = append(c.had, e)
	}
}

// end ends an attempt at its instance.
func (m *machine) end(t *rapid.T) {
	run := m.run(t)
	if run.ended {
		t.Skip("ended")
	}
	run.ended = true
	run.record.End()
}

// lose has an instance lose all that it holds, or cuts it off from the others for a while.
func (m *machine) lose(t *rapid.T) {
	i := rapid.IntRange(0, machineEntries-1).Draw(t, "entry")
	m.simple = false
	if rapid.Bool().Draw(t, "cut off") {
		m.cutOff[i] = !m.cutOff[i]
		return
	}
	m.registries[i] = m.newRegistry(i)
	for _, run := range m.runs {
		run.ended = run.ended || run.entry == i
		if c := run.caller; run.entry == i && c != nil && c.on == run {
			m.leave(c)
		}
	}
}

// Guards against a turn that is retained with events that its caller never got, or without some that it got: attempts that
// go on after their callers have left, callers that resume several times and at other instances, that begin anew, that
// pursue turns which can't be told apart, attempts that arrive late, and instances that are lost or cut off.
func TestResumedTurnsHaveTheEventsOfTheirCallers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &machine{simple: true, deterministic: rapid.IntRange(0, 3).Draw(rt, "deterministic") == 0}
		for i := range m.registries {
			m.registries[i] = m.newRegistry(i)
		}
		for range rapid.SampledFrom([]int{1, 1, 2, 3}).Draw(rt, "callers") {
			m.callers = append(m.callers, &machineCaller{names: rapid.Bool().Draw(rt, "names")})
		}
		m.simple = len(m.callers) == 1
		rt.Repeat(map[string]func(*rapid.T){
			"send": m.send, "reserve late": m.reserveLate, "forward": m.forward, "forward again": m.forward, "forward once more": m.forward, "end": m.end,
			"lose": func(rt *rapid.T) {
				if rapid.IntRange(0, 3).Draw(rt, "loses") > 0 {
					rt.Skip("nothing is lost")
				}
				m.lose(rt)
			},
		})
	})
}
