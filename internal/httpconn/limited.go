package httpconn

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// limitedReader fails with ErrHeaderTooLarge once more than the allowed bytes or parts were read.
//
// It prevents the following failure: a faulty server sends bytes without a line feed, all of them are
// held in search of the end of the status line, and the instance exceeds its memory.
type limitedReader struct {
	reader io.Reader
	// limited is false while a body is read. remaining and remainingParts are the numbers of bytes and of
	// reads still allowed.
	limited                   bool
	remaining, remainingParts int
	// total is the number of bytes read so far.
	total int64
	// err is the error of the last read. What is parsed from the bytes before it may hide it.
	err error
}

func (r *limitedReader) limit(bytes, parts int) {
	r.limited, r.remaining, r.remainingParts = true, bytes, parts
}

func (r *limitedReader) unlimit() { r.limited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(p []byte) (n int, err error) {
	n, r.err = r.read(p)
	r.total += int64(n)
	return n, r.err
}

func (r *limitedReader) read(p []byte) (int, error) {
	if !r.limited {
		return r.reader.Read(p)
	}
	if r.remaining == 0 || r.remainingParts == 0 {
		return 0, ErrHeaderTooLarge
	}
	n, err := r.reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.remainingParts--
	return n, err
}

// skipBody reads the body of a response to another call. After an error the connection is unusable:
// the rest of a body that is not read to its end would be taken for the call's own response.
func skipBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBody+1))
	switch {
	case err != nil:
		return errors.Wrap(err, "response to another call")
	case n > maxStrayBody:
		return errors.New("response to another call is too long to be skipped")
	case response.Close:
		return errors.New("connection closes after a response to another call")
	default:
		return nil
	}
}
