package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against lists of thousands of replicas that take longer than the transfer may on a slow link.
// Large responses must arrive compressed and whole, small ones as they are.
func TestLargeResponsesToInstancesAreCompressed(t *testing.T) {
	for _, size := range []int{100, 10 * minCompressedBytes} {
		is := is.New(t)
		body := strings.Repeat("x", size)
		server := httptest.NewServer(compressed(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })))
		response, err := http.Get(server.URL + "/path")
		is.NoErr(err)
		got, err := io.ReadAll(response.Body)
		is.NoErr(err)
		response.Body.Close()
		server.Close()
		is.Equal(string(got), body)
		is.Equal(response.Uncompressed, size >= minCompressedBytes)
	}
}
