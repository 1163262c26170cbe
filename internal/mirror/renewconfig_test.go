package mirror

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/mirror/mirrorpb"
	"foxhall/internal/store"
)

// configTest is an instance that has read the configuration.
type configTest struct {
	*is.I
	store    *fakeStore
	mirror   *Mirror
	follower *Follower
	relay    *Relay
}

func runConfigTest(t *testing.T, test func(c *configTest)) {
	synctest.Test(t, func(t *testing.T) {
		c := &configTest{I: is.New(t), store: newFakeStore(), mirror: New()}
		quiet := &log.Logger{Handler: discard.Default}
		c.follower = NewFollower(c.mirror, storeClient{c.store, "i"}, quiet)
		c.relay = NewRelay("i", "a", c.mirror, c.follower, nil, quiet)
		c.NoErr(c.follower.snapshot(t.Context(), Config))
		test(c)
	})
}

func (c *configTest) isCurrent() bool { return c.mirror.IsCurrent(Config, time.Now()) }

// told are the versions in a message of a peer that reads the store.
func (c *configTest) told(asOf store.Version, age time.Duration) []*mirrorpb.Version {
	return []*mirrorpb.Version{{Kind: string(Config), AsOf: uint64(asOf), AgeMs: age.Milliseconds()}}
}

// Guards against a configuration that counts as newer than it is: a read of the store, or a question to a peer, had its
// response late, or was of before a suspension, or a message of a peer was held up.
func TestConfigurationIsAsOldAsTheQuestionThatShowedIt(t *testing.T) {
	deadline := New().timing.changeDeadline
	for name, show := range map[string]func(c *configTest, asked time.Time){
		"read":           func(c *configTest, asked time.Time) { c.follower.prove(Config, asked, 5) },
		"peer's answer":  func(c *configTest, asked time.Time) { c.relay.proveConfig(c.told(5, 0), asked) },
		"later version":  func(c *configTest, _ time.Time) { c.relay.proveConfig(c.told(6, 0), time.Now()) },
		"old answer":     func(c *configTest, _ time.Time) { c.relay.proveConfig(c.told(5, deadline+1e6), time.Now()) },
		"peer's message": func(c *configTest, _ time.Time) { c.relay.applyConfirmations(c.told(5, 0)) },
		"suspension": func(c *configTest, _ time.Time) {
			asked := time.Now()
			c.mirror.MarkStale()
			time.Sleep(time.Millisecond)
			c.relay.proveConfig(c.told(5, 0), asked.Add(-time.Millisecond))
		},
	} {
		t.Run(name, func(t *testing.T) {
			runConfigTest(t, func(c *configTest) {
				c.True(c.isCurrent())
				time.Sleep(deadline)
				c.True(c.isCurrent())
				asked := time.Now()
				time.Sleep(deadline + 1)
				show(c, asked)
				c.True(!c.isCurrent())
				c.relay.proveConfig(c.told(5, deadline/2), time.Now())
				c.True(c.isCurrent())
			})
		})
	}
}

// Guards against a read of the store for each call without a known route or key, and against calls that wait for a store
// that does not respond.
func TestConfigurationIsReadOnDemandAtABoundedRate(t *testing.T) {
	for _, respond := range []bool{true, false} {
		runConfigTest(t, func(c *configTest) {
			deadline := c.mirror.timing.changeDeadline
			c.store.silent["i"] = !respond
			var callers sync.WaitGroup
			for range 3000 {
				time.Sleep(10 * time.Millisecond)
				callers.Go(func() {
					if c.isCurrent() {
						return
					}
					asked, renewal := time.Now(), c.follower.RenewConfig()
					if renewal != nil {
						<-renewal
					}
					c.Equal(c.isCurrent(), respond)
					c.True(time.Since(asked) <= silentCallTimeout)
				})
			}
			callers.Wait()
			limit := int(30 * time.Second / deadline)
			if !respond {
				limit = configRenewalBurst + int(30*time.Second/configRenewalInterval)
			}
			c.True(c.store.calls["get"] > 0 && c.store.calls["get"] <= limit)
		})
	}
}

// Guards against reads of the store by all instances for calls without a known route or key while it responds to those that
// follow it.
func TestConfigurationStaysCurrentThroughPeers(t *testing.T) {
	runInFleetOf(t, 20, func(s *fakeStore, all []*instance) error {
		outdated := 0
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, i := range all {
				if !i.mirror.IsCurrent(Config, time.Now()) {
					outdated++
				}
			}
		}
		t.Logf("%d of 2000 not current", outdated)
		is.New(t).True(outdated < 20)
		return nil
	})
}
