package httpconn

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"slices"

	"github.com/pkg/errors"
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

// errOldChunks indicates an HTTP/1.0 response that states a Transfer-Encoding, which that version doesn't have.
// net/http drops the header, so that the sizes of chunks would count as parts of the body.
var errOldChunks = errors.Wrap(ErrResponseLost, "Transfer-Encoding in an HTTP/1.0 response")

var (
	oldVersion       = []byte("HTTP/1.0")
	transferEncoding = regexp.MustCompile(`(?i)\ntransfer-encoding[ \t]*:`)
	headerEnd        = regexp.MustCompile(`\n\r?\n`)
)

// parseHeader reads a response up to its body, unless its framing is ambiguous.
func (c *conn) parseHeader(request *http.Request) (*http.Response, error) {
	// The kernel reports an error of the connection once, and the looks ahead would hide it.
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	if err := c.peekStatusLine(); err != nil {
		return nil, err
	}
	if c.holdsOldChunks() {
		return nil, errOldChunks
	}
	response, err := http.ReadResponse(c.reader, request)
	if err == nil && holdsStatusLine(response.Header) {
		return nil, errSecondStatusLine
	}
	return response, err
}

// holdsOldChunks reports whether the response that is read next is of HTTP/1.0 and states a Transfer-Encoding,
// or has a header beyond the buffer. An error of the reading is left to the parser.
func (c *conn) holdsOldChunks() bool {
	// The status line was looked at, so that its version is in the buffer.
	if version, _ := c.reader.Peek(min(len(oldVersion), c.reader.Buffered())); !bytes.Equal(version, oldVersion) {
		return false
	}
	for {
		head, err := c.reader.Peek(c.reader.Buffered())
		if end := headerEnd.FindIndex(head); end != nil {
			return transferEncoding.Match(head[:end[1]])
		}
		if err == nil {
			_, err = c.reader.Peek(len(head) + 1)
		}
		if err != nil {
			return errors.Is(err, bufio.ErrBufferFull)
		}
	}
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

// Cut is the part of a response within which its server closed or reset the connection.
type Cut uint8

// The parts. CutClose is a body without a length whose connection didn't end in order.
const (
	CutHeader Cut = iota
	CutLength
	CutChunks
	CutTrailers
	CutClose
	// CutCount is the number of parts.
	CutCount
)

// String returns the name in log lines and counters.
func (c Cut) String() string {
	return [...]string{"header", "length", "chunks", "trailers", "close"}[c]
}

// cutError is the error of a response that was cut short.
type cutError struct {
	cut   Cut
	cause error
}

// Error implements error.
func (e *cutError) Error() string { return "cut within " + e.cut.String() + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *cutError) Unwrap() error { return e.cause }

// CutOf returns where the response was cut short whose reading failed with err; false if it wasn't.
func CutOf(err error) (Cut, bool) {
	var cut *cutError
	if !errors.As(err, &cut) {
		return 0, false
	}
	return cut.cut, true
}

// withCut adds where a response was cut short to the error of its reading, if the server ended the connection.
func (c *conn) withCut(cut Cut, err error) error {
	if !IsBroken(c.limited.err) {
		return err
	}
	if !IsBroken(err) { // the parser's view of a line that the end of the connection has cut
		err = errors.Wrap(ErrBroken, err.Error())
	}
	return &cutError{cut, err}
}

// bodyError returns the error of a body that could not be read to its end.
func (c *conn) bodyError(f framing, err error) error {
	cut := map[framing]Cut{framedByLength: CutLength, framedByChunks: CutChunks, framedByClose: CutClose}[f]
	if f == framedByChunks && !IsBroken(err) {
		cut = CutTrailers
	}
	return c.withCut(cut, err)
}
