package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
)

// zeros reads as zero bytes without end, and counts them.
type zeros struct{ read int64 }

func (z *zeros) Read(p []byte) (int, error) {
	clear(p)
	z.read += int64(len(p))
	return len(p), nil
}

// Guards against an instance that exceeds its memory by a message of another instance: bodies with
// and without a stated length must end at the bound.
func TestMessagesOfPeersAreBounded(t *testing.T) {
	for _, length := range []int64{-1, 1 << 40} {
		is := is.New(t)
		n := newTestNode(t)
		body := &zeros{}
		r := httptest.NewRequest(http.MethodPost, "/twirp/foxhall.mirror.Relay/Exchange", io.NopCloser(body))
		r.ContentLength = length
		r.Header.Set("Content-Type", "application/protobuf")
		w := httptest.NewRecorder()
		n.peerHandler().ServeHTTP(w, r)
		is.True(w.Code >= 400)
		is.True(body.read <= 2*maxPeerBytes)
		is.Equal(metrics.GetOrRegisterCounter("peers.oversized", n.registry).Count(), int64(1))
	}
}
