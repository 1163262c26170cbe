package node

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"foxhall/internal/routing"
)

// Guards against an entry that takes callers before it is registered, and thus has no part in the fleet, and against
// one that is out of rotation as the listener for its peers, by which it was reached, is opened again.
func TestEntryIsReadyOnceItCouldBeReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newTestNode(t)
		n.setReplicas(t, 1, routing.Replica{ID: "r"})
		is.True(!n.isReady())
		n.fleet.receives.set()
		is.True(!n.isReady())
		n.fleet.listens.set()
		is.True(n.isReady())
	})
}
