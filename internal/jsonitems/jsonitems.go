// Package jsonitems takes JSON documents of many items apart, so that an item that can't be read spoils
// no other. The rule, wherever such a document is read:
//
//   - Each item is split off by its framing alone (brackets, strings, commas) and decoded by itself.
//   - An item that is no JSON, nested too deep or too large has a Problem. The others hold.
//   - Where an item destroys the framing, reading goes on at the next item that is recognised. Where none
//     can be found any more, what was read holds, and the document counts as incomplete.
//
// Splitting is iterative and takes time linear in the document's bytes. Items share its memory.
package jsonitems

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Bounds are the bounds of one document. An item beyond Bytes or Depth has a Problem; items beyond Count
// are not read, and the document is incomplete.
type Bounds struct {
	// Bytes is the size of the largest item in bytes, Depth its depth of nesting, Count the number of items.
	Bytes, Depth, Count int
	// Recognise reports whether JSON is an item of the expected shape. Items after one that destroyed the
	// framing are found by it.
	Recognise func(raw []byte) bool
}

// Problem tells why an item can't be read; empty for none.
type Problem string

// The problems of items.
const (
	Malformed Problem = "no JSON"
	TooDeep   Problem = "nested too deep"
	TooLarge  Problem = "too large"
)

// Item is one item of a document.
type Item struct {
	Raw     []byte
	Problem Problem
}

// Document is a JSON object with an array of items.
type Document struct {
	Items []Item
	// Members are the object's other members as they stand.
	Members map[string][]byte
	// Complete is false if there may be items that were not found.
	Complete bool
}

// ErrNotADocument indicates bytes that are no JSON object, or whose items are no array.
var ErrNotADocument = errors.New("jsonitems: not an object with an array of items")

const (
	// scanShare is how far the end of an item is searched, in the size of the largest item.
	scanShare = 4
	// searchBytes bounds the bytes that are scanned once more in search of items after broken ones.
	searchBytes = 64 << 20
	// maxTailBytes bounds the part of a document that follows its items, where a broken item precedes it.
	maxTailBytes = 1024
)

// phase is what comes next in a document.
type phase int

const (
	atMember phase = iota
	atFirstItem
	atItem
	afterItems
	afterObject
	// misframed is after bytes that do not belong to the framing.
	misframed
	// lost is where no more items can be found.
	lost
)

// splitter is the state of Split.
type splitter struct {
	scanner
	bounds   Bounds
	member   string
	document *Document
	// searchLeft is the number of bytes that may still be scanned in search of items.
	searchLeft int
	// began is set once the array of items has begun.
	began bool
}

// Split takes apart a document whose items are in the array of that member. An absent or null array has no
// items.
func Split(data []byte, member string, bounds Bounds) (*Document, error) {
	s := &splitter{
		scanner: scanner{data: data}, bounds: bounds, member: member, searchLeft: searchBytes,
		document: &Document{Members: map[string][]byte{}},
	}
	at := s.space(0)
	if s.byteAt(at) != '{' {
		return nil, ErrNotADocument
	}
	next := atMember
	if at = s.space(at + 1); s.byteAt(at) == '}' {
		at, next = at+1, afterObject
	}
	for next != lost {
		if at = s.space(at); next == afterObject && at == len(data) {
			break
		}
		at, next = s.step(at, next)
	}
	if value, exists := s.document.Members[member]; !s.began && (next == lost || exists && string(value) != "null") {
		return nil, ErrNotADocument
	}
	s.document.Complete = next != lost
	return s.document, nil
}

// step reads one part of the document, and returns the position and the phase after it.
func (s *splitter) step(at int, now phase) (int, phase) {
	switch now {
	case atMember:
		return s.readMember(at)
	case atFirstItem:
		if s.byteAt(at) == ']' {
			return at + 1, afterItems
		}
		return s.readItem(at)
	case atItem:
		return s.readItem(at)
	case afterItems:
		return s.readSeparator(at)
	default:
		if !s.began {
			return at, lost
		}
		return s.find(at)
	}
}

func (s *splitter) readMember(at int) (int, phase) {
	key, value, ok := s.key(at)
	if !ok {
		return at, misframed
	}
	if key == s.member && !s.began && s.byteAt(value) == '[' {
		s.began = true
		return value + 1, atFirstItem
	}
	end, ok := s.value(value)
	if !ok {
		return value, misframed
	}
	s.document.Members[key] = s.data[value:end]
	return s.readSeparator(s.space(end))
}

// readSeparator reads what follows a member.
func (s *splitter) readSeparator(at int) (int, phase) {
	switch s.byteAt(at) {
	case ',':
		return at + 1, atMember
	case '}':
		return at + 1, afterObject
	default:
		return at, misframed
	}
}

func (s *splitter) readItem(at int) (int, phase) {
	if len(s.document.Items) >= s.bounds.Count {
		return at, lost
	}
	end, ok := s.itemEnd(at)
	after := s.space(end)
	separator := s.byteAt(after)
	if !ok || separator != ',' && separator != ']' {
		return s.readBroken(at, end)
	}
	s.add(s.data[at:end])
	if separator == ']' {
		return after + 1, afterItems
	}
	return after + 1, atItem
}

// itemEnd returns the end of the item at a position. An item that takes in those after it is given up early,
// since each such item would else cost a scan of all that follow.
func (s *splitter) itemEnd(at int) (end int, ok bool) {
	all := s.data
	s.data = all[:min(len(all), at+scanShare*s.bounds.Bytes)]
	end, ok = s.value(at)
	s.data = all
	return end, ok
}

// add appends an item whose framing is sound.
func (s *splitter) add(raw []byte) {
	s.document.Items = append(s.document.Items, Item{Raw: raw, Problem: s.bounds.problemOf(raw, s.depth)})
}

func (b *Bounds) problemOf(raw []byte, depth int) Problem {
	switch {
	case len(raw) > b.Bytes:
		return TooLarge
	case depth > b.Depth:
		return TooDeep
	case !json.Valid(raw):
		return Malformed
	default:
		return ""
	}
}

// ItemOf returns a document of a single item.
func (b *Bounds) ItemOf(data []byte) Item {
	s := scanner{data: data}
	if _, ok := s.value(0); !ok {
		return Item{Raw: data, Problem: Malformed}
	}
	return Item{Raw: data, Problem: b.problemOf(data, s.depth)}
}

// readBroken appends an item that destroys the framing, and searches for what follows it. An unclosed
// bracket or string takes in following items, so the search begins at the item's own start.
func (s *splitter) readBroken(from, scanned int) (int, phase) {
	s.searchLeft -= scanned - from
	at, next := s.find(from + 1)
	end := at
	if next == lost {
		end = len(s.data)
	}
	item := Item{Raw: s.data[from:end], Problem: Malformed}
	if scanned-from >= scanShare*s.bounds.Bytes {
		item.Problem = TooLarge
	}
	s.document.Items = append(s.document.Items, item)
	return at, next
}

// find searches for the next item of the expected shape, or else for the end of the items.
func (s *splitter) find(from int) (int, phase) {
	from = min(from, len(s.data))
	for at := from; s.searchLeft > 0; {
		if item := s.space(at); s.isItem(item) {
			return item, atItem
		}
		comma := bytes.IndexByte(s.data[at:], ',')
		if comma < 0 {
			break
		}
		at += comma + 1
	}
	if s.searchLeft <= 0 {
		return from, lost
	}
	if end := s.findTail(from); end >= 0 {
		return end + 1, afterItems
	}
	return from, lost
}

// isItem reports whether an item of the expected shape begins at a position.
func (s *splitter) isItem(at int) bool {
	if s.byteAt(at) != '{' || s.byteAt(s.space(at+1)) != '"' {
		return false
	}
	end, ok := s.value(at)
	s.searchLeft -= end - at
	separator := s.byteAt(s.space(end))
	return ok && (separator == ',' || separator == ']') && s.depth <= s.bounds.Depth &&
		json.Valid(s.data[at:end]) && s.bounds.Recognise(s.data[at:end])
}

// findTail returns the position of the bracket that ends the items, or -1: what follows it must be the rest
// of a sound object.
func (s *splitter) findTail(from int) int {
	from = max(from, len(s.data)-maxTailBytes)
	for end := len(s.data); from < end; {
		bracket := bytes.LastIndexByte(s.data[from:end], ']')
		if bracket < 0 {
			break
		}
		end = from + bracket
		rest := bytes.TrimLeft(s.data[end+1:], whitespace)
		members, more := bytes.CutPrefix(rest, []byte{','})
		object := append([]byte{'{'}, members...)
		if json.Valid(object) && more == (len(bytes.TrimSpace(members)) > 1) {
			return end
		}
	}
	return -1
}

// Members returns the members of a JSON object as they stand. sound is false if not all of them can be split
// off; the first that can't then has all bytes that are left.
func Members(raw []byte) (members map[string][]byte, sound bool) {
	s := scanner{data: raw}
	members = map[string][]byte{}
	at := s.space(0)
	if s.byteAt(at) != '{' {
		return members, false
	}
	if at = s.space(at + 1); s.byteAt(at) == '}' {
		return members, s.space(at+1) == len(raw)
	}
	for {
		key, next, ok := s.key(at)
		if !ok {
			return members, false
		}
		end, ok := s.value(next)
		if !ok {
			members[key] = raw[next:]
			return members, false
		}
		members[key] = raw[next:end]
		if at = s.space(end); s.byteAt(at) != ',' {
			return members, s.byteAt(at) == '}' && s.space(at+1) == len(raw)
		}
		at = s.space(at + 1)
	}
}
