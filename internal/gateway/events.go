package gateway

import (
	"bytes"
)

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
	buffer []byte
}

// add appends received bytes and returns the events that they complete.
func (s *eventSplitter) add(data []byte) []Event {
	s.buffer = append(s.buffer, data...)
	var events []Event
	for {
		end, size := findEventEnd(s.buffer)
		if end < 0 {
			return events
		}
		raw := bytes.Clone(s.buffer[:end+size])
		s.buffer = s.buffer[end+size:]
		events = append(events, parseEvent(raw))
	}
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
