package output

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a caller that is taken for one of another turn, since replicas give both turns the same events at first:
// what the turns forward later would be held against the wrong one.
func TestEqualEventsOfTwoTurnsAreAmbiguous(t *testing.T) {
	is := is.New(t)
	events := []Event{{ID: "1", Data: []byte("same")}}
	attempts := []Attempt{{Call: "one", Line: machineLine}, {Call: "two", Line: machineLine}}
	answers := map[string]*Answer{"one": {Root: "one", Events: events}, "two": {Root: "two", Events: events}}
	q := &Question{Attempt: Attempt{Call: "next", Line: machineLine, After: "1"}}
	is.Equal(resolve(q, attempts, answers).Source, Ambiguous)
	q.Attempt.Resumes = "two"
	is.Equal(resolve(q, attempts, answers).Parent, "two")
}

// Guards against events that are cut at the wrong one of several with the same ID.
func TestRepeatedEventIDIsAmbiguous(t *testing.T) {
	is := is.New(t)
	m := &machine{}
	r := m.newRegistry(0)
	record := r.Begin(Key{Call: "one"}, "", machineLife)
	for _, data := range []string{"a", "b"} {
		record.Add(Event{ID: "1", Data: []byte(data)})
	}
	answers := r.lookup("", "", "1", []string{"one"})
	q := &Question{Attempt: Attempt{Call: "next", Line: machineLine, After: "1"}}
	is.Equal(resolve(q, []Attempt{{Call: "one", Line: machineLine}}, answers).Source, Ambiguous)
}

// Guards against events of another attempt: a caller's ID comes twice.
func TestAttemptsOfOneIDAreAmbiguous(t *testing.T) {
	is := is.New(t)
	m := &machine{}
	r := m.newRegistry(0)
	r.Begin(Key{Call: "one"}, "", machineLife).Add(Event{ID: "1", Data: []byte("a")})
	is.Equal(r.Begin(Key{Call: "one"}, "", machineLife), nil)
	q := &Question{Attempt: Attempt{Call: "next", Line: machineLine, After: "1"}}
	is.Equal(resolve(q, []Attempt{{Call: "one", Line: machineLine}}, r.lookup("", "", "1", []string{"one"})).Source, Ambiguous)
}

// Guards against output of callers that never come back, which would take ever more memory.
func TestEndedOutputIsBounded(t *testing.T) {
	is := is.New(t)
	m := &machine{}
	r := m.newRegistry(0)
	const size = 1 << 20
	for i := range 2 * maxEndedBytes / size {
		record := r.Begin(Key{Call: string(rune('a' + i))}, "", machineLife)
		record.Add(Event{ID: "1", Data: make([]byte, size)})
		record.End()
	}
	is.True(r.Len() > 0 && r.Len() < maxEndedBytes/size+1)
	is.True(r.buffers.Used() <= maxEndedBytes)
	expired := r.Begin(Key{Call: "short"}, "", 0)
	expired.End()
	is.True(r.buffers.Used() > 0)
	for r.ended.Len() > 0 {
		r.ended.Front().Value.(*Record).expires = expired.expires
		r.Begin(Key{Call: "next"}, "", machineLife)
	}
	is.Equal(r.buffers.Used(), int64(0))
}
