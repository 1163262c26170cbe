package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"
)

// PathWeights is the path prefix of a model's weights: PathWeights + model + "/" + version.
const PathWeights = "/v1/weights/"

// errWeightsRateExceeded indicates that the store's rate limit is exceeded or the store is down.
var errWeightsRateExceeded = errors.New("standin: weight store: rate exceeded")

// Weights is a stand-in for a rate-limited weight store.
type Weights struct {
	limiter      *rate.Limiter
	inFlight     singleflight.Group
	transferTime time.Duration

	mu      sync.Mutex
	down    bool
	fetches map[string]int
	refused int
}

// NewWeights returns a store that starts up to perSecond fetches per second, with a burst of one;
// each takes the duration transfer.
func NewWeights(perSecond float64, transfer time.Duration) *Weights {
	return &Weights{limiter: rate.NewLimiter(rate.Limit(perSecond), 1), transferTime: transfer, fetches: map[string]int{}}
}

// SetDown sets whether the store refuses all fetches.
func (w *Weights) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// Fetches returns the number of fetches by model + "/" + version.
func (w *Weights) Fetches() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := make(map[string]int, len(w.fetches))
	for name, n := range w.fetches {
		counts[name] = n
	}
	return counts
}

// Refused returns the number of refused fetches.
func (w *Weights) Refused() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}

// Fetch simulates a transfer of a model's weights. It fails at once if the rate limit is exceeded.
// Concurrent fetches of the same weights share one transfer.
func (w *Weights) Fetch(ctx context.Context, model, version string) error {
	result := w.inFlight.DoChan(model+"/"+version, func() (any, error) {
		if err := w.startFetch(model, version); err != nil {
			return nil, err
		}
		time.Sleep(w.transferTime)
		return nil, nil
	})
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Weights) startFetch(model, version string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down || !w.limiter.Allow() {
		w.refused++
		return errWeightsRateExceeded
	}
	w.fetches[model+"/"+version]++
	return nil
}

// Handler returns the store's HTTP API.
func (w *Weights) Handler() http.Handler {
	s := echo.New()
	s.GET(PathWeights+":model/:version", func(c echo.Context) error {
		if err := w.Fetch(c.Request().Context(), c.Param("model"), c.Param("version")); err != nil {
			return c.String(http.StatusTooManyRequests, err.Error())
		}
		return c.NoContent(http.StatusOK)
	})
	return s
}
