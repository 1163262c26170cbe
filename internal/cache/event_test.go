package cache

import (
	"encoding/json"
	"testing"

	"foxhall/internal/engine"
)

// FuzzApply feeds arbitrary cache events of an engine to the view. The view must apply each event or
// request a resync, and must not show a block after its eviction.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"boot":"a","seq":1,"kind":"stored","blocks":[1,2]}`), []byte(`{"boot":"a","seq":2,"kind":"evicted","blocks":[2]}`))
	f.Add([]byte(`{"boot":"a","seq":1,"kind":"stored","blocks":[1]}`), []byte(`{"boot":"b","seq":9,"kind":"cleared"}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		v := New(DefaultOptions)
		v.Resync(1, engine.State{Boot: "a"})
		for _, data := range [][]byte{first, second} {
			var event engine.Event
			if json.Unmarshal(data, &event) != nil {
				return
			}
			_, before, _ := v.Position(1)
			resync := v.Apply(1, event)
			// An event with a sequence number already seen is a duplicate and has no effect.
			if resync || event.Seq <= before || event.Kind != engine.Evicted {
				continue
			}
			for _, block := range event.Blocks {
				var m Matches
				v.Lookup([]uint64{block}, &m)
				if m.Depth(1) > 0 {
					t.Fatalf("block %d is still in the view after its eviction by %s", block, data)
				}
			}
		}
	})
}
