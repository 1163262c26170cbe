package listfile

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
)

// Names are limited in length and characters because they become parts of object names and log lines.
const (
	maxNameLength      = 100
	expectedNameFormat = "1 to 100 letters, digits, '.', '_', '-', '/', '+' or '@', beginning with a letter or digit"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/+@-]*$`)

// Checker validates the entries of a list and collects their problems. Its methods apply to the
// current entry, which BeginEntry sets; key is the dotted key of the checked value in that entry.
type Checker struct {
	Problems  Problems
	list      string
	table     string
	entry     string
	name      string
	index     int
	positions *Positions
}

// NewChecker returns a checker for the named list. Without positions (nil) problems have no line.
func NewChecker(list string, positions *Positions) *Checker {
	return &Checker{list: list, positions: positions}
}

// BeginEntry makes an entry of a table the current one. The index counts from 0; name may be empty.
func (c *Checker) BeginEntry(table string, index int, name string) {
	c.table, c.index, c.name = table, index, name
	c.entry = table + " " + strconv.Quote(name)
	if name == "" {
		c.entry = fmt.Sprintf("%s number %d", table, index+1)
	}
}

// AddProblem adds a problem of the current entry. The format and its arguments tell what was found.
func (c *Checker) AddProblem(key, expected, format string, args ...any) {
	c.Problems = append(c.Problems, Problem{
		List: c.list, Entry: c.entry, Table: c.table, Name: c.name, Key: key,
		Line:  c.positions.Line(c.table, c.index, key),
		Found: fmt.Sprintf(format, args...), Expected: expected,
	})
}

// ValidName checks that a required name has a valid length and characters.
func (c *Checker) ValidName(key, value string) {
	if len(value) > maxNameLength || !namePattern.MatchString(value) {
		c.AddProblem(key, expectedNameFormat, "%q", value)
	}
}

// IntRange checks that an integer is between low and high, both inclusive.
func (c *Checker) IntRange(key string, value, low, high int64) {
	if value < low || value > high {
		c.AddProblem(key, fmt.Sprintf("%d to %d", low, high), "%d", value)
	}
}

// NotNegative checks that an integer is 0 or above.
func (c *Checker) NotNegative(key string, value int64) {
	if value < 0 {
		c.AddProblem(key, "0 or more", "%d", value)
	}
}

// FloatRange checks that a floating-point number is finite and between 0 and high, both inclusive.
func (c *Checker) FloatRange(key string, value, high float64) {
	if math.IsNaN(value) || value < 0 || value > high {
		c.AddProblem(key, fmt.Sprintf("0 to %g", high), "%g", value)
	}
}

// Unique checks that name is not in seen, and adds it.
func (c *Checker) Unique(key string, seen map[string]bool, name string) {
	if seen[name] {
		c.AddProblem(key, "each name once", "%q is listed twice", name)
	}
	seen[name] = true
}
