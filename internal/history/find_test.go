package history

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
)

// othersThan returns the machines whose keepers do not hold a shard.
func (cl *cluster) othersThan(role *ShardAssignment) []*machine {
	var others []*machine
	for _, m := range cl.machines {
		if !role.hasHolder(m.name) {
			others = append(others, m)
		}
	}
	return others
}

// Guards against a turn that a program can't continue, since the keepers that lack it are slow: it belongs to another
// program, all keepers may be asked for it, and those that lack it are silent, or their backups confirm nothing.
func TestSlowKeepersHideNoTurnOfAnotherProgram(t *testing.T) {
	faults := map[string]func(cl *cluster, slow []*machine){
		"silent": func(_ *cluster, slow []*machine) {
			for _, m := range slow {
				m.pause()
			}
		},
		"unconfirmed": func(cl *cluster, slow []*machine) {
			for _, a := range slow {
				for _, b := range cl.machines {
					if a != b {
						cl.setLinkDown(a.name, b.name, true)
					}
				}
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			testOnCluster(t, func(t *testing.T) *cluster { return newCluster(t, 10, 1) }, func(cl *cluster, fail func(error)) {
				c := cl.client("entry")
				fail(retainTurn(c, "p", "first", ""))
				role := cl.roleOf("p")
				fault(cl, cl.othersThan(&role))
				start := time.Now()
				chain, err := c.findChain(context.Background(), "", "first")
				if took := time.Since(start); err != nil || len(chain) != 1 || took > 5*messageDelay {
					fail(errors.Errorf("got %d turns and %v after %v, want the turn at once", len(chain), err, took))
				}
			})
		})
	}
}

// Guards against a turn that counts as absent although a keeper that may have it did not answer, and against calls
// that go on after the answer.
func TestTurnIsAbsentOnlyByTheWordOfAllPrimaries(t *testing.T) {
	testOnCluster(t, func(t *testing.T) *cluster { return newCluster(t, 10, 1) }, func(cl *cluster, fail func(error)) {
		c := cl.client("entry")
		if _, err := c.findChain(context.Background(), "", "absent"); !errors.Is(err, gateway.ErrNoSuchTurn) {
			fail(errors.Errorf("got %v, want ErrNoSuchTurn", err))
		}
		cl.setStoreUnavailable(true)
		cl.machines[3].pause()
		defer cl.machines[3].resume()
		start := time.Now()
		_, search, err := c.search(context.Background(), "", "absent", reserveTimeout)
		if !errors.Is(err, ErrNoKeeperResult) || time.Since(start) != reserveTimeout || search.absent >= ShardCount {
			fail(errors.Errorf("got %v after %v with %d shards absent, want ErrNoKeeperResult after %v", err, time.Since(start), search.absent, reserveTimeout))
		}
		if len(search.calls) != len(cl.machines) {
			fail(errors.Errorf("%d keepers asked: %v", len(search.calls), search.calls))
		}
	})
}
