package instance

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"foxhall/internal/settings"
	"foxhall/internal/standin"
)

// Guards against calls that are cut since another part of the instance has failed, here its listener for peers, and
// against an instance that then runs on, or ends as if nothing had happened.
func TestFailedPartStopsInstanceInOrder(t *testing.T) {
	metrics.NewMeter() // the goroutine of the first meter never ends
	synctest.Test(t, func(t *testing.T) {
		const callTime = 3 * time.Second
		is := is.New(t)
		network := standin.NewNetwork()
		s := settings.Default()
		s.Instance, s.DataCentre = "i", "dc"
		s.Listen = settings.Listen{Callers: "127.0.0.1:2001", Peers: "127.0.0.1:2002"}
		s.Store.URL, s.Peers.Secret = "http://127.0.0.1:1", "secret-secret-secret"
		i, err := NewWithNetwork(network.Host("i"), s)
		is.NoErr(err)
		i.callerListener.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(callTime)
			_, _ = io.WriteString(w, "ok")
		})
		ended := make(chan error, 1)
		go func() { ended <- i.Run(t.Context()) }()
		time.Sleep(time.Second)

		answered := make(chan error, 1)
		go func() { answered <- callOnce(network.Host("caller"), s.Listen.Callers) }()
		time.Sleep(time.Second)
		is.NoErr(i.peerListener.listener.Close())
		is.NoErr(<-answered)
		is.True(errors.Is(<-ended, net.ErrClosed))
	})
}

// callOnce sends a call over a connection of its own and reads the answer.
func callOnce(from *standin.Host, address string) error {
	transport := &http.Transport{DialContext: from.DialContext}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address, http.NoBody)
	if err != nil {
		return err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
