package logging

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	_ "foxhall/internal/fuzzing" // one processor under the race detector
)

// Guards against calls that hang because the reader of standard output has stalled. Lines beyond
// the queue must be dropped at once, and their number logged when the reader continues.
func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	var out bytes.Buffer
	var elapsed time.Duration
	synctest.Test(t, func(t *testing.T) {
		w := New()
		logger := &log.Logger{Handler: w, Level: log.InfoLevel}
		began := time.Now()
		for range 3 * queueCapacity {
			logger.WithField("request", "r").Warn("call")
		}
		elapsed = time.Since(began)
		ctx, cancel := context.WithCancel(context.Background())
		go w.Run(ctx, &out)
		time.Sleep(2 * dropReportInterval)
		cancel()
		synctest.Wait()
	})
	is := is.New(t)
	is.Equal(elapsed, time.Duration(0))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), queueCapacity+1)
	var last line
	is.NoErr(json.Unmarshal([]byte(lines[queueCapacity]), &last))
	is.Equal(last.Message, "log lines dropped")
	is.Equal(last.Fields["lines"], float64(2*queueCapacity))
}

// Guards against errors that are logged as "{}", since they have no exported fields.
func TestErrorsAreWrittenAsText(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := New()
	(&log.Logger{Handler: w, Level: log.InfoLevel}).WithField("cause", errors.New("gone")).Info("call")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	w.Run(ctx, &out)
	is.True(strings.Contains(out.String(), `"cause":"gone"`))
}
