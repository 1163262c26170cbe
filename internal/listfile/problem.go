package listfile

import (
	"fmt"
	"strings"
)

// maxPrintedProblems is the maximum number of problems in one error message.
const maxPrintedProblems = 20

// Problem describes one violation of a list's rules.
type Problem struct {
	// List is "plans" or "usage".
	List string
	// Line is the line in the operators' file, counted from 1, or 0 if there is no file or the line
	// is unknown.
	Line int
	// Entry identifies the entry, such as `plan "donors"`. Table and Name are its two parts.
	Entry string
	Table string
	Name  string
	// Key is the dotted key relative to the entry.
	Key string
	// Found describes what is wrong, Expected what would be valid.
	Found    string
	Expected string
}

// Error implements error.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.List)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	for _, part := range []string{p.Entry, p.Key, p.Found} {
		if part != "" {
			b.WriteString(": " + part)
		}
	}
	if p.Expected != "" {
		b.WriteString("; expected " + p.Expected)
	}
	return b.String()
}

// Problems contains all problems of a list or of a pair of lists.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, 0, maxPrintedProblems+1)
	for _, p := range ps[:min(len(ps), maxPrintedProblems)] {
		lines = append(lines, p.Error())
	}
	if more := len(ps) - maxPrintedProblems; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}
