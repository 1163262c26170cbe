package tool

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/step"
)

// Guards against a refusal for a service's load that keeps a step from the service for good, and against other refusals
// that count as such ones.
func TestRefusalsForLoadAreToldApart(t *testing.T) {
	for _, test := range []struct {
		status         int
		notRun, leaves bool
		want           error
		overloaded     bool
	}{
		{http.StatusServiceUnavailable, true, false, ErrRefused, true},
		{http.StatusTooManyRequests, true, false, ErrRefused, true},
		{http.StatusServiceUnavailable, true, true, ErrDraining, false},
		{http.StatusForbidden, true, false, ErrRefused, false},
		{http.StatusServiceUnavailable, false, false, nil, false},
	} {
		is := is.New(t)
		service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if test.notRun {
				w.Header().Set(HeaderNotRun, "true")
			}
			if test.leaves {
				w.Header().Set(HeaderDraining, "true")
			}
			w.WriteHeader(test.status)
		}))
		client := NewClient(time.Second, 1<<20)
		call := Call{Address: strings.TrimPrefix(service.URL, "http://"), Key: "k", Request: &step.ToolRequest{Method: "POST", Path: "/x"}}
		_, err := client.Call(context.Background(), call)
		is.True(test.want == nil && err == nil || test.want != nil && errors.Is(err, test.want))
		is.Equal(errors.Is(err, ErrOverloaded), test.overloaded)
		client.Close()
		service.Close()
	}
}
