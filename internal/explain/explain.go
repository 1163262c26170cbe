// Package explain reads the log lines of instances and tells what became of calls:
// over time for all of them, and in order for one request or program.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// callMessage is the message of the one line that ends each call, startMessage
	// that of the first line of each process.
	callMessage  = "call"
	startMessage = "start"
	// lineMost is the longest line that is read.
	maxLineBytes = 1 << 20
)

// Line is one log line.
type Line struct {
	Time    time.Time      `json:"time"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Text returns a field that holds a text; empty where there is none.
func (l *Line) Text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Millis returns a field that holds milliseconds.
func (l *Line) Millis(name string) time.Duration {
	ms, _ := l.Fields[name].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

// Log is what was read of all instances' lines, in the order of time.
type Log struct {
	Lines []Line
	// Skipped is the number of lines that are none of an instance.
	Skipped int
}

// Read reads log lines. What stands before a line's first brace, as collectors of
// logs write it, is passed over.
func Read(readers ...io.Reader) (*Log, error) {
	l := &Log{}
	for _, r := range readers {
		scanner := bufio.NewScanner(r)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l.add(scanner.Bytes())
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "read log lines")
		}
	}
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return l, nil
}

func (l *Log) add(text []byte) {
	brace := bytes.IndexByte(text, '{')
	var line Line
	if brace < 0 || json.Unmarshal(text[brace:], &line) != nil || line.Message == "" {
		l.Skipped++
		return
	}
	l.Lines = append(l.Lines, line)
}

// dataCentres returns where each instance stands, by what they said at their start.
func (l *Log) dataCentres() map[string]string {
	centres := map[string]string{}
	for i := range l.Lines {
		if line := &l.Lines[i]; line.Message == startMessage {
			centres[line.Text("instance")] = line.Text("data_centre")
		}
	}
	return centres
}

// Story returns all lines about a request or a program.
func (l *Log) Story(id string) []Line {
	var lines []Line
	for _, line := range l.Lines {
		if line.Text("request") == id || line.Text("program") == id || line.Text("previous") == id {
			lines = append(lines, line)
		}
	}
	return lines
}
