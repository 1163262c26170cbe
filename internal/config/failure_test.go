package config

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/plan"
	"foxhall/internal/standin"
	"foxhall/internal/store"
)

// setTokens sets one plan's token budget by an edit based on the accepted version.
func setTokens(is *is.I, client store.Client, name string, tokens int64) Accepted {
	editor := NewEditor(client)
	pair, base, err := editor.Get(context.Background(), 0)
	is.NoErr(err)
	accepted, err := editor.Apply(context.Background(), Proposal{Operator: "ana", Base: base, Plans: withTokens(pair.Plans, name, tokens)})
	is.NoErr(err)
	return accepted
}

// hookedClient calls beforeCall once, before the first Put of an object of kind, or before the first
// Delete if onDelete is set.
type hookedClient struct {
	store.Client
	kind       string
	onDelete   bool
	beforeCall func()
}

func (h *hookedClient) runHook(kind string, deleting bool) {
	if h.beforeCall == nil || kind != h.kind || deleting != h.onDelete {
		return
	}
	call := h.beforeCall
	h.beforeCall = nil
	call()
}

func (h *hookedClient) Put(ctx context.Context, key store.Key, value []byte, base store.Version) (store.Version, error) {
	h.runHook(key.Kind, false)
	return h.Client.Put(ctx, key, value, base)
}

func (h *hookedClient) Delete(ctx context.Context, key store.Key, base store.Version) error {
	h.runHook(key.Kind, true)
	return h.Client.Delete(ctx, key, base)
}

// The store applies the update that accepts an edit, loses the response and is down until the
// operator's deadline: the operator gets ErrOutcomeUnknown. Another operator then edits another plan.
// When the first operator repeats the same edit, the result is the version at which it had been
// accepted; nothing is written, so the other operator's edit is kept.
func TestEditAcceptedButAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := standin.NewStore()
		setTokens(is, s, "p1", 1)
		pair, base, err := NewEditor(s).Get(context.Background(), 0)
		is.NoErr(err)
		proposal := Proposal{Operator: "rui", Base: base, Plans: withTokens(pair.Plans, "p2", 7)}

		client := &hookedClient{Client: s, kind: KindManifest, beforeCall: func() { s.SetFaults(standin.StoreFaults{LoseAnswers: 1}) }}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		go func() { time.Sleep(time.Millisecond); s.SetFaults(standin.StoreFaults{Down: true}) }()
		_, err = NewEditor(client).Apply(ctx, proposal)
		is.True(errors.Is(err, ErrOutcomeUnknown))

		s.SetFaults(standin.StoreFaults{})
		setTokens(is, s, "p3", 3)
		accepted, err := NewEditor(s).Apply(context.Background(), proposal)
		is.NoErr(err)
		is.True(accepted.Repeated)
		records, err := NewEditor(s).History(context.Background(), 10)
		is.NoErr(err)
		is.Equal(len(records), 3)
		is.Equal(records[1].Version, accepted.Version) // the second of three edits, accepted once
	})
}

// A data centre of two instances is isolated from the store and from the other data centre during
// three edits. Its instances stay ready with their last version. When only the connection to the other
// data centre is restored, the peers deliver all three edits within half of propagationLimit and
// without the store.
func TestDataCentreIsolatedDuringThreeEdits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster("", "", "", "")
		defer c.close()
		first := setTokens(is, c.store, "p1", 1)
		time.Sleep(propagationLimit)
		for _, n := range c.nodes[2:] {
			n.client.setFaults(true, false)
			n.isolated.Store(true)
		}
		setTokens(is, c.store, "p1", 2)
		setTokens(is, c.store, "p2", 3)
		last := setTokens(is, c.store, "p1", 4)
		time.Sleep(time.Minute)
		for _, n := range c.nodes[2:] {
			is.Equal(n.Current().Version, first.Version)
			ready, _ := n.source.Load().Ready()
			is.True(ready) // it continues to serve
			n.isolated.Store(false)
		}
		time.Sleep(propagationLimit / 2)
		for _, n := range c.nodes {
			is.Equal(n.Current().Version, last.Version)
			is.Equal(n.Current().Plans.Lookup("p1").Budget.Tokens, int64(4))
		}
	})
}

// Instances restart while the store is down. An instance with a disk has its configuration at once;
// one without a disk gets the highest version of its peers; one that reaches neither store nor peers
// reports why it is not ready. No instance returns to an older version, even if the store serves a
// stale read first when it is available again.
func TestRestartedWithStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t.TempDir(), "", "")
		defer c.close()
		setTokens(is, c.store, "p1", 1)
		time.Sleep(propagationLimit) // so that version 1 is read and can be returned by stale reads
		last := setTokens(is, c.store, "p1", 2)
		time.Sleep(propagationLimit)
		c.store.SetFaults(standin.StoreFaults{Down: true})

		durable, diskless := c.nodes[0], c.nodes[1]
		durable.stop()
		durable.isolated.Store(true)
		durable.start()
		is.Equal(durable.Current().Version, last.Version) // before the store and the peers are queried
		diskless.stop()
		diskless.start()
		time.Sleep(startupTimeout)
		is.Equal(diskless.Current().Version, last.Version)
		diskless.stop()
		diskless.isolated.Store(true)
		diskless.start()
		time.Sleep(propagationLimit)
		ready, reason := diskless.source.Load().Ready()
		is.True(!ready)
		is.True(strings.HasPrefix(reason, "no configuration: "))

		durable.client.setFaults(false, true)
		c.store.SetFaults(standin.StoreFaults{})
		time.Sleep(2 * time.Minute)
		is.Equal(durable.Current().Version, last.Version)
		is.Equal(diskless.Current().Version, last.Version)
	})
}

// An editor is paused after it wrote its chunks and before it updates the manifest. Meanwhile a
// collection finds the chunks unreferenced and removes them. The editor's update must then fail and be
// repeated, or an accepted edit would be unreadable.
func TestCollectionRacesPausedEdit(t *testing.T) {
	is := is.New(t)
	s := standin.NewStore()
	setTokens(is, s, "p1", 1)
	removed := 0
	client := &hookedClient{Client: s, kind: KindManifest, beforeCall: func() {
		done, err := NewEditor(s).Collect(context.Background(), 1)
		is.NoErr(err)
		removed = done.Removed
	}}
	setTokens(is, client, "p1", 2)
	is.True(removed > 0)
	pair, _, err := NewEditor(s).Get(context.Background(), 0)
	is.NoErr(err)
	is.Equal(pair.Plans.Lookup("p1").Budget.Tokens, int64(2))
}

// A collection has listed a chunk as unreferenced and is paused before it deletes it. An edit restores
// the same contents and finds the chunk in the store. The deletion must then fail.
func TestCollectionRacesEditRestoringContents(t *testing.T) {
	is := is.New(t)
	s := standin.NewStore()
	setTokens(is, s, "p1", 1)
	setTokens(is, s, "p1", 2)
	setTokens(is, s, "p1", 3)
	client := &hookedClient{Client: s, kind: KindChunk, onDelete: true, beforeCall: func() { setTokens(is, s, "p1", 1) }}
	done, err := NewEditor(client).Collect(context.Background(), 0)
	is.NoErr(err)
	is.Equal(done.Rewritten, 1)
	pair, _, err := NewEditor(s).Get(context.Background(), 0)
	is.NoErr(err)
	is.Equal(pair.Plans.Lookup("p1").Budget.Tokens, int64(1))
}

// An operator's base is older than the kept history. The changes since the base are unknown, so the
// edit is rejected instead of possibly reverting them.
func TestBaseOlderThanHistoryRefused(t *testing.T) {
	is := is.New(t)
	s := standin.NewStore()
	first := setTokens(is, s, "p1", 1)
	setTokens(is, s, "p1", 2)
	setTokens(is, s, "p1", 3)
	_, err := NewEditor(s).Collect(context.Background(), 1)
	is.NoErr(err)
	_, err = NewEditor(s).Apply(context.Background(), Proposal{
		Operator: "rui", Base: first.Version, Plans: plan.Restore([]plan.Plan{testPlan("p1", 9)}),
	})
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.True(conflict.BaseExpired)
}

// An edit of one plan transfers the plan's chunk and the manifest, not the whole list. The chunks of
// the usage list do not change, and the manifest includes the new chunk, so that a watching source
// need not read it.
func TestEditMovesOneChunk(t *testing.T) {
	is := is.New(t)
	s := standin.NewStore()
	plans := plan.Restore(nil)
	for _, name := range []string{"p1", "p2", "p3", "p4"} {
		plans = withTokens(plans, name, 1)
	}
	_, err := NewEditor(s).Apply(context.Background(), Proposal{Operator: "ana", Plans: plans, Usage: testUsage(plans)})
	is.NoErr(err)
	before, err := NewEditor(s).head(context.Background())
	is.NoErr(err)
	setTokens(is, s, "p1", 2)
	after, err := NewEditor(s).head(context.Background())
	is.NoErr(err)
	is.Equal(after.manifest.Sections.Grants, before.manifest.Sections.Grants)
	is.Equal(len(after.manifest.Inline), 1)
}

// A chunk in an operator's cache is damaged. It must be read from the store again, or every edit from
// that machine would fail.
func TestDamagedCacheReadsStore(t *testing.T) {
	is := is.New(t)
	s, folder := standin.NewStore(), t.TempDir()
	setTokens(is, s, "p1", 1)
	h, err := NewEditor(s).head(context.Background())
	is.NoErr(err)
	h.manifest.Sections.digests(func(d Digest) {
		is.NoErr(os.WriteFile(chunkCache{folder}.path(d), []byte("damaged"), 0o600))
	})
	setTokens(is, s, "p2", 2) // the manifest no longer includes the first chunk
	pair, _, err := NewCachedEditor(s, folder).Get(context.Background(), 0)
	is.NoErr(err)
	is.Equal(len(pair.Plans.Plans), 2)
	pair, _, err = NewCachedEditor(s, folder).Get(context.Background(), uint64(h.version))
	is.NoErr(err)
	is.Equal(len(pair.Plans.Plans), 1)
}

// The store is down for ten minutes. Each source retries with backoff and jitter, at most one call
// every few seconds. When the store is available again, the calls are spread over the backoff interval
// and not made at once.
func TestOutageCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const instances, outage = 20, 10 * time.Minute
		c := newCluster(make([]string, instances)...)
		defer c.close()
		setTokens(is, c.store, "p1", 1)
		time.Sleep(propagationLimit)
		calls := func() (total int64) {
			for _, n := range c.nodes {
				total += n.source.Load().client.Calls()
			}
			return total
		}
		before := calls()
		c.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(outage)
		during := float64(calls()-before) / instances / outage.Minutes()
		t.Logf("%.1f calls a minute for each instance during the outage", during)
		is.True(during < 30)
		c.store.SetFaults(standin.StoreFaults{})
		before = calls()
		time.Sleep(100 * time.Millisecond)
		t.Logf("%d of %d instances call in the first 100 ms after the outage", calls()-before, instances)
		is.True(calls()-before < instances/2)
	})
}

// The store is so slow that a starting instance without peers can't read all chunks within the timeout
// of one attempt. Each attempt must keep the chunks that it read, or the instance would never be ready.
func TestFirstStartWithSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := standin.NewStore()
		plans := make([]plan.Plan, 2000)
		for i := range plans {
			plans[i] = testPlan(fmt.Sprint("p", i), 1)
		}
		_, err := NewEditor(s).Apply(context.Background(), Proposal{Operator: "ana", Plans: plan.Restore(plans)})
		is.NoErr(err)
		s.SetFaults(standin.StoreFaults{Delay: 1500 * time.Millisecond})
		source := NewSource(s, Options{})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = source.Run(ctx) }()
		time.Sleep(2 * time.Minute)
		is.True(source.Current() != nil)
		is.Equal(len(source.Current().Plans.Plans), 2000)
	})
}

// Only one of a hundred instances can reach the store. An edit spreads from it to the others, from
// peer to peer, within propagationLimit.
func TestEditSpreadsByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(make([]string, 100)...)
		defer c.close()
		setTokens(is, c.store, "p1", 1)
		time.Sleep(propagationLimit)
		for _, n := range c.nodes[1:] {
			n.client.setFaults(true, false)
		}
		start := time.Now()
		accepted := setTokens(is, c.store, "p1", 2)
		outdated := func() (count int) {
			for _, n := range c.nodes {
				if n.Current().Version < accepted.Version {
					count++
				}
			}
			return count
		}
		for outdated() > 0 && time.Since(start) < time.Minute {
			time.Sleep(time.Millisecond)
		}
		var offers int64
		for _, n := range c.nodes {
			offers += n.source.Load().offered.Count()
		}
		t.Logf("in force on 100 instances after %v, %d manifests offered", time.Since(start), offers)
		is.True(time.Since(start) < propagationLimit)
	})
}

// A source follows the object API over HTTP: it reads, watches, and resumes its watch after the store
// was down.
func TestSourceOverHTTP(t *testing.T) {
	is := is.New(t)
	s := standin.NewStore()
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := store.NewHTTP(server.URL, time.Minute)
	source := NewSource(client, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- source.Run(ctx) }()
	for tokens := int64(1); tokens <= 4; tokens++ {
		accepted := setTokens(is, client, "p1", tokens)
		awaitVersion([]*Source{source}, accepted.Version)
		is.Equal(source.Current().Plans.Lookup("p1").Budget.Tokens, tokens)
		if tokens == 2 {
			s.SetFaults(standin.StoreFaults{Down: true})
			s.SetFaults(standin.StoreFaults{})
		}
	}
	cancel()
	is.NoErr(<-done)
}
