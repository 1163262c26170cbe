package program

import (
	"crypto/sha256"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/program/programpb"
)

// chainSize is the length in bytes of a chain value. 128 bits are enough
// against accident; the log is written by foxhall alone.
const chainSize = 16

// Chain is the sum over an event and, through its Prev, over all before it.
type Chain [chainSize]byte

// Event is one numbered, chained event in the form in which the log holds it.
type Event struct {
	Seq   uint64
	Raw   []byte
	chain Chain
	pb    *programpb.Event
}

// ErrCorrupt says that an event in the log can't be read.
var ErrCorrupt = errors.New("program: corrupt event")

// Decode reads an event as the log holds it.
func Decode(raw []byte) (Event, error) {
	pb := &programpb.Event{}
	if err := proto.Unmarshal(raw, pb); err != nil {
		return Event{}, errors.Wrap(ErrCorrupt, err.Error())
	}
	if pb.Seq == 0 || pb.Kind == nil {
		return Event{}, errors.Wrap(ErrCorrupt, "no number or no content")
	}
	return Event{Seq: pb.Seq, Raw: raw, chain: chainOf(raw), pb: pb}, nil
}

func chainOf(raw []byte) Chain {
	full := sha256.Sum256(raw)
	return Chain(full[:chainSize])
}

// HashBody returns the sum by which a step's repeat is told from another step
// under the same number or key.
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

// Seal numbers and chains what was decided, as the events that follow the
// state's last one. The state is unchanged until they are applied.
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
			panic("program: an event made here does not encode: " + err.Error())
		}
		chain = chainOf(raw)
		numbered = append(numbered, Event{Seq: seq, Raw: raw, chain: chain, pb: pb})
	}
	return numbered
}

func chainBytes(seq uint64, chain Chain) []byte {
	if seq == 1 {
		return nil
	}
	return chain[:]
}
