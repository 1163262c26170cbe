// Package explain reads the log lines of instances and reports the outcomes of calls: a table
// over time for all calls, or all lines in order of time for one request or program.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// callMessage is the message of the line that is logged once at the end of each call.
	callMessage = "call"
	// startMessage is the message of the first line of each process.
	startMessage = "start"
	// maxLineBytes is the length of the longest line that is read; a longer one is an error.
	maxLineBytes = 1 << 20
)

// Line is one log line.
type Line struct {
	Time    time.Time      `json:"time"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// Text returns the string value of a field, or "" if the field is absent or not a string.
func (l *Line) Text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// Millis returns the duration in a field given in milliseconds, or 0 if the field is absent or
// not a number.
func (l *Line) Millis(name string) time.Duration {
	ms, _ := l.Fields[name].(float64)
	return time.Duration(ms * float64(time.Millisecond))
}

// Log holds the log lines of all instances, in order of time.
type Log struct {
	Lines []Line
	// Skipped is the number of lines read that are not log lines of an instance.
	Skipped int
}

// Read reads log lines. Text before the first brace of a line is ignored, because log
// collectors put a prefix there.
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

// dataCentres returns the data centre of each instance, as logged in its start line.
func (l *Log) dataCentres() map[string]string {
	centres := map[string]string{}
	for i := range l.Lines {
		if line := &l.Lines[i]; line.Message == startMessage {
			centres[line.Text("instance")] = line.Text("data_centre")
		}
	}
	return centres
}

// Trace returns all lines that name the request or program with this ID, or that tell of the list entry of a
// replica or of another object of the store with this ID, in order of time. If upstreams
// ended under its content, or it was rejected for that, they include what became of other calls with the
// same content. If a call was refused by the keepers of its shard, they include what happened to these.
func (l *Log) Trace(id string) []Line {
	contents := map[string]bool{}
	for i := range l.Lines {
		if line := &l.Lines[i]; line.names(id) && line.isAboutContent() {
			contents[line.Text("content")] = true
		}
	}
	var named []Line
	for _, line := range l.Lines {
		if line.names(id) {
			named = append(named, line)
		}
	}
	refusals := refusalsBy(named)
	var lines []Line
	for _, line := range l.Lines {
		if line.names(id) || line.isAboutEntry(id) || line.isAboutContent() && contents[line.Text("content")] ||
			slices.ContainsFunc(refusals, func(r shardRefusal) bool { return r.concerns(&line) }) {
			lines = append(lines, line)
		}
	}
	return lines
}

// names reports whether the line names the request or program with this ID.
func (l *Line) names(id string) bool {
	return l.Text("request") == id || l.Text("program") == id || l.Text("previous") == id || l.Text("resumes") == id
}

// contentMessages are the messages about contents under which upstreams ended.
var contentMessages = []string{
	"replica ended under a call", "call rejected: replicas ended under its content", "trial of a rejected content",
	"content cleared by a complete response",
	"upstream ended under a step", "step rejected: upstreams ended under its content",
}

func (l *Line) isAboutContent() bool { return slices.Contains(contentMessages, l.Message) }

// entryMessages are the messages about entries of replicas and other objects of the store.
var entryMessages = []string{
	"entry of a replica is unusable", "entry of a replica no longer unusable",
	"object of the store can't be read; left out", "object of the store no longer unreadable",
	"replica added", "replica draining", "replica removed",
}

func (l *Line) isAboutEntry(id string) bool {
	if !slices.Contains(entryMessages, l.Message) {
		return false
	}
	replica, _, _ := strings.Cut(l.Text("replica"), "@")
	return replica == id || l.Text("name") == id
}
