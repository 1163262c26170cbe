// Package logging writes structured log lines to an output without ever blocking the code that
// logs.
package logging

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"
)

const (
	// queueCapacity is the number of lines that may wait for the output. If its reader stalls,
	// further lines are dropped rather than calls delayed.
	queueCapacity = 2048
	// linesPerSecond and burstLines bound the lines of an instance to about ten times what it
	// writes at its highest known load, 60 calls per second.
	linesPerSecond = 1500
	burstLines     = 3000
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
)

// Writer is a log.Handler that writes lines of JSON from the goroutine that calls Run.
type Writer struct {
	lines   chan line
	limiter *rate.Limiter
	dropped atomic.Int64
}

type line struct {
	Time    time.Time  `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`
}

// New returns a writer. It writes nothing until Run is called.
func New() *Writer {
	return &Writer{lines: make(chan line, queueCapacity), limiter: rate.NewLimiter(linesPerSecond, burstLines)}
}

// HandleLog implements log.Handler. It never blocks: if the queue is full or the rate exceeded, it
// drops the line and counts it, and the count is logged later. The rate limit does not apply to
// warnings and errors.
func (w *Writer) HandleLog(e *log.Entry) error {
	if e.Level < log.WarnLevel && !w.limiter.Allow() {
		w.dropped.Add(1)
		return nil
	}
	select {
	case w.lines <- line{Time: e.Timestamp, Level: e.Level.String(), Message: e.Message, Fields: e.Fields}:
	default:
		w.dropped.Add(1)
	}
	return nil
}

// Run writes lines to output until ctx ends, and then those still queued.
func (w *Writer) Run(ctx context.Context, output io.Writer) {
	buffered := bufio.NewWriter(output)
	defer buffered.Flush()
	encoder := json.NewEncoder(buffered)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case l := <-w.lines:
			writeLine(encoder, l)
			if len(w.lines) == 0 {
				buffered.Flush()
			}
		case <-ticker.C:
			w.reportDropped(encoder)
			buffered.Flush()
		case <-ctx.Done():
			for len(w.lines) > 0 {
				writeLine(encoder, <-w.lines)
			}
			return
		}
	}
}

// writeLine encodes a line. If its fields can't be encoded, it writes the line without them and
// sets the field "unencodable".
func writeLine(encoder *json.Encoder, l line) {
	for name, value := range l.Fields {
		if err, ok := value.(error); ok {
			l.Fields[name] = err.Error()
		}
	}
	if encoder.Encode(l) != nil {
		l.Fields = log.Fields{"unencodable": true}
		_ = encoder.Encode(l)
	}
}

func (w *Writer) reportDropped(encoder *json.Encoder) {
	if n := w.dropped.Swap(0); n > 0 {
		writeLine(encoder, line{Time: time.Now(), Level: "warn", Message: "log lines dropped", Fields: log.Fields{"lines": n}})
	}
}
