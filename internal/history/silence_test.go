package history

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
	"foxhall/internal/history/historypb"
)

// entrySilence is how long a keeper sends nothing before entries no longer call it, and heartbeat how long after
// a silence its next datagram arrives at the latest.
const (
	entrySilence = 450 * time.Millisecond
	heartbeat    = 150 * time.Millisecond
)

// watchfulEntry is an entry that notices the silence of keepers, as it does by their missing datagrams.
type watchfulEntry struct {
	entry
	// silent holds the keepers in a silence, with its beginning and end.
	silent map[string]span
}

type span struct{ from, to time.Time }

func (e *watchfulEntry) isSilent(name string) bool {
	s, ok := e.silent[name]
	return ok && time.Since(s.from) > entrySilence && time.Now().Before(s.to.Add(heartbeat))
}

// Keeper implements Keepers. No other entry reaches a silent keeper either.
func (e *watchfulEntry) Keeper(name string) (historypb.Keeper, bool) {
	if e.isSilent(name) {
		return unreachableKeeper{}, true
	}
	return e.entry.Keeper(name)
}

// OnSilence implements Keepers.
func (e *watchfulEntry) OnSilence(name string, f func()) (stop func()) {
	s, ok := e.silent[name]
	if !ok || time.Now().After(s.from.Add(entrySilence)) {
		return func() {}
	}
	timer := time.AfterFunc(time.Until(s.from.Add(entrySilence)), f)
	return func() { timer.Stop() }
}

// unreachableKeeper is a keeper that the other entries report as unreachable.
type unreachableKeeper struct{ historypb.Keeper }

var errUnreachable = errors.New("status 503")

func (unreachableKeeper) Reserve(context.Context, *historypb.ReserveRequest) (*historypb.ReserveResponse, error) {
	return nil, errUnreachable
}

func (unreachableKeeper) Settle(context.Context, *historypb.SettleRequest) (*historypb.SettleResponse, error) {
	return nil, errUnreachable
}

func (unreachableKeeper) Find(context.Context, *historypb.FindRequest) (*historypb.FindResponse, error) {
	return nil, errUnreachable
}

// longestSilence is the longest silence of a sound keeper.
const longestSilence = 1500 * time.Millisecond

// silence makes keepers silent for a time, and returns the client of an entry that notices it.
func (cl *cluster) silence(keepers []string, d time.Duration) *Client {
	e := &watchfulEntry{entry: entry{cluster: cl, name: "entry"}, silent: map[string]span{}}
	for _, name := range keepers {
		e.silent[name] = span{from: time.Now(), to: time.Now().Add(d)}
		m := cl.machine(name)
		m.pause()
		time.AfterFunc(d, m.resume)
	}
	return NewClient(e, func() (Assignment, bool) {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		return cl.assignment, cl.version > 0
	}, cl.logger("entry"))
}

// settleTurn settles a turn with a timeout.
func settleTurn(c *Client, turn string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	retained := &gateway.Turn{ID: turn, Input: []byte(turn), Ended: time.Now()}
	return c.Settle(ctx, gateway.Settlement{Program: "p", Turn: turn, RetainedTurn: retained, Retention: time.Hour})
}

func reserveTurn(c *Client, turn string) error {
	_, err := c.Reserve(context.Background(), gateway.Reservation{Program: "p", Turn: turn, MaxOutputTokens: 1, Budget: 10, Retain: true, Retention: time.Hour})
	return err
}

// Guards against a turn that is refused, or broken off after its whole answer, because keepers were silent for a while.
func TestSilenceOfKeepersEndsNoTurn(t *testing.T) {
	const retainTimeout = 2 * time.Second // the gateway's
	silent := map[string]func(r *ShardAssignment) []string{
		"primary":     func(r *ShardAssignment) []string { return []string{r.Primary} },
		"a backup":    func(r *ShardAssignment) []string { return r.Backups[:1] },
		"all backups": func(r *ShardAssignment) []string { return r.Backups },
		"all holders": func(r *ShardAssignment) []string { return r.holders() },
	}
	for name, keepers := range silent {
		for _, d := range []time.Duration{600 * time.Millisecond, time.Second, longestSilence} {
			for _, after := range []time.Duration{0, entrySilence / 2, entrySilence + 50*time.Millisecond} {
				t.Run(fmt.Sprint(name, " for ", d, " since ", after), func(t *testing.T) {
					testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
						fail(reserveTurn(cl.client("entry"), "first"))
						role := cl.roleOf("p")
						c := cl.silence(keepers(&role), d)
						time.Sleep(after)
						settled := make(chan error)
						go func() { settled <- settleTurn(c, "first", retainTimeout) }()
						fail(errors.Wrap(reserveTurn(c, "second"), "reserve"))
						fail(errors.Wrap(<-settled, "settle"))
					})
				})
			}
		}
	}
}

// Guards against a settlement that ends before the time that the gateway gives it: the answer is whole, and can't be
// had elsewhere.
func TestSettlementGoesOnWhileThereIsTime(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		fail(reserveTurn(cl.client("entry"), "first"))
		role := cl.roleOf("p")
		c := cl.silence(role.holders(), 2*longestSilence)
		began := time.Now()
		fail(settleTurn(c, "first", 4*longestSilence))
		if took := time.Since(began); took > 2*longestSilence+suspectTimeout {
			fail(errors.Errorf("settled only %v after the beginning of a silence of %v", took, 2*longestSilence))
		}
	})
}

// Guards against a turn that is refused because one keeper is silent, although others have the turn of another program
// that it continues.
func TestTurnOfAnotherProgramIsFoundBesideASilentKeeper(t *testing.T) {
	testOnFourKeepers(t, func(cl *cluster, fail func(error)) {
		fail(retainTurn(cl.client("entry"), "p", "first", ""))
		silent := cl.client("entry").holdersToAsk(nil)[0]
		heir := ""
		for i := 0; heir == ""; i++ {
			if name := fmt.Sprint("heir", i); cl.roleOf(name).Primary != silent {
				heir = name
			}
		}
		c := cl.silence([]string{silent}, 2*longestSilence)
		began := time.Now()
		fail(retainTurn(c, heir, "second", "first"))
		if took := time.Since(began); took > entrySilence+suspectTimeout {
			fail(errors.Errorf("took %v", took))
		}
	})
}
