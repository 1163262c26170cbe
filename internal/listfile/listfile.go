// Package listfile decodes the operators' lists from TOML and records the line of each entry and key,
// so that validation, which runs on the decoded values, can report the line of a problem.
package listfile

import (
	"bytes"
	"sort"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/pkg/errors"
)

// Positions contains the lines of the entries and keys of a decoded list. A nil *Positions contains
// none.
type Positions struct {
	// lines is keyed by path, such as "plan[0].budget.tokens".
	lines map[string]int
}

// Decode decodes the TOML text of the named list into target, which is a pointer. Unknown keys are
// refused. The error has type Problems.
func Decode(list string, text []byte, target any) (*Positions, error) {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return nil, problemsFromError(list, err)
	}
	return findPositions(text), nil
}

// Line returns the line, counted from 1, of a key in an entry of an array of tables; index counts the
// entries from 0. For a key that is absent or in an inline table it returns the line of the enclosing
// key or entry. It returns 0 if the line is unknown.
func (p *Positions) Line(table string, index int, key string) int {
	if p == nil {
		return 0
	}
	entry := entryPath(table, index)
	for key != "" {
		if line := p.lines[entry+"."+key]; line > 0 {
			return line
		}
		lastDot := strings.LastIndexByte(key, '.')
		key = key[:max(lastDot, 0)]
	}
	return p.lines[entry]
}

// problemsFromError converts an error of the TOML decoder.
func problemsFromError(list string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var problems Problems
		for i := range strict.Errors {
			problems = append(problems, problemFromDecodeError(list, &strict.Errors[i], "a key that foxhall knows"))
		}
		return problems
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return Problems{problemFromDecodeError(list, decode, "")}
	}
	return Problems{{List: list, Found: err.Error()}}
}

func problemFromDecodeError(list string, err *toml.DecodeError, expected string) Problem {
	line, _ := err.Position()
	found := strings.TrimPrefix(err.Error(), "toml: ")
	return Problem{List: list, Key: strings.Join(err.Key(), "."), Line: line, Found: found, Expected: expected}
}

// findPositions finds the line of each entry and key. The text must be well-formed TOML.
func findPositions(text []byte) *Positions {
	l := locator{lineStarts: lineStartOffsets(text), entryCounts: map[string]int{}, lines: map[string]int{}}
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		l.recordExpression(parser.Expression())
	}
	return &Positions{lines: l.lines}
}

// locator records the lines of the expressions of a TOML document, in their order.
type locator struct {
	// lineStarts contains the byte offset of each line.
	lineStarts []int
	// entryCounts contains the number of entries so far of each array of tables.
	entryCounts map[string]int
	lines       map[string]int
	// currentPath is the path of the table that the next key belongs to.
	currentPath string
}

func (l *locator) recordExpression(node *unstable.Node) {
	key, line := l.keyAndLine(node)
	switch node.Kind {
	case unstable.ArrayTable:
		l.currentPath = entryPath(key, l.entryCounts[key])
		l.entryCounts[key]++
		l.lines[l.currentPath] = line
	case unstable.Table:
		l.currentPath = l.tablePath(key)
		l.lines[l.currentPath] = line
	case unstable.KeyValue:
		l.lines[l.currentPath+"."+key] = line
	}
}

// tablePath returns the path of a table. If key is "plan.budget" and plan is an array of tables, the
// table belongs to the array's last entry so far.
func (l *locator) tablePath(key string) string {
	table, rest, found := strings.Cut(key, ".")
	if !found || l.entryCounts[table] == 0 {
		return key
	}
	return entryPath(table, l.entryCounts[table]-1) + "." + rest
}

// keyAndLine returns the dotted key of a table or key-value expression and its line.
func (l *locator) keyAndLine(node *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := node.Key(); it.Next(); {
		if len(parts) == 0 {
			line = sort.SearchInts(l.lineStarts, int(it.Node().Raw.Offset)+1)
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), line
}

func lineStartOffsets(text []byte) []int {
	starts := []int{0}
	for i, b := range text {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// entryPath returns the path of an entry of an array of tables, such as "plan[0]".
func entryPath(table string, index int) string { return table + "[" + strconv.Itoa(index) + "]" }
