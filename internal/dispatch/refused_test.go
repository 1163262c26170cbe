package dispatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/engine"
	"foxhall/internal/owner"
	"foxhall/internal/step"
	"foxhall/internal/tool"
)

// Guards against steps that fail since each upstream refused them, or could not be reached, at one moment, although the
// upstreams accept calls again long before the deadline.
func TestStepOutlastsAMomentAtWhichNoUpstreamAcceptsIt(t *testing.T) {
	const moment = 500 * time.Millisecond
	for _, test := range []struct {
		name  string
		tool  error
		model engine.Error
	}{
		{"refused", tool.ErrOverloaded, engine.Error{Class: engine.ErrNotRun, Status: http.StatusServiceUnavailable}},
		{"not sent", tool.ErrNotSent, engine.Error{Class: engine.ErrNotSent}},
	} {
		for kind, work := range map[string]func() *owner.Work{"tool": func() *owner.Work { return toolWork(false) }, "model": modelWork} {
			t.Run(test.name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f, e := newFakes(t)
					until := time.Now().Add(moment)
					f.tool = func(context.Context, string) (tool.Response, error) {
						if time.Now().Before(until) {
							return tool.Response{}, test.tool
						}
						return tool.Response{Status: 200}, nil
					}
					f.engine = func(context.Context, string, func(engine.Chunk) error) (*engine.Response, error) {
						if time.Now().Before(until) {
							return nil, &test.model
						}
						return testResponse(`{"role":"assistant","content":"a"}`), nil
					}
					r := f.run(e, work(), nil)
					is.Equal(r.Outcome, step.Done)
					is.True(len(f.sent) <= maxRapidRefusals+1+int(moment/refusalBackoff))
					is.Equal(f.admitted, 0)
					is.Equal(f.reserved, 0)
				})
			})
		}
	}
}

// Guards against steps that are sent until their deadline although no upstream can be reached.
func TestStepThatReachesNoUpstreamFailsSoon(t *testing.T) {
	for kind, work := range map[string]func() *owner.Work{"tool": func() *owner.Work { return toolWork(false) }, "model": modelWork} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f, e := newFakes(t)
				f.tool = func(context.Context, string) (tool.Response, error) { return tool.Response{}, tool.ErrNotSent }
				f.engine = func(context.Context, string, func(engine.Chunk) error) (*engine.Response, error) {
					return nil, &engine.Error{Class: engine.ErrNotSent}
				}
				began := time.Now()
				r := f.run(e, work(), nil)
				is.Equal(r.Outcome, step.NotRun)
				is.True(r.RetryAfter > 0)
				is.True(time.Since(began) < 2*maxUnreached)
				is.Equal(f.admitted, 0)
				is.Equal(f.reserved, 0)
			})
		})
	}
}
