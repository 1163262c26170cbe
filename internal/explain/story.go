package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// WriteTrace prints the lines about a request or a program, each with the time in seconds
// since the first line, and then for how long the turns that they continue were out of reach.
func WriteTrace(w io.Writer, lines []Line) error {
	for i := range lines {
		line := &lines[i]
		_, err := fmt.Fprintf(w, "%+8.3f s  %-20s %s  %s%s\n",
			line.Time.Sub(lines[0].Time).Seconds(), line.Text("instance"), line.Message, queueingOf(line), fieldsOf(line))
		if err != nil {
			return err
		}
	}
	for _, r := range reachOf(lines) {
		if err := r.writeTo(w); err != nil {
			return err
		}
	}
	return nil
}

// waitCauses are the causes for which a call waits in a queue, by their names in log lines.
var waitCauses = map[string]string{
	"place":         "a place at an engine",
	"better-engine": "a better engine than those with a place",
	"upstream":      "a usable engine",
}

// queueingOf states how long a call that was ordered by urgency waited in the queue and for what, or
// returns "" for any other line.
func queueingOf(line *Line) string {
	class := line.Text("class")
	if class == "" || line.Fields["queued_ms"] == nil {
		return ""
	}
	state := fmt.Sprintf("%s, rank %v", class, line.Fields["rank"])
	cause := waitCauses[line.Text("waited_for")]
	if cause == "" {
		return fmt.Sprintf("[%s: did not wait] ", state)
	}
	return fmt.Sprintf("[%s: waited %v ms for %s; %v engines full for it] ", state, line.Fields["queued_ms"], cause, line.Fields["full"])
}

// fieldsOf formats the fields of a line, sorted by name; the instance is left out.
func fieldsOf(line *Line) string {
	var names []string
	for name := range line.Fields {
		if name != "instance" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var parts []string
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, line.Fields[name]))
	}
	return strings.Join(parts, " ")
}
