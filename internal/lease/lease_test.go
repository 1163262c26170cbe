package lease

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"foxhall/internal/fuzzing"
	"foxhall/internal/program"
	"foxhall/internal/standin"
	"foxhall/internal/store"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(7, 60)
	os.Exit(fuzzing.RunWithoutLeaks(m))
}

// upstream is an engine that executes orders. It records as faults overlapping
// orders of two epochs and orders of an outdated epoch after a newer one.
type upstream struct {
	mu           sync.Mutex
	checksTokens bool
	observedOrders
}

// observedOrders is what an upstream recorded of its orders.
type observedOrders struct {
	highestEpoch uint64
	holder       program.Cohort
	lastEpoch    uint64    // of the last order
	busyUntil    time.Time // when the last order ends
	faults       []string
	orders       int
}

// order executes an order that takes the given time, or rejects it if its token is
// outdated and the upstream checks tokens.
func (u *upstream) order(t Token, takes time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.checksTokens && t.Epoch < u.highestEpoch {
		return
	}
	u.orders++
	u.recordFaults(t)
	u.highestEpoch, u.holder = t.Epoch, t.Holder
	u.lastEpoch, u.busyUntil = t.Epoch, time.Now().Add(takes)
}

// snapshot returns a copy of what the upstream recorded.
func (u *upstream) snapshot() observedOrders {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.observedOrders
}

func (u *upstream) recordFaults(t Token) {
	if t.Epoch < u.highestEpoch {
		u.faults = append(u.faults, fmt.Sprintf("order of epoch %d after %d", t.Epoch, u.highestEpoch))
	}
	if t.Epoch == u.highestEpoch && t.Holder != u.holder {
		u.faults = append(u.faults, fmt.Sprintf("epoch %d held by %s and %s", t.Epoch, u.holder, t.Holder))
	}
	if !u.checksTokens && u.lastEpoch != t.Epoch && time.Now().Before(u.busyUntil) {
		u.faults = append(u.faults, fmt.Sprintf("order of epoch %d during an older one", t.Epoch))
	}
}

// process is an instance that renews its leases and sends orders under them.
// While paused it neither runs its loop nor sees responses of the store.
type process struct {
	store.Client

	manager          *Manager
	mu               sync.Mutex
	resumed          chan struct{}
	storeUnreachable bool // this process can't reach the store
	upstream         *upstream
	done             chan struct{}
	cancel           context.CancelFunc
}

const tickInterval = 250 * time.Millisecond

func newTestManager(cohort program.Cohort, client store.Client) *Manager {
	m, err := NewManager(Options{
		Self:          cohort,
		Duties:        []Duty{EngineOrders, Sweeps},
		Timing:        DefaultTiming(),
		Store:         client,
		ShouldContend: func() bool { return true },
		Log:           &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Registry:      metrics.NewRegistry(),
	})
	if err != nil {
		panic(err)
	}
	return m
}

func startProcess(cohort program.Cohort, client store.Client, u *upstream) *process {
	p := &process{Client: client, upstream: u, done: make(chan struct{})}
	p.manager = newTestManager(cohort, p)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.loop(ctx)
	return p
}

// loop does what Manager.Run does, in one goroutine so that a pause stops all of it.
func (p *process) loop(ctx context.Context) {
	defer close(p.done)
	due := make(chan struct{}, 1)
	every := int(DefaultTiming().Renew / tickInterval)
	for tick := 0; ctx.Err() == nil; tick++ {
		p.waitWhilePaused()
		p.manager.checkPause(due)
		select {
		case <-due:
			tick = 0
		default:
		}
		if tick%every == 0 {
			callCtx, cancel := context.WithTimeout(ctx, DefaultTiming().Renew)
			_ = p.manager.renew(callCtx)
			cancel()
		}
		p.waitWhilePaused()
		if t, ok := p.manager.Held(EngineOrders); ok && t.MayOrder(time.Now(), p.upstream.checksTokens) {
			p.upstream.order(t, DefaultTiming().LongestOrder)
		}
		time.Sleep(tickInterval)
	}
}

func (p *process) waitWhilePaused() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (p *process) Get(ctx context.Context, key store.Key) (store.Object, error) {
	defer p.waitWhilePaused()
	if p.isStoreUnreachable() {
		return store.Object{}, store.ErrUnavailable
	}
	return p.Client.Get(ctx, key)
}

func (p *process) Put(ctx context.Context, key store.Key, value []byte, base store.Version) (store.Version, error) {
	defer p.waitWhilePaused()
	if p.isStoreUnreachable() {
		return 0, store.ErrUnavailable
	}
	return p.Client.Put(ctx, key, value, base)
}

func (p *process) isStoreUnreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.storeUnreachable
}

func (p *process) setStoreUnreachable(unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeUnreachable = unreachable
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

func (p *process) stop() {
	p.cancel()
	p.resume()
	<-p.done
}

// The holder loses the store, sends its last order right before its lease
// expires, and is paused past the expiry while the order is in flight, at an
// upstream that does not check tokens. Another instance takes the duty and sends
// orders as well. Orders of the two must never overlap: the new holder waits for
// the longest order to end, and the old one, when it resumes, finds its lease
// expired before it sends another order.
func TestHolderPausedPastExpiryWithUpstreamThatDoesNotCheckTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		objects := standin.NewStore()
		u := &upstream{}
		a := startProcess("dc.a.1", objects, u)
		defer a.stop()
		time.Sleep(time.Second)
		b := startProcess("dc.b.1", objects, u)
		defer b.stop()
		time.Sleep(10 * time.Second)
		last, held := a.manager.Held(EngineOrders)
		is.True(held)
		is.True(u.snapshot().orders > 0)
		a.setStoreUnreachable(true)
		time.Sleep(time.Until(last.Until()) - tickInterval)
		a.pause()
		time.Sleep(time.Minute)
		_, held = a.manager.Held(EngineOrders)
		is.True(!held)
		token, held := b.manager.Held(EngineOrders)
		is.True(held)
		is.Equal(u.snapshot().highestEpoch, token.Epoch) // b has sent orders
		a.setStoreUnreachable(false)
		a.resume()
		time.Sleep(time.Minute)
		is.Equal(len(u.snapshot().faults), 0)
	})
}

// A holder is paused for less than the TTL of its lease. The lease has not
// expired, but the holder must not act before it renews: its own loop does not
// show how long the pause was.
func TestPausedHolderRenewsBeforeActing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		objects := standin.NewStore()
		m := newTestManager("dc.a.1", objects)
		is.NoErr(m.renew(context.Background()))
		_, held := m.Held(EngineOrders)
		is.True(held)
		time.Sleep(DefaultTiming().Pause + time.Second)
		_, held = m.Held(EngineOrders)
		is.True(!held)
		due := make(chan struct{}, 1)
		m.checkPause(due)
		_, held = m.Held(EngineOrders)
		is.True(!held) // the loop runs again, but the lease is not renewed
		<-due
		is.NoErr(m.renew(context.Background()))
		_, held = m.Held(EngineOrders)
		is.True(held)
	})
}

// The response of the write that acquired the lease is lost. The instance reads
// in the object that it is the holder; its lease counts from before the write.
func TestLostResponseIsResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		objects := standin.NewStore()
		m := newTestManager("dc.a.1", objects)
		objects.SetFaults(standin.StoreFaults{LoseAnswers: 1, Delay: 300 * time.Millisecond})
		started := time.Now()
		is.NoErr(m.renew(context.Background()))
		token, held := m.Held(EngineOrders)
		is.True(held)
		is.True(!token.Until().After(started.Add(300*time.Millisecond + DefaultTiming().TTL - DefaultTiming().Margin))) // one read preceded the write
		objects.SetFaults(standin.StoreFaults{DropWrites: 1})
		before := token.Until()
		is.NoErr(m.renew(context.Background())) // the dropped write is repeated
		token, _ = m.Held(EngineOrders)
		is.True(token.Until().After(before))
	})
}

// After a virtual machine was suspended, its monotonic clock lags behind its wall
// clock. A token expires by either clock.
func TestTokenExpiresByEitherClock(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	soon, past := now.Add(time.Minute), now.Add(-time.Second)
	is.True(Token{validUntil: soon, validUntilWall: soon.Round(0)}.Valid(now))
	is.True(!Token{validUntil: past, validUntilWall: soon.Round(0)}.Valid(now)) // the wall clock was set back
	is.True(!Token{validUntil: soon, validUntilWall: past.Round(0)}.Valid(now)) // the monotonic clock stopped
}

// A planned stop releases the duties, and the next holder may send orders
// immediately, also to upstreams that do not check tokens.
func TestReleasedDutyIsTakenImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx := context.Background()
		objects := standin.NewStore()
		a, b := newTestManager("dc.a.1", objects), newTestManager("dc.b.1", objects)
		is.NoErr(a.renew(ctx))
		is.NoErr(b.renew(ctx))
		_, held := b.Held(Sweeps)
		is.True(!held)
		is.NoErr(a.Release(ctx))
		_, held = a.Held(Sweeps)
		is.True(!held)
		is.NoErr(b.renew(ctx))
		token, held := b.Held(Sweeps)
		is.True(held)
		is.Equal(token.Epoch, uint64(2))
		is.True(token.MayOrder(time.Now(), false))
	})
}

// An instance stops while its renewal waits for a slow store. Release must not
// wait for the renewal beyond its context and must return the context's error;
// otherwise the instance exceeds its grace period.
func TestReleaseEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		objects := standin.NewStore()
		m := newTestManager("dc.a.1", objects)
		is.NoErr(m.renew(context.Background()))
		objects.SetFaults(standin.StoreFaults{Delay: 30 * time.Second})
		var renewing sync.WaitGroup
		renewing.Go(func() { _ = m.renew(context.Background()) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		started := time.Now()
		is.True(errors.Is(m.Release(ctx), context.DeadlineExceeded))
		is.Equal(time.Since(started), time.Second)
		_, held := m.Held(Sweeps)
		is.True(!held)
		renewing.Wait()
	})
}

// Run acquires the duties, renews them many times with one write each, and ends
// without leaking a goroutine.
func TestRunRenewsWithOneWriteEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		objects := standin.NewStore()
		m := newTestManager("dc.a.1", objects)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- m.Run(ctx) }()
		time.Sleep(10 * time.Minute)
		first, held := m.Held(EngineOrders)
		is.True(held)
		is.Equal(first.Epoch, uint64(1))
		counts := objects.Counts()
		is.Equal(counts.Reads, int64(1))
		renewals := int64(10 * time.Minute / DefaultTiming().Renew)
		is.True(counts.Writes <= renewals+1)
		cancel()
		is.Equal(<-done, context.Canceled)
	})
}

// lockOperation is an acquisition or release of the lock that the results of all
// managers' Held must be consistent with. It takes effect at some time between
// two samples.
type lockOperation struct {
	process int
	acquire bool
}

var lockModel = porcupine.Model{
	Init: func() any { return -1 },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(lockOperation)
		if op.acquire {
			return state.(int) == -1, op.process
		}
		return state.(int) == op.process, -1
	},
	Equal: func(a, b any) bool { return a == b },
}

// recordHistory samples every manager's Held until stop closes and returns the
// changes.
func recordHistory(processes []*process, duty Duty, stop <-chan struct{}) []porcupine.Operation {
	const interval = 50 * time.Millisecond
	var history []porcupine.Operation
	held := make([]bool, len(processes))
	started := time.Now()
	for {
		select {
		case <-stop:
			return history
		case <-time.After(interval):
		}
		now := time.Since(started)
		for i, p := range processes {
			_, ok := p.manager.Held(duty)
			if ok != held[i] {
				held[i] = ok
				history = append(history, porcupine.Operation{
					ClientId: i, Input: lockOperation{i, ok}, Call: int64(now - interval), Return: int64(now),
				})
			}
		}
	}
}

// Pauses, outages, slowness, lost responses and lost writes happen to three
// contenders in any order. At any time at most one holds the lease, no order is
// sent under an outdated epoch or while an earlier holder's is in flight, and
// after the last fault one of them holds the lease.
func TestAtMostOneHolderUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		checks := rapid.Bool().Draw(rt, "checks")
		kinds := []string{"pause", "resume", "down", "slow", "lose", "drop", "well", "cut", "uncut"}
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) [3]int {
			return [3]int{
				rapid.IntRange(0, len(kinds)-1).Draw(rt, "kind"),
				rapid.IntRange(0, 2).Draw(rt, "process"),
				rapid.IntRange(0, 20_000).Draw(rt, "milliseconds"),
			}
		}), 1, 25).Draw(rt, "steps")
		u := &upstream{checksTokens: checks}
		var history []porcupine.Operation
		heldAtEnd := false
		synctest.Test(t, func(*testing.T) {
			objects := standin.NewStore()
			var processes []*process
			for i := range 3 {
				processes = append(processes, startProcess(program.Cohort(fmt.Sprintf("dc.i%d.1", i)), objects, u))
			}
			stop, recorded := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(recorded)
				history = recordHistory(processes, EngineOrders, stop)
			}()
			for _, s := range steps {
				p, wait := processes[s[1]], time.Duration(s[2])*time.Millisecond
				switch kinds[s[0]] {
				case "pause":
					p.pause()
				case "resume":
					p.resume()
				case "down":
					objects.SetFaults(standin.StoreFaults{Down: true})
				case "slow":
					objects.SetFaults(standin.StoreFaults{Delay: wait / 3})
				case "lose":
					objects.SetFaults(standin.StoreFaults{LoseAnswers: 2})
				case "drop":
					objects.SetFaults(standin.StoreFaults{DropWrites: 2})
				case "cut", "uncut":
					p.setStoreUnreachable(kinds[s[0]] == "cut")
				case "well":
					objects.SetFaults(standin.StoreFaults{})
				}
				time.Sleep(wait)
			}
			objects.SetFaults(standin.StoreFaults{})
			for _, p := range processes {
				p.setStoreUnreachable(false)
				p.resume()
			}
			time.Sleep(time.Minute)
			for _, p := range processes {
				_, ok := p.manager.Held(EngineOrders)
				heldAtEnd = heldAtEnd || ok
			}
			close(stop)
			<-recorded
			for _, p := range processes {
				p.stop()
			}
		})
		if !heldAtEnd {
			rt.Fatal("no process holds the lease after all faults ended")
		}
		if len(u.faults) > 0 {
			rt.Fatal(u.faults)
		}
		if !porcupine.CheckOperations(lockModel, history) {
			rt.Fatalf("two holders at one time: %+v", history)
		}
	})
}
