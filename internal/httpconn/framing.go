package httpconn

import (
	"net/http"

	"foxhall/internal/netdial"
)

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
