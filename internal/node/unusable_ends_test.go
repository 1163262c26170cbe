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
