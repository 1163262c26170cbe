package mirror

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"foxhall/internal/store"
)

// TestCopiesAgree makes random changes at one copy, which follows the store, and exchanges deltas
// between random copies. After each exchange, a copy that knows a version must hold exactly what
// the store held at that version.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		copies := []*Mirror{New(), New(), New()}
		history := map[store.Version]string{}
		stored := map[string]store.Version{}
		version := store.Version(1)
		copies[0].Apply(Delta{Kind: Replicas, Full: true, AsOf: version})
		history[version] = format(stored)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			name := fmt.Sprint(rapid.IntRange(0, 4).Draw(rt, "name"))
			switch rapid.SampledFrom([]string{"put", "remove", "list", "exchange", "exchange"}).Draw(rt, "step") {
			case "put":
				version++
				stored[name] = version
				copies[0].Apply(Delta{Kind: Replicas, From: version - 1, AsOf: version, Entries: []Entry{{Name: name, Revision: version}}})
			case "remove":
				version++
				delete(stored, name)
				copies[0].Apply(Delta{Kind: Replicas, From: version - 1, AsOf: version, Removed: []Entry{{Name: name, Revision: version}}})
			case "list":
				version++
				d := Delta{Kind: Replicas, Full: true, AsOf: version}
				for n, r := range stored {
					d.Entries = append(d.Entries, Entry{Name: n, Revision: r})
				}
				copies[0].Apply(d)
			case "exchange":
				from := copies[rapid.IntRange(0, 2).Draw(rt, "from")]
				to := copies[rapid.IntRange(1, 2).Draw(rt, "to")]
				asOf, known := to.AsOf(Replicas)
				if d, lacks := from.Since(Replicas, asOf, known); lacks {
					to.Apply(d)
				}
			}
			history[version] = format(stored)
			for i, m := range copies {
				asOf, known := m.AsOf(Replicas)
				if held := format(versions(m)); known && held != history[asOf] {
					rt.Fatalf("copy %d holds %s as of %d, where the store held %s", i, held, asOf, history[asOf])
				}
			}
		}
	})
}

func versions(m *Mirror) map[string]store.Version {
	held := map[string]store.Version{}
	for _, e := range m.Entries(Replicas) {
		held[e.Name] = e.Revision
	}
	return held
}

func format(held map[string]store.Version) string { return fmt.Sprint(held) }

// Guards against a return to an older configuration: a delayed response of a peer that arrives
// after a newer one must have no effect.
func TestOlderDeltaChangesNothing(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Apply(Delta{Kind: Config, Full: true, AsOf: 9, Entries: []Entry{{Name: ConfigName, Revision: 9}}})
	is.True(!m.Apply(Delta{Kind: Config, Full: true, AsOf: 7, Entries: []Entry{{Name: ConfigName, Revision: 7}}}))
	is.True(!m.Apply(Delta{Kind: Config, From: 3, AsOf: 8, Removed: []Entry{{Name: ConfigName, Revision: 8}}}))
	e, ok := m.Get(Config, ConfigName)
	is.True(ok)
	is.Equal(e.Revision, store.Version(9))
}

// Guards against calls to a draining replica: the store's response to a poll lacks the change, and
// the listing that has it bears the same version. The listing must be applied.
func TestListingOfTheSameVersionIsApplied(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Apply(Delta{Kind: Replicas, Full: true, AsOf: 4, Entries: []Entry{{Name: "r", Revision: 3}}})
	m.Apply(Delta{Kind: Replicas, From: 4, AsOf: 6})
	is.True(m.Apply(Delta{Kind: Replicas, Full: true, AsOf: 6, Entries: []Entry{{Name: "r", Revision: 5}}}))
	e, _ := m.Get(Replicas, "r")
	is.Equal(e.Revision, store.Version(5))
}

// Guards against use of a replaced configuration after a suspension, when the store's last response
// seems recent. State marked as stale must count as never confirmed.
func TestStaleStateIsUnconfirmed(t *testing.T) {
	is := is.New(t)
	m := New()
	now := time.Now()
	m.Confirm(Config, now)
	is.Equal(m.Age(Config, now), time.Duration(0))
	m.MarkStale()
	is.True(m.Age(Config, now) > time.Hour)
}
