package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/scheduler"
)

const (
	// reachTime is how long a replica may take to accept a connection: a few ways between data
	// centres. reachTries is how often it is tried in a row, since a packet may be lost and this
	// process may stand still.
	reachTime  = 100 * time.Millisecond
	reachTries = 2
)

var errCutOff = errors.New("gateway: the replica is cut off")

// untilCutOff returns a context that ends when the replica is cut off. A call that may be
// repeated waits for its answer in vain then, until its connection gives up, while others could
// serve it. The silence of a data centre's instances alone does not tell: its replicas may run
// on, and a call that left them would run twice.
func (f *flight) untilCutOff(ctx context.Context, g *scheduler.Grant) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := f.gateway.settings.WhenSilent(g.DataCentre, func() {
		go func() {
			if !f.reachable(ctx, g) {
				cancel(errCutOff)
			}
		}()
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func wasCutOff(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCutOff) }

// silentAs tells what a sending came to whose connection went silent. The replica may run on
// and only the connection be gone.
func (f *flight) silentAs(ctx context.Context, g *scheduler.Grant) verdict {
	if f.route.Repeatable() && f.reachable(ctx, g) {
		return lost
	}
	return cutOff
}

// reachable reports whether the replica accepts connections, or the call is over.
func (f *flight) reachable(ctx context.Context, g *scheduler.Grant) bool {
	target := Target{ID: g.Upstream, Address: g.Address}
	for range reachTries {
		reached := f.gateway.replicas.Reachable(target, reachTime)
		if ctx.Err() != nil {
			return true
		}
		if reached {
			f.gateway.sendings.reached.Inc(1)
			f.gateway.logger.WithField("request", f.call.ID).WithField("replica", g.Upstream).
				WithField("unheard_ms", f.gateway.settings.Silence(g.DataCentre).Milliseconds()).
				Info("silent replica accepts a connection")
			return true
		}
	}
	return false
}
