package httpconn

import (
	"bytes"
	"io"
	"regexp"

	"github.com/pkg/errors"
)

// ErrMalformed is an ErrResponseLost: what the server sent is no response to a call. It shows a fault of the
// server, unlike a connection that breaks.
var ErrMalformed = errors.Wrap(ErrResponseLost, "malformed response")

// soundStatusLine matches the beginning of a status line (RFC 9112, 4) with a status that a call may get: one of
// an interim response, which may come unasked (RFC 9110, 15.2), or of an answer. 101 is left out, since no call
// asks for another protocol. net/http's parser takes any three digits, a sign, more spaces and other versions.
var soundStatusLine = regexp.MustCompile(`^HTTP/1\.[01] (?:10[02-9]|1[1-9][0-9]|[2-5][0-9]{2})[ \r\n]`)

const (
	statusLinePrefix = "HTTP/"
	// statusLineStart is the length of what soundStatusLine matches, in bytes.
	statusLineStart = len("HTTP/1.1 200 ")
	// maxQuotedLine bounds how much of a malformed line an error quotes, in bytes.
	maxQuotedLine = 32
)

func checkStatusLine(line []byte) error {
	if soundStatusLine.Match(line) {
		return nil
	}
	return errors.Wrapf(ErrMalformed, "status line %q", line[:min(len(line), maxQuotedLine)])
}

// peekStatusLine checks the status line of the response that is read next, as soon as its beginning has arrived.
// Lines without the prefix of one are left to the parser, which refuses them.
func (c *conn) peekStatusLine() error {
	for {
		line, err := c.reader.Peek(c.reader.Buffered())
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			line = line[:end+1]
		}
		switch {
		case !bytes.HasPrefix(line, []byte(statusLinePrefix)[:min(len(line), len(statusLinePrefix))]):
			return nil
		case len(line) >= statusLineStart || bytes.HasSuffix(line, []byte("\n")):
			return checkStatusLine(line)
		case err == nil:
			_, err = c.reader.Peek(len(line) + 1)
		}
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}
