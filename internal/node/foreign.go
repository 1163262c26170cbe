package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// fleetHeader names the sender's fleet in requests between instances.
	fleetHeader = "Foxhall-Fleet"
	// foreignLogInterval is the least time between two log lines on requests of another fleet.
	foreignLogInterval = time.Minute
)

// fleetTransport states the fleet of this instance in its requests to others.
type fleetTransport struct {
	http.RoundTripper
	fleet string
}

// RoundTrip implements http.RoundTripper.
func (t fleetTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.fleet != "" {
		r = r.Clone(r.Context())
		r.Header.Set(fleetHeader, t.fleet)
	}
	return t.RoundTripper.RoundTrip(r)
}

// refuseForeign refuses requests that state another fleet than this instance's. One that states none, as from an
// instance of an earlier version or without the setting, is accepted.
//
// It prevents the following failure: a process of another system, left at an address that this one uses, exchanges
// its lists with this system's instances, and takes records that are lost with it.
func refuseForeign(h http.Handler, fleet string, logger log.Interface, registry metrics.Registry) http.Handler {
	refused := metrics.GetOrRegisterCounter("peers.foreign", registry)
	var mu sync.Mutex
	var logged time.Time
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sender := r.Header.Get(fleetHeader)
		if sender == "" || fleet == "" || sender == fleet {
			h.ServeHTTP(w, r)
			return
		}
		refused.Inc(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		mu.Lock()
		defer mu.Unlock()
		if now := time.Now(); now.Sub(logged) > foreignLogInterval {
			logged = now
			logger.WithField("from", r.RemoteAddr).WithField("fleet", sender).Error("request of an instance of another fleet refused")
		}
	})
}
