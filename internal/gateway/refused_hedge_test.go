package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/httpconn"
	"foxhall/internal/routing"
)

// Guards against a hedge that is given up since replicas refused it, or could not be reached, at one moment: such an
// attempt has not run, and a further one costs no more than the first.
func TestHedgeThatReplicasRefuseGoesOnAtOnce(t *testing.T) {
	const silentAfter = 300 * time.Millisecond
	for name, refusal := range map[string]script{
		"full":               refuses,
		"connection refused": failsWith(errors.Wrap(httpconn.ErrNotSent, "connection refused")),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			settings := Settings{OnSilence: fallsSilentAfter(silentAfter)}
			route := routing.Route{Kind: routing.Idempotent, Attempts: 2}
			got := serveWith(t, nil, settings, route, Call{ID: "r", Body: []byte("b")}, nil, inOrder(hangs, refusal, refusal, succeedsWith("hedge")))
			is.Equal(got.result.Outcome, Completed)
			is.Equal(got.body, "hedge")
			is.True(got.duration < 2*silentAfter)
		})
	}
}
