package node

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"foxhall/internal/mirror"
	"foxhall/internal/store"
)

// configStore responds after a delay that a newer configuration is there.
type configStore struct {
	store.Poller
	delay time.Duration
}

func (s configStore) Get(context.Context, store.Key) (store.Object, error) {
	time.Sleep(s.delay)
	return store.Object{Version: 6}, nil
}

// Guards against a configuration that counts as current although a newer one was read and is not in force yet, and against
// calls that wait for long for that or for the store.
func TestConfigurationIsCurrentOnceItsReadIsInForce(t *testing.T) {
	const never = time.Hour
	for _, c := range []struct{ responds, inForce, waits time.Duration }{
		{4 * time.Millisecond, 8 * time.Millisecond, 14 * time.Millisecond},
		{4 * time.Millisecond, never, mirror.ConfigRenewalWait},
		{never, 0, mirror.ConfigRenewalWait},
	} {
		synctest.Test(t, func(t *testing.T) {
			is, m, inForce := is.New(t), mirror.New(), &atomic.Uint64{}
			known := []mirror.Entry{{Name: mirror.ConfigName, Revision: 5}}
			m.Apply(mirror.Delta{Kind: mirror.Config, Full: true, AsOf: 5, Entries: known})
			inForce.Store(5)
			m.OnChange(func(mirror.Kind) { time.AfterFunc(c.inForce, func() { inForce.Store(6) }) })
			follower := mirror.NewFollower(m, configStore{delay: c.responds}, &log.Logger{Handler: discard.Default})
			view := configView{m, follower, inForce}
			began := time.Now()
			is.Equal(view.IsCurrent(t.Context()), c.waits < mirror.ConfigRenewalWait)
			is.Equal(time.Since(began), c.waits)
			time.Sleep(2 * never)
		})
	}
}
