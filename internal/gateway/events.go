package gateway

import (
	"bytes"

	"github.com/pkg/errors"

	"foxhall/internal/buffer"
)

const (
	// maxEventBytes bounds an event of a stream, in bytes. Events are small: each holds a few tokens.
	maxEventBytes = 256 << 10
	// maxUncountedEvent is how much of an incomplete event is not counted in the memory budget, so
	// that events of usual size pass while it is exhausted.
	maxUncountedEvent = readBufferSize
)

// errEventTooLarge indicates an event of more than maxEventBytes.
var errEventTooLarge = errors.New("gateway: event of the stream too large")

// Event is one event of a stream.
type Event struct {
	// Raw is the event as received, with the blank line that ends it.
	Raw []byte
	// ID is the event's ID; empty if it has none.
	ID string
	// Data is the event's data.
	Data []byte
}

// eventSplitter splits a stream into complete events. If a replica stops within an event, the
// partial event must not be forwarded: the resumed stream sends it again from its start.
type eventSplitter struct {
	hold   *buffer.Hold
	buffer []byte
	// counted is the number of buffered bytes that are counted in the memory budget.
	counted int
}

// add appends received bytes and returns the events that they complete. An error means that what is
// left of them can't be buffered.
func (s *eventSplitter) add(data []byte) ([]Event, error) {
	s.buffer = append(s.buffer, data...)
	var events []Event
	for {
		end, size := findEventEnd(s.buffer)
		if end < 0 {
			return events, s.countPartialEvent()
		}
		raw := bytes.Clone(s.buffer[:end+size])
		s.buffer = s.buffer[end+size:]
		events = append(events, parseEvent(raw))
	}
}

// countPartialEvent counts the buffered bytes of an incomplete event in the memory budget.
func (s *eventSplitter) countPartialEvent() error {
	if len(s.buffer) > maxEventBytes {
		return errEventTooLarge
	}
	size := max(0, len(s.buffer)-maxUncountedEvent)
	if size <= s.counted {
		s.hold.Shrink(buffer.Event, s.counted-size)
	} else if err := s.hold.Grow(buffer.Event, size-s.counted); err != nil {
		return err
	}
	s.counted = size
	return nil
}

// release gives back what is counted in the memory budget.
func (s *eventSplitter) release() {
	s.hold.Shrink(buffer.Event, s.counted)
	s.buffer, s.counted = nil, 0
}

// hasPartialEvent reports whether bytes of an incomplete event are buffered.
func (s *eventSplitter) hasPartialEvent() bool { return len(bytes.TrimSpace(s.buffer)) > 0 }

// findEventEnd returns the position and size of the line breaks that end the first event; the
// position is -1 if the event is incomplete.
func findEventEnd(b []byte) (at, size int) {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	if crlf >= 0 && (lf < 0 || crlf < lf) {
		return crlf, 4
	}
	return lf, 2
}

func parseEvent(raw []byte) Event {
	e := Event{Raw: raw}
	first := true
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			e.ID = string(value)
		case "data":
			if !first {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
			first = false
		}
	}
	return e
}
