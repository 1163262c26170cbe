// Package listfile decodes the operators' lists from TOML and remembers the
// line of each entry and key, so that a rule of a list can name the line that
// breaks it although it runs on the decoded values.
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

// Positions holds the lines of a decoded list. Its nil value knows none.
type Positions struct {
	lines map[string]int
}

// Decode reads the TOML text of the named list into the value that into points
// at. Unknown keys are refused. The error is Problems.
func Decode(list string, text []byte, target any) (*Positions, error) {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return nil, problemsFromError(list, err)
	}
	return findPositions(text), nil
}

// Line returns the line, from 1, of a key of the index-th entry (from 0) of an
// array of tables. A key that is absent or stands within an inline table has
// the line of what encloses it; 0 says that the line is not known.
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

// locate finds the line of each entry and key. The text has already been decoded.
func findPositions(text []byte) *Positions {
	l := locator{lineStarts: lineStartOffsets(text), entryCounts: map[string]int{}, lines: map[string]int{}}
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		l.recordExpression(parser.Expression())
	}
	return &Positions{lines: l.lines}
}

type locator struct {
	lineStarts  []int
	entryCounts map[string]int
	lines       map[string]int
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

// tablePath turns "plan.budget" into the path within the last entry of plan.
func (l *locator) tablePath(key string) string {
	table, rest, found := strings.Cut(key, ".")
	if !found || l.entryCounts[table] == 0 {
		return key
	}
	return entryPath(table, l.entryCounts[table]-1) + "." + rest
}

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

func entryPath(table string, index int) string { return table + "[" + strconv.Itoa(index) + "]" }
