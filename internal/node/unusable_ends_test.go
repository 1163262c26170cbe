package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/mirror"
	"foxhall/internal/quarantine"
)

// Guards against an odd entry that is taken for the end of its replica: contents that ran there would be held
// responsible for an end that did not happen.
func TestUnusableEntryIsNoEndOfItsReplica(t *testing.T) {
	is := is.New(t)
	n := newTestNode(t)
	good := put(replica("a", 1, false))
	good.Revision = 5
	n.mirror.Apply(mirror.Delta{Kind: mirror.Replicas, Full: true, AsOf: 5, Entries: []mirror.Entry{good}})
	n.refresh()
	content, now := quarantine.Fingerprint{7}, time.Now()
	n.quarantine.RecordEnd(content, quarantine.End{Replica: "a@1", Evidence: quarantine.Broken, At: now, Began: now}, now)
	doubted := quarantine.Standing{Doubts: 1}
	is.Equal(n.quarantine.Standing(content, time.Now()), doubted)
	n.mirror.Apply(mirror.Delta{Kind: mirror.Replicas, From: 5, AsOf: 6, Entries: []mirror.Entry{{Name: "a", Revision: 6}}})
	n.refresh()
	is.Equal(len(n.replicas.byID), 0)
	is.Equal(n.quarantine.Standing(content, time.Now()), doubted)
}

// Guards against calls to a replica whose entry has become odd shortly after a store outage: the delay for entries
// that expired is not for one that is there.
func TestUnusableEntryIsNotHeldAfterAnOutage(t *testing.T) {
	is := is.New(t)
	s := newTestReplicaSet(new(int), replica("a", 1, false), replica("b", 1, false))
	changes := s.update([]mirror.Entry{{Name: "a", Value: []byte("{")}}, []string{"b"}, time.Second)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].before.ID, "a")
	is.Equal(len(s.byID), 1)
}
