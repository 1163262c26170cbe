package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// MaxEventBytes is the largest size of an event in a stream.
const MaxEventBytes = 1 << 20

// errTruncated indicates that a stream ended before its end marker, or without a finish reason or
// usage.
var errTruncated = errors.New("stream ended early")

var (
	dataField = []byte("data:")
	doneData  = []byte("[DONE]")
)

// readEvents calls onEvent with the data of every server-sent event up to the end marker, doneData.
// The lines and the data of an event are limited to MaxEventBytes, so that a faulty engine cannot
// exhaust the memory. A stream without the end marker is an error, since a truncated response must
// not count as a complete one.
func readEvents(r io.Reader, onEvent func(data []byte) error) error {
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

// appendData appends the data of a line to the event. Lines of other fields are skipped.
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
