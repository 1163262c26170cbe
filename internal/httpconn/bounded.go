package httpconn

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// ErrBodyTooLarge indicates that a message's body exceeds the bound of its reader.
var ErrBodyTooLarge = errors.New("httpconn: body too large")

// NewBoundedTransport returns a RoundTripper that sends calls by t and bounds what it reads of their
// responses: headers like those of a Pool, bodies to maxBody bytes after decompression. oversized
// counts the bodies that exceed the bound; reading them fails with ErrBodyTooLarge.
func NewBoundedTransport(t *http.Transport, maxBody int64, oversized metrics.Counter) http.RoundTripper {
	t.MaxResponseHeaderBytes = maxHeaderBytes
	return &boundedTransport{strictTransport: strictTransport{t}, maxBody: maxBody, oversized: oversized}
}

type boundedTransport struct {
	strictTransport
	maxBody   int64
	oversized metrics.Counter
}

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.strictTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = BoundBody(response.Body, t.maxBody, t.oversized)
	return response, nil
}

// BoundBody returns a body of which limit bytes can be read. If there are more, reading fails with
// ErrBodyTooLarge, which oversized counts.
func BoundBody(body io.ReadCloser, limit int64, oversized metrics.Counter) io.ReadCloser {
	return &boundedBody{ReadCloser: body, remaining: limit, oversized: oversized}
}

type boundedBody struct {
	io.ReadCloser
	// remaining is the number of bytes that may still be read; negative once there were more.
	remaining int64
	oversized metrics.Counter
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.remaining < 0 {
		return 0, ErrBodyTooLarge
	}
	// One byte more than the bound tells a body that ends at it from a longer one.
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remaining+1)])
	if b.remaining -= int64(n); b.remaining < 0 {
		b.oversized.Inc(1)
		return n - 1, ErrBodyTooLarge
	}
	return n, err
}
