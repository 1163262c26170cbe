package jsonitems

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

const whitespace = " \t\r\n"

// scanner finds the ends of JSON values by their framing. Numbers and other words are not checked.
type scanner struct {
	data []byte
	// depth is that of the value scanned last.
	depth int
	// kinds has one bit for each open bracket, 1 for objects.
	kinds []uint64
}

// byteAt returns the byte at a position, 0 beyond the end.
func (s *scanner) byteAt(at int) byte {
	if at < len(s.data) {
		return s.data[at]
	}
	return 0
}

// space returns the first position from one on that is not white space.
func (s *scanner) space(at int) int {
	for at < len(s.data) {
		switch s.data[at] {
		case ' ', '\t', '\r', '\n':
			at++
		default:
			return at
		}
	}
	return at
}

// str returns the position after the string that begins at a position.
func (s *scanner) str(at int) (end int, ok bool) {
	for end = at + 1; end < len(s.data); end++ {
		switch c := s.data[end]; {
		case c == '"':
			return end + 1, true
		case c == '\\':
			end++
		case c < ' ':
			return end, false
		}
	}
	return len(s.data), false
}

// key reads a member's name and colon, and returns the position of its value.
func (s *scanner) key(at int) (key string, value int, ok bool) {
	if s.byteAt(at) != '"' {
		return "", at, false
	}
	end, ok := s.str(at)
	if !ok {
		return "", end, false
	}
	if inner := s.data[at+1 : end-1]; bytes.IndexByte(inner, '\\') < 0 && utf8.Valid(inner) {
		key = string(inner)
	} else if json.Unmarshal(s.data[at:end], &key) != nil {
		return "", end, false
	}
	colon := s.space(end)
	if s.byteAt(colon) != ':' {
		return "", colon, false
	}
	return key, s.space(colon + 1), true
}

// value returns the position after the value that begins at a position. If the framing is not sound, it
// returns the position of the fault and false.
func (s *scanner) value(at int) (end int, ok bool) {
	s.depth = 0
	for open := 0; ; {
		if at, ok = s.open(at, &open); !ok {
			return at, false
		}
		if at, ok = s.close(at, &open); !ok || open == 0 {
			return at, ok
		}
	}
}

// open reads the brackets, and the names of members, that begin a value, and its first value that is no
// bracket, or up to the end of an empty one.
func (s *scanner) open(at int, open *int) (int, bool) {
	for {
		switch at = s.space(at); s.byteAt(at) {
		case '{', '[':
			isObject := s.data[at] == '{'
			s.push(open, isObject)
			if at = s.space(at + 1); s.closes(at, isObject) {
				return at, true
			}
			if isObject {
				var ok bool
				if at, ok = s.name(at); !ok {
					return at, false
				}
			}
		case '"':
			return s.str(at)
		default:
			return s.word(at)
		}
	}
}

// close reads the brackets that end after a value, and the comma and name before the next one.
func (s *scanner) close(at int, open *int) (int, bool) {
	for *open > 0 {
		isObject := s.isObject(*open - 1)
		after := s.space(at)
		switch {
		case s.closes(after, isObject):
			*open--
			at = after + 1
		case s.byteAt(after) == ',' && isObject:
			return s.name(s.space(after + 1))
		case s.byteAt(after) == ',':
			return after + 1, true
		default:
			return after, false
		}
	}
	return at, true
}

func (s *scanner) closes(at int, isObject bool) bool {
	return isObject && s.byteAt(at) == '}' || !isObject && s.byteAt(at) == ']'
}

// name reads a member's name and colon without decoding it.
func (s *scanner) name(at int) (int, bool) {
	if s.byteAt(at) != '"' {
		return at, false
	}
	end, ok := s.str(at)
	if !ok {
		return end, false
	}
	if end = s.space(end); s.byteAt(end) != ':' {
		return end, false
	}
	return end + 1, true
}

// word reads a number, a literal, or other bytes that delimit nothing.
func (s *scanner) word(at int) (int, bool) {
	start := at
	for at < len(s.data) {
		switch s.data[at] {
		case '{', '}', '[', ']', ',', ':', '"', ' ', '\t', '\r', '\n':
			return at, at > start
		}
		at++
	}
	return at, at > start
}

const kindsPerWord = 64

func (s *scanner) push(open *int, isObject bool) {
	word, bit := *open/kindsPerWord, uint64(1)<<(*open%kindsPerWord)
	if word == len(s.kinds) {
		s.kinds = append(s.kinds, 0)
	}
	s.kinds[word] &^= bit
	if isObject {
		s.kinds[word] |= bit
	}
	*open++
	s.depth = max(s.depth, *open)
}

func (s *scanner) isObject(level int) bool {
	return s.kinds[level/kindsPerWord]&(1<<(level%kindsPerWord)) != 0
}
