package listfile

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
)

// Name bounds: names become parts of object names and log lines.
const (
	maxNameLength      = 100
	expectedNameFormat = "1 to 100 letters, digits, '.', '_', '-', '/', '+' or '@', beginning with a letter or digit"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/+@-]*$`)

// Checker collects the problems of a list, entry by entry.
type Checker struct {
	Problems  Problems
	list      string
	table     string
	entry     string
	name      string
	index     int
	positions *Positions
}

// NewChecker returns a checker of the named list; positions may be nil.
func NewChecker(list string, positions *Positions) *Checker {
	return &Checker{list: list, positions: positions}
}

// Enter begins the index-th entry of a table; name may be empty.
func (c *Checker) Enter(table string, index int, name string) {
	c.table, c.index, c.name = table, index, name
	c.entry = table + " " + strconv.Quote(name)
	if name == "" {
		c.entry = fmt.Sprintf("%s number %d", table, index+1)
	}
}

// Add records a problem of the current entry.
func (c *Checker) Add(key, expected, format string, args ...any) {
	c.Problems = append(c.Problems, Problem{
		List: c.list, Entry: c.entry, Table: c.table, Name: c.name, Key: key,
		Line:  c.positions.Line(c.table, c.index, key),
		Found: fmt.Sprintf(format, args...), Expected: expected,
	})
}

// Name checks a name that must be given.
func (c *Checker) Name(key, value string) {
	if len(value) > maxNameLength || !namePattern.MatchString(value) {
		c.Add(key, expectedNameFormat, "%q", value)
	}
}

// Range checks that a whole number lies between two bounds.
func (c *Checker) Range(key string, value, low, high int64) {
	if value < low || value > high {
		c.Add(key, fmt.Sprintf("%d to %d", low, high), "%d", value)
	}
}

// NotNegative checks a whole number without an upper bound.
func (c *Checker) NotNegative(key string, value int64) {
	if value < 0 {
		c.Add(key, "0 or more", "%d", value)
	}
}

// Number checks that a number is finite and lies between 0 and high.
func (c *Checker) Number(key string, value, high float64) {
	if math.IsNaN(value) || value < 0 || value > high {
		c.Add(key, fmt.Sprintf("0 to %g", high), "%g", value)
	}
}

// Unique checks that name has not been seen and notes it.
func (c *Checker) Unique(key string, seen map[string]bool, name string) {
	if seen[name] {
		c.Add(key, "each name once", "%q is listed twice", name)
	}
	seen[name] = true
}
