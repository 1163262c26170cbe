package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// WriteTrace prints the lines about a request or a program, each with the time in seconds
// since the first line.
func WriteTrace(w io.Writer, lines []Line) error {
	for i := range lines {
		line := &lines[i]
		_, err := fmt.Fprintf(w, "%+8.3f s  %-20s %s  %s\n",
			line.Time.Sub(lines[0].Time).Seconds(), line.Text("instance"), line.Message, fieldsOf(line))
		if err != nil {
			return err
		}
	}
	return nil
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
