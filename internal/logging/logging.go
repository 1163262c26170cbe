// Package logging writes structured log lines to an output without ever
// holding up the code that logs.
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
	// queued is the number of lines that may wait for the output. A reader that
	// has stalled costs lines beyond it, not calls.
	queueCapacity = 2048
	// perSecond and burst bound the lines of an instance: some ten times what it
	// writes at its highest load so far, of 60 calls a second.
	linesPerSecond = 1500
	burstLines     = 3000
	// dropsEvery is how often dropped lines are told.
	dropReportInterval = time.Second
)

// Writer is a log.Handler that writes lines of JSON from a goroutine of its own.
type Writer struct {
	lines   chan line
	limit   *rate.Limiter
	dropped atomic.Int64
}

type line struct {
	Time    time.Time  `json:"time"`
	Level   string     `json:"level"`
	Message string     `json:"message"`
	Fields  log.Fields `json:"fields,omitempty"`
}

// New returns a writer; Run must be called.
func New() *Writer {
	return &Writer{lines: make(chan line, queueCapacity), limit: rate.NewLimiter(linesPerSecond, burstLines)}
}

// HandleLog implements log.Handler. It never blocks: a line that has no room
// is counted, and the count is told later. Warnings and errors are not limited
// by the rate.
func (w *Writer) HandleLog(e *log.Entry) error {
	if e.Level < log.WarnLevel && !w.limit.Allow() {
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

// Run writes lines until ctx ends, and then those that wait.
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

// write encodes a line; one whose fields can't be encoded is told without them.
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
