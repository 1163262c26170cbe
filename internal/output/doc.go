// Package output holds what attempts at turns have forwarded to their callers, for as long as the callers may resume the
// turns. A turn that is resumed is retained with the events that its caller has: those before its last one, from the
// attempt that forwarded them, and the new ones. Running the turn again would give other events.
//
// Each instance holds the output of its own attempts. The keepers of turns list the attempts at a program's turns, and an
// instance to which a caller comes back asks those that made them. It refuses the call if it can't tell which events the
// caller has: of several attempts at the same turn more than one may have forwarded the caller's last event.
package output

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// Key identifies an attempt. Client accounts choose their IDs independently of each other.
type Key struct{ Customer, Program, Call string }

// Attempt is one call of a caller for a turn, as the program's keeper lists it.
type Attempt struct {
	// Call is the ID of the call, and Entry the name of the instance that took it.
	Call, Entry string
	// Line is the same for all attempts at one turn.
	Line Line
	// After is the ID of the last event that the caller had; empty for an attempt from the start of the turn.
	After string
	// Resumes is the ID of the call that brought the caller the turn's first event; empty if the caller named none.
	Resumes string
}

// Event is one event that was forwarded.
type Event struct {
	// ID is empty if the event has none.
	ID   string
	Data []byte
}

// Line identifies a turn of a program by what a caller repeats when it resumes the turn. Two turns of one program
// may have the same.
type Line uint64

// LineOf returns the line of a turn by the parts that a caller repeats.
func LineOf(body []byte, parts ...string) Line {
	var buffer []byte
	for _, part := range parts {
		buffer = binary.AppendUvarint(buffer, uint64(len(part)))
		buffer = append(buffer, part...)
	}
	hash := sha256.New()
	hash.Write(buffer)
	hash.Write(body)
	return Line(binary.LittleEndian.Uint64(hash.Sum(nil)))
}

const (
	// minLife and maxLife bound the time for which the output of an attempt is held.
	minLife = 10 * time.Second
	maxLife = 5 * time.Minute
	// lifeFactor times the longest duration of one call is how long a caller may pursue a turn: the call that began it,
	// and those that resume it.
	lifeFactor = 2
)

// LifeOf returns how long after its start a turn may be resumed, by the longest duration of one call.
func LifeOf(longest time.Duration) time.Duration {
	return min(maxLife, max(minLife, lifeFactor*longest))
}
