package httpconn

import (
	"net/http"
	"regexp"
	"slices"

	"github.com/pkg/errors"

	"foxhall/internal/netdial"
)

// errSecondStatusLine indicates a header in which another response begins: its server stopped within a line.
// The length of the other response would count as the first one's.
var errSecondStatusLine = errors.Wrap(ErrResponseLost, "another status line within the header")

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}\b`)

// holdsStatusLine reports whether the value of a header line holds a status line.
func holdsStatusLine(h http.Header) bool {
	for _, values := range h {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// framing is what tells where the body of a response ends.
type framing uint8

const (
	// framedByLength: its Content-Length, or a status or method without a body.
	framedByLength framing = iota
	// framedByChunks: its last chunk, with the end of the trailers.
	framedByChunks
	// framedByClose: the orderly end of the connection.
	framedByClose
)

func framingOf(r *http.Response) framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return framedByChunks
	case r.ContentLength < 0:
		return framedByClose
	default:
		return framedByLength
	}
}

// provesEnd reports whether the end that the reading of a body has met is the body's own. net/http has checked
// lengths and chunks.
func (c *conn) provesEnd(f framing) bool {
	return f != framedByClose || netdial.EndedInOrder(c.netConn)
}
