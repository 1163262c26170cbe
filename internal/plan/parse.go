package plan

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"foxhall/internal/listfile"
)

// ListName is the name of the list in messages and files.
const ListName = "plans"

// Parse reads a plans list from TOML and validates it. The error, if any, is
// listfile.Problems, which lists every problem with its line.
func Parse(text []byte) (*List, error) {
	list := &List{}
	positions, err := listfile.Decode(ListName, text, list)
	if err != nil {
		return nil, err
	}
	list.positions = positions
	if err := list.check(); err != nil {
		return nil, err
	}
	return list, nil
}

// NewList validates plans that were not read from a file and returns them as a list. The list keeps
// the slice.
func NewList(plans []Plan) (*List, error) {
	list := &List{Plans: plans}
	if err := list.check(); err != nil {
		return nil, err
	}
	return list, nil
}

// Check validates the list.
func (l *List) Check() error { return l.check() }

// Restore returns a list of plans that were validated when they were accepted. They are not validated
// again, because an instance of another release must not reject a list that is in force on other
// instances. The list keeps the slice.
func Restore(plans []Plan) *List {
	list := &List{Plans: plans}
	list.index(nil)
	return list
}

// Format writes the list as TOML that Parse reads back.
func (l *List) Format() ([]byte, error) {
	var buf bytes.Buffer
	err := toml.NewEncoder(&buf).Encode(l)
	return buf.Bytes(), errors.Wrap(err, ListName)
}

// Line returns the line of a plan's key in the file from which the list was read, or 0 if unknown.
func (l *List) Line(name, key string) int {
	for i := range l.Plans {
		if l.Plans[i].Name == name {
			return l.positions.Line("plan", i, key)
		}
	}
	return 0
}

// check validates the list and builds its indexes.
func (l *List) check() error {
	checker := listfile.NewChecker(ListName, l.positions)
	seenNames, seenCustomers := map[string]bool{}, map[string]bool{}
	for i := range l.Plans {
		p := &l.Plans[i]
		checker.BeginEntry("plan", i, p.Name)
		checker.Unique("name", seenNames, p.Name)
		checker.Unique("customer", seenCustomers, p.Customer)
		p.check(checker)
		p.checkKeys(checker)
	}
	l.index(checker)
	return checker.Problems.Err()
}

func (p *Plan) checkKeys(checker *listfile.Checker) {
	for _, text := range p.KeyHashes {
		if _, ok := parseSum(text); !ok {
			checker.AddProblem("key_hashes", "SHA-256 sums in hex", "%q", text)
		}
	}
}

// index builds the indexes by name and by key. If two plans list the same key, it belongs to the
// first one; the second is reported to the checker unless that is nil.
func (l *List) index(checker *listfile.Checker) {
	l.byName = make(map[string]*Plan, len(l.Plans))
	l.byKey = make(map[[sha256.Size]byte]*Plan, len(l.Plans))
	for i := range l.Plans {
		p := &l.Plans[i]
		l.byName[p.Name] = p
		for _, text := range p.KeyHashes {
			sum, ok := parseSum(text)
			if !ok {
				continue
			}
			if other := l.byKey[sum]; other == nil {
				l.byKey[sum] = p
			} else if checker != nil {
				checker.BeginEntry("plan", i, p.Name)
				checker.AddProblem("key_hashes", "each key hash once", "%s is also listed by plan %q", text, other.Name)
			}
		}
	}
}

// parseSum parses a SHA-256 sum in hex.
func parseSum(text string) (sum [sha256.Size]byte, ok bool) {
	if len(text) != hex.EncodedLen(len(sum)) {
		return sum, false
	}
	_, err := hex.Decode(sum[:], []byte(text))
	return sum, err == nil
}
