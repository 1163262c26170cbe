package mirror

import (
	"foxhall/internal/mirror/mirrorpb"
	"foxhall/internal/store"
)

func wireDelta(d Delta) *mirrorpb.Delta {
	return &mirrorpb.Delta{
		Kind:    string(d.Kind),
		Full:    d.Full,
		From:    uint64(d.From),
		AsOf:    uint64(d.AsOf),
		Entries: wireEntries(d.Entries),
		Removed: wireEntries(d.Removed),
	}
}

func wireEntries(list []Entry) []*mirrorpb.Entry {
	out := make([]*mirrorpb.Entry, 0, len(list))
	for _, e := range list {
		out = append(out, &mirrorpb.Entry{Name: e.Name, Revision: uint64(e.Revision), Value: e.Value})
	}
	return out
}

func entries(list []*mirrorpb.Entry) []Entry {
	out := make([]Entry, 0, len(list))
	for _, e := range list {
		out = append(out, Entry{Name: e.Name, Revision: store.Version(e.Revision), Value: e.Value})
	}
	return out
}
