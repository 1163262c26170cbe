package ledger

import (
	"crypto/rand"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/ledger/ledgerpb"
	"foxhall/internal/program"
	"foxhall/internal/store"
)

// KindLog is the object kind of log entries.
const KindLog = "log"

// writeIDSize is the size in bytes of the random id that distinguishes a write from all others.
const writeIDSize = 16

// EntryKey returns the key of the entry with this number in the cohort's log. The number has a
// fixed width, so that the order of names in the store is the order of the log.
func EntryKey(c program.Cohort, number uint64) store.Key {
	return store.Key{Kind: KindLog, Name: fmt.Sprintf("%s/%012d", c, number)}
}

// Entry is the decoded form of one object of a log.
type Entry struct {
	Cohort  program.Cohort
	Number  uint64
	WriteID []byte
	Records []Record
	// Seal is set in the last entry of a sealed log, which has no records.
	Seal *Seal
}

// Seal is the last entry of a log. It names the successor of each shard.
type Seal struct {
	// By is the cohort that wrote the seal.
	By program.Cohort
	// Planned reports whether the owner itself wrote the seal at a planned stop, with nothing
	// left to record.
	Planned bool
	At      time.Time
	// Successors is the successor of each shard.
	Successors [program.ShardCount]program.Cohort
}

// newWriteID returns a random write id.
func newWriteID() []byte {
	id := make([]byte, writeIDSize)
	rand.Read(id)
	return id
}

// EncodeEntry returns the entry in its stored form.
func EncodeEntry(e Entry) []byte {
	message := &ledgerpb.Entry{Cohort: string(e.Cohort), Number: e.Number, WriteId: e.WriteID, Records: recordsToPB(e.Records)}
	if e.Seal != nil {
		message.Seal = sealToPB(e.Seal)
	}
	return encodeEnvelope(message)
}

// DecodeEntry decodes a stored entry and checks that it has this cohort and number. Errors are
// ErrCorrupt, wrapped with the entry's key.
func DecodeEntry(value []byte, c program.Cohort, number uint64) (Entry, error) {
	message := &ledgerpb.Entry{}
	name := EntryKey(c, number)
	if err := decodeEnvelope(value, message); err != nil {
		return Entry{}, errors.Wrap(err, name.String())
	}
	if message.Cohort != string(c) || message.Number != number {
		return Entry{}, errors.Wrapf(ErrCorrupt, "%s: expected this entry, found entry %d of %q", name, message.Number, message.Cohort)
	}
	records, err := recordsFromPB(message.Records)
	if err != nil {
		return Entry{}, errors.Wrap(err, name.String())
	}
	entry := Entry{Cohort: c, Number: number, WriteID: message.WriteId, Records: records}
	if message.Seal == nil {
		return entry, nil
	}
	entry.Seal, err = sealFromPB(message.Seal)
	return entry, errors.Wrap(err, name.String())
}

// encodeEnvelope encodes a message together with its checksum.
func encodeEnvelope(message proto.Message) []byte {
	body := mustMarshal(message)
	return mustMarshal(&ledgerpb.Envelope{Body: body, Checksum: xxhash.Sum64(body)})
}

// mustMarshal panics on an error. The messages are built in this package from valid parts, so an
// error means a broken invariant.
func mustMarshal(message proto.Message) []byte {
	data, err := proto.Marshal(message)
	if err != nil {
		panic(errors.Wrap(err, "ledger: marshal"))
	}
	return data
}

// decodeEnvelope checks the checksum and decodes the message. Errors are ErrCorrupt.
func decodeEnvelope(value []byte, into proto.Message) error {
	envelope := &ledgerpb.Envelope{}
	if err := proto.Unmarshal(value, envelope); err != nil {
		return errors.Wrap(ErrCorrupt, "truncated or not an envelope: "+err.Error())
	}
	if xxhash.Sum64(envelope.Body) != envelope.Checksum || len(envelope.Body) == 0 {
		return errors.Wrap(ErrCorrupt, "checksum does not match the body")
	}
	if err := proto.Unmarshal(envelope.Body, into); err != nil {
		return errors.Wrap(ErrCorrupt, "body: "+err.Error())
	}
	return nil
}

func recordsToPB(records []Record) []*ledgerpb.Record {
	messages := make([]*ledgerpb.Record, 0, len(records))
	for _, r := range records {
		message := &ledgerpb.Record{
			Program: string(r.Program), Sequence: r.Sequence, Event: r.Event,
			Kind: ledgerpb.Kind(r.Kind),
		}
		if r.Adoption != nil {
			message.Adopted = adoptionToPB(r.Adoption)
		}
		messages = append(messages, message)
	}
	return messages
}

func recordsFromPB(messages []*ledgerpb.Record) ([]Record, error) {
	records := make([]Record, 0, len(messages))
	for _, m := range messages {
		if m.Kind < 0 || m.Kind > ledgerpb.Kind(adoptionMark) || (m.Kind == ledgerpb.Kind(adoptionMark)) != (m.Adopted != nil) {
			return nil, errors.Wrapf(ErrCorrupt, "record %d: kind %d is unknown or contradicts the adoption", m.Sequence, m.Kind)
		}
		r := Record{
			Program: program.ID(m.Program), Sequence: m.Sequence, Event: m.Event,
			Kind: Kind(m.Kind),
		}
		if m.Adopted != nil {
			r.Adoption = adoptionFromPB(m.Adopted)
		}
		records = append(records, r)
	}
	return records, nil
}

func adoptionToPB(a *Adoption) *ledgerpb.Adopted {
	message := &ledgerpb.Adopted{Cohort: string(a.Cohort), Slice: uint32(a.Shard)}
	for _, c := range a.Ancestors {
		message.Ancestors = append(message.Ancestors, string(c))
	}
	for _, c := range a.Unproven {
		message.Doubted = append(message.Doubted, string(c))
	}
	return message
}

func adoptionFromPB(m *ledgerpb.Adopted) *Adoption {
	a := &Adoption{Cohort: program.Cohort(m.Cohort), Shard: int(m.Slice)}
	for _, c := range m.Ancestors {
		a.Ancestors = append(a.Ancestors, program.Cohort(c))
	}
	for _, c := range m.Doubted {
		a.Unproven = append(a.Unproven, program.Cohort(c))
	}
	return a
}

// sealToPB encodes a seal. Each successor is listed once, and each shard has its index in the list.
func sealToPB(s *Seal) *ledgerpb.Seal {
	message := &ledgerpb.Seal{By: string(s.By), Planned: s.Planned, AtUnixMs: s.At.UnixMilli()}
	index := map[program.Cohort]byte{}
	for _, c := range s.Successors {
		if _, ok := index[c]; !ok {
			index[c] = byte(len(message.Successors))
			message.Successors = append(message.Successors, string(c))
		}
		message.Slices = append(message.Slices, index[c])
	}
	return message
}

func sealFromPB(m *ledgerpb.Seal) (*Seal, error) {
	if len(m.Slices) != program.ShardCount {
		return nil, errors.Wrapf(ErrCorrupt, "seal: expected one successor index for each shard, found %d", len(m.Slices))
	}
	seal := &Seal{By: program.Cohort(m.By), Planned: m.Planned, At: time.UnixMilli(m.AtUnixMs)}
	for shard, i := range m.Slices {
		if int(i) >= len(m.Successors) {
			return nil, errors.Wrapf(ErrCorrupt, "seal has no successor for shard %d", shard)
		}
		seal.Successors[shard] = program.Cohort(m.Successors[i])
	}
	return seal, nil
}
