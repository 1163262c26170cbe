package listfile

import (
	"fmt"
	"strings"
)

// maxPrinted bounds the problems that one message prints.
const maxPrintedProblems = 20

// Problem is one thing wrong with a list.
type Problem struct {
	// List is "plans" or "usage".
	List string
	// Line is the line in the operators' file, from 1; 0 where there is no file.
	Line int
	// Entry names the entry, such as `plan "donors"`; Table and Name are its parts.
	Entry string
	Table string
	Name  string
	// Key is the dotted key within the entry.
	Key string
	// Found says what is wrong, Expected what would be right.
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

// Problems are all the things wrong with a list or a pair of lists.
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
