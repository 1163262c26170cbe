package membership

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/peer"
	"foxhall/internal/program"
)

// startOverTwirp starts an instance whose heartbeats use package peer over
// loopback. It does not run the protocol's periods.
func startOverTwirp(t *testing.T, cohort program.Cohort, secret string) *Runner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	registry := metrics.NewRegistry()
	client := peer.NewClient(secret, time.Minute, registry)
	times := DefaultTiming()
	times.ProbeTimeout = time.Minute // a busy machine must not cause a failed probe
	r := NewRunner(Options{
		Self:      cohort,
		Address:   listener.Addr().String(),
		Report:    Report{Size: 8, ConfigVersion: 5, StoreHealthy: true, Load: 250},
		Transport: PeerTransport{client},
		Timing:    times,
		Log:       &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Registry:  registry,
	})
	r.Ready()
	server := httptest.NewUnstartedServer(peer.NewServer(peer.Handlers{Heartbeats: Service{r}}, secret, registry))
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return r
}

// The protocol runs over real connections: instances join, a third member is
// probed through a helper, and a survey returns a complete report. An instance
// with another secret is rejected and learns of no member.
func TestProtocolOverTwirp(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	a, b, c := startOverTwirp(t, "dc0.a.1", "s"), startOverTwirp(t, "dc0.b.1", "s"), startOverTwirp(t, "dc1.c.1", "s")
	is.NoErr(b.joinAt(ctx, a.options.Address))
	is.NoErr(c.joinAt(ctx, a.options.Address))
	result, err := a.options.Transport.PingVia(ctx, b.options.Address, IndirectPing{
		Sender: a.View().Self.Record, Target: "dc1.c.1", TargetAddress: c.options.Address,
	})
	is.NoErr(err)
	is.True(result.Reached)
	is.Equal(result.Target.Cohort, program.Cohort("dc1.c.1"))
	c.SetReport(Report{Size: 8, ConfigVersion: 6, Load: 900})
	view := a.Survey(ctx, func(m Member) bool { return m.Report.ConfigVersion < 6 })
	m, ok := view.Member("dc1.c.1")
	is.True(ok)
	is.Equal(m.Report, Report{Size: 8, ConfigVersion: 6, Load: 900})

	stranger := startOverTwirp(t, "dc0.x.1", "other")
	is.True(stranger.joinAt(ctx, a.options.Address) != nil)
	is.Equal(len(stranger.View().Members()), 1)
	is.Equal(len(a.View().Members()), 3)
}
