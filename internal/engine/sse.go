package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEvent is the largest event of a stream, in bytes.
const MaxEventBytes = 1 << 20

// errTruncated says that a stream ended before its end mark.
var errTruncated = errors.New("stream ended early")

var (
	dataField = []byte("data:")
	doneData  = []byte("[DONE]")
)

// readStream calls each with the data of every server-sent event until the
// end mark. Lines of an event are bounded by MaxEvent, so that a broken engine
// cannot fill the memory. A stream without the end mark is an error, since an
// answer cut off in the middle must not pass for a whole one.
func readStream(r io.Reader, onEvent func(data []byte) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), MaxEventBytes)
	var event []byte
	for scanner.Scan() {
		line := scanner.Bytes()
		if len(line) > 0 {
			var err error
			if event, err = appendData(event, line); err != nil {
				return err
			}
			continue
		}
		if len(event) == 0 {
			continue
		}
		if bytes.Equal(event, doneData) {
			return nil
		}
		if err := onEvent(event); err != nil {
			return err
		}
		event = event[:0]
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	if bytes.Equal(event, doneData) {
		return nil
	}
	return errTruncated
}

// appendData adds a data line to the event; lines of other fields are skipped.
func appendData(event, line []byte) ([]byte, error) {
	data, ok := bytes.CutPrefix(line, dataField)
	if !ok {
		return event, nil
	}
	data = bytes.TrimPrefix(data, []byte(" "))
	if len(event) > 0 {
		event = append(event, '\n')
	}
	if len(event)+len(data) > MaxEventBytes {
		return nil, bufio.ErrTooLong
	}
	return append(event, data...), nil
}
