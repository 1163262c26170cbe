package node

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/history"
	"foxhall/internal/mirror"
	"foxhall/internal/peerload"
	"foxhall/internal/store"
	"foxhall/internal/upstream"
)

// newTestFleet returns the fleet as seen by one entry, with its load exchange.
func newTestFleet(t *testing.T, members ...member) (*fleet, *peerload.Exchange) {
	is := is.New(t)
	s := &Settings{Instance: "me", IP: "10.0.0.1", DataCentre: "a", CallersAddress: "10.0.0.1:1", PeerPort: 7}
	m := mirror.New()
	d := mirror.Delta{Kind: mirror.Fleet, Full: true, AsOf: 9}
	for i, member := range members {
		value, err := json.Marshal(member)
		is.NoErr(err)
		d.Entries = append(d.Entries, mirror.Entry{Name: instancePrefix + member.Name, Revision: store.Version(i + 1), Value: value})
	}
	m.Apply(d)
	logger := &log.Logger{Handler: discard.Default}
	f := newFleet(s, m, nil, logger, metrics.NewRegistry())
	f.refresh()
	x := peerload.New("me", "a", peerload.EntryFanout, upstream.NewTable(), f.entryAddresses, logger)
	f.isReachable = func(name string) bool { return x.ReachableOrUnknown(name, partitionTimeout) }
	f.isIsolated = func() bool { return x.IsolatedFor(nil) > isolationTimeout }
	return f, x
}

// Guards against a deadlock of an entry: isReachable may take the fleet's lock, so it must not be
// called with the lock held while a path to a keeper is chosen.
func TestReachabilityIsCheckedWithoutLock(t *testing.T) {
	f, _ := newTestFleet(t, member{Name: "keeper", IP: "10.0.0.2", Keeper: true}, member{Name: "other", IP: "10.0.0.3", Entry: true})
	held := false
	f.isReachable = func(name string) bool {
		if f.mu.TryLock() {
			f.mu.Unlock()
		} else {
			held = true
		}
		return name != "keeper"
	}
	_, ok := f.Keeper("keeper")
	is := is.New(t)
	is.True(ok)
	is.True(!held)
}

// An entry of another writer that can't be decoded must not hide the other instances.
func TestUndecodableInstancesAreOmitted(t *testing.T) {
	is := is.New(t)
	f, _ := newTestFleet(t, member{Name: "k", IP: "10.0.0.2", Keeper: true})
	f.mirror.Apply(mirror.Delta{Kind: mirror.Fleet, From: 9, AsOf: 12, Entries: []mirror.Entry{
		{Name: instancePrefix + "odd", Revision: 11, Value: []byte("{")},
		{Name: assignmentName, Revision: 12, Value: []byte("[]")},
	}})
	f.refresh()
	is.Equal(f.candidates(), []history.Candidate{{Name: "k"}})
	is.Equal(f.entryCount(), 1)
	_, _, ok := f.assignment()
	is.True(!ok)
}

// countedWrites counts the writes to a store.
type countedWrites struct {
	Objects
	count int
}

func (o *countedWrites) Put(context.Context, store.Key, []byte, store.Version) (store.Version, error) {
	o.count++
	return 10, nil
}

// Guards against an instance that others count as lost, since it registers while they can't connect to it yet, and
// against one that can't be stopped while it waits for that.
func TestRegistrationWaitsForListeners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, _ := newTestFleet(t)
		objects := &countedWrites{}
		f.objects = objects
		ctx, stop := context.WithCancel(t.Context())
		var registering sync.WaitGroup
		registering.Go(func() { f.register(ctx) })
		registering.Go(func() {
			stopped, cancel := context.WithCancel(t.Context())
			cancel()
			f.register(stopped)
		})
		f.receives.set()
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(objects.count, 0)
		f.listens.set()
		time.Sleep(2 * registrationDelay)
		synctest.Wait()
		is.Equal(objects.count, 1)
		stop()
		registering.Wait()
	})
}
