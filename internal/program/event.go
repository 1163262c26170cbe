package program

import (
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/program/programpb"
)

// chainSize is the length of a chain value in bytes. 128 bits protect against accidental
// collisions; only foxhall writes the log, so attacks need not be considered.
const chainSize = 16

// Chain is a truncated SHA-256 hash of an event and, through the event's Prev, of all events
// before it.
type Chain [chainSize]byte

// Event is a numbered and chained event. Raw is its encoding in the log.
type Event struct {
	Seq   uint64
	Raw   []byte
	chain Chain
	pb    *programpb.Event
}

// ErrCorrupt indicates that an event in the log can't be decoded or applied.
var ErrCorrupt = errors.New("program: corrupt event")

// Decode decodes an event from its encoding in the log.
func Decode(raw []byte) (Event, error) {
	pb := &programpb.Event{}
	if err := proto.Unmarshal(raw, pb); err != nil {
		return Event{}, errors.Wrap(ErrCorrupt, err.Error())
	}
	if pb.Seq == 0 || pb.Kind == nil {
		return Event{}, errors.Wrap(ErrCorrupt, "the event has no sequence number or no kind")
	}
	return Event{Seq: pb.Seq, Raw: raw, chain: chainOf(raw), pb: pb}, nil
}

// chainOf returns the chain value of an encoded event.
func chainOf(raw []byte) Chain {
	full := sha256.Sum256(raw)
	return Chain(full[:chainSize])
}

// HashBody returns the hash that distinguishes a repeat of a step from another step under the
// same number or key. Each part is preceded by its length, so that parts can't run into each other.
func HashBody(parts ...[]byte) [chainSize]byte {
	h := sha256.New()
	for _, part := range parts {
		var size [8]byte
		for i := range size {
			size[i] = byte(len(part) >> (8 * i))
		}
		h.Write(size[:])
		h.Write(part)
	}
	return [chainSize]byte(h.Sum(nil)[:chainSize])
}

// NumberEvents numbers, chains and encodes the decided events as those that follow the state's
// last event. The state does not change until they are applied.
func (s *State) NumberEvents(at time.Time, decided ...*programpb.Event) []Event {
	numbered := make([]Event, 0, len(decided))
	seq, chain := s.seq, s.chain
	for _, pb := range decided {
		seq++
		pb.Seq = seq
		pb.Prev = chainBytes(seq, chain)
		pb.At = at.UnixMilli()
		raw, err := proto.Marshal(pb)
		if err != nil {
			panic("program: encoding a new event failed: " + err.Error())
		}
		chain = chainOf(raw)
		numbered = append(numbered, Event{Seq: seq, Raw: raw, chain: chain, pb: pb})
	}
	return numbered
}

// chainBytes returns the Prev of the event with the number seq, given the chain value of the
// event before it. The first event has none.
func chainBytes(seq uint64, chain Chain) []byte {
	if seq == 1 {
		return nil
	}
	return chain[:]
}
