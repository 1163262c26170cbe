package httpconn

import (
	"compress/gzip"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Guards against an instance that exceeds its memory by a response of another instance or of the
// store: an endless body, a small compressed one, an endless header. At the bound a body is whole.
func TestBoundedTransport(t *testing.T) {
	const bound = 64 << 10
	get := func(handler http.HandlerFunc) (data []byte, oversized int64, err error) {
		server := httptest.NewServer(handler)
		defer server.Close()
		counter := metrics.NewCounter()
		client := &http.Client{Transport: NewBoundedTransport(&http.Transport{}, bound, counter)}
		defer client.CloseIdleConnections()
		response, err := client.Get(server.URL)
		if err == nil {
			data, err = io.ReadAll(response.Body)
			response.Body.Close()
		}
		return data, counter.Count(), err
	}
	zeros := strings.Repeat("0", 8*bound)

	is := is.New(t)
	data, oversized, err := get(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, zeros[:bound]) })
	is.NoErr(err)
	is.Equal(len(data), bound)
	is.Equal(oversized, int64(0))

	data, oversized, err = get(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, zeros) })
	is.True(errors.Is(err, ErrBodyTooLarge))
	is.Equal(len(data), bound)
	is.Equal(oversized, int64(1))

	data, oversized, err = get(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		packed := gzip.NewWriter(w)
		_, _ = io.WriteString(packed, zeros)
		_ = packed.Close()
	})
	is.True(errors.Is(err, ErrBodyTooLarge))
	is.Equal(len(data), bound)
	is.Equal(oversized, int64(1))

	_, _, err = get(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("A", zeros[:2*maxHeaderBytes]) })
	is.True(err != nil)
}
