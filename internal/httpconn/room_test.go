package httpconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"foxhall/internal/fuzzing"
)

func TestMain(m *testing.M) {
	fuzzing.Fix(51, 100)
	os.Exit(m.Run())
}

func (p *Pool) open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openCount
}

// Guards against calls that are placed where the pool then refuses them, or kept from where it would take
// them, and against connections above a limit that was lowered. The oracle is the number of calls under
// way.
func TestRoomOfAPoolMatchesItsCalls(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		pool := NewPool(server.Listener.Addr().String())
		var calls []*Response
		limit := 1
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			limit = max(0, limit+rapid.IntRange(-2, 2).Draw(rt, "limit"))
			switch step := rapid.IntRange(0, 4).Draw(rt, "step"); {
			case step <= 1:
				free := len(calls) < limit
				is.Equal(pool.HasRoom(limit), free)
				response, err := pool.Do(context.Background(), get("/"), limit)
				is.Equal(err == nil, free)
				if err == nil {
					calls = append(calls, response)
				} else {
					is.True(errors.Is(err, ErrConnectionLimit))
				}
			case step <= 3 && len(calls) > 0:
				if step == 2 {
					_, err := io.ReadAll(calls[0].Body)
					is.NoErr(err)
				}
				calls[0].Close()
				calls = calls[1:]
				limit = pool.limit
			default:
				pool.CloseIfUnused(limit)
				if len(calls) == 0 {
					pool = NewPool(pool.address)
				}
			}
			is.True(pool.open() <= max(limit, len(calls)))
			is.Equal(pool.inUse(), len(calls))
			is.Equal(pool.HasIdleConnection(), pool.open() > len(calls))
		}
		for _, response := range calls {
			response.Close()
		}
		pool.Close()
	})
}

// Guards against an entry that can't call a replica at all in a fleet that is larger than the limit, and
// against the whole limit for an entry that doesn't know the others yet.
func TestShareOfConnections(t *testing.T) {
	is := is.New(t)
	is.Equal(Share(400, 51, false), 6)
	is.Equal(Share(400, 51, true), 5)
	is.Equal(Share(400, 4, false), 87)
	is.Equal(Share(400, 4, true), 37)
	is.Equal(Share(400, 1, false), 350)
	is.Equal(Share(400, 0, true), 1)
	is.Equal(Share(4, 1, false), 4)
	is.Equal(Share(10, 51, false), 1)
}
