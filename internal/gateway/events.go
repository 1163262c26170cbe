package gateway

import (
	"bytes"
)

// Event is one event of a stream.
type Event struct {
	// Raw is the event as it came, with the blank line that ends it.
	Raw []byte
	// ID is the event's number; empty if it has none.
	ID string
	// Data is the event's data.
	Data []byte
}

// splitter cuts a stream into whole events. A replica may stop within one, and
// what came of it must not be passed on: the next run sends it whole.
type eventSplitter struct {
	buffer []byte
}

// add takes in bytes and returns the events that they complete.
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

// rest reports whether bytes of an incomplete event are left.
func (s *eventSplitter) hasPartialEvent() bool { return len(bytes.TrimSpace(s.buffer)) > 0 }

// eventEnd finds the blank line that ends the first event.
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
