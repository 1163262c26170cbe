package mirror

import (
	"foxhall/internal/mirror/mirrorpb"
	"foxhall/internal/store"
)

func encodeDelta(d Delta) *mirrorpb.Delta {
	return &mirrorpb.Delta{
		Kind:    string(d.Kind),
		Full:    d.Full,
		From:    uint64(d.From),
		AsOf:    uint64(d.AsOf),
		Entries: encodeEntries(d.Entries),
		Removed: encodeEntries(d.Removed),
	}
}

func encodeEntries(list []Entry) []*mirrorpb.Entry {
	encoded := make([]*mirrorpb.Entry, 0, len(list))
	for _, e := range list {
		encoded = append(encoded, &mirrorpb.Entry{Name: e.Name, Revision: uint64(e.Revision), Value: e.Value})
	}
	return encoded
}

func decodeEntries(list []*mirrorpb.Entry) []Entry {
	decoded := make([]Entry, 0, len(list))
	for _, e := range list {
		decoded = append(decoded, Entry{Name: e.Name, Revision: store.Version(e.Revision), Value: e.Value})
	}
	return decoded
}
