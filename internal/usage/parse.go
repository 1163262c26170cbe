package usage

import (
	"bytes"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"foxhall/internal/listfile"
)

// ListName is the name of the list in messages and files.
const ListName = "usage"

// Parse reads a usage list from TOML and validates it. The error, if any, is
// listfile.Problems, which lists every problem with its line.
func Parse(text []byte) (*List, error) {
	list := &List{}
	positions, err := listfile.Decode(ListName, text, list)
	if err != nil {
		return nil, err
	}
	list.positions = positions
	list.Index()
	if err := list.check(); err != nil {
		return nil, err
	}
	return list, nil
}

// Check validates a list that was not read by Parse. Index must be called before.
func (l *List) Check() error { return l.check() }

// Index builds the indexes by name. It must be called once before the first use of a list that was not
// read by Parse. It does not validate the list, because an instance of another release must not reject
// a list that was accepted and is in force on other instances.
func (l *List) Index() {
	l.models = make(map[string]*Model, len(l.Models))
	l.services = make(map[string]*Service, len(l.Services))
	l.grants = make(map[string]*Grant, len(l.Grants))
	for i := range l.Models {
		l.models[l.Models[i].Name] = &l.Models[i]
	}
	for i := range l.Services {
		l.services[l.Services[i].Name] = &l.Services[i]
	}
	for i := range l.Grants {
		l.grants[l.Grants[i].Plan] = &l.Grants[i]
	}
}

// Format writes the list as TOML that Parse reads back.
func (l *List) Format() ([]byte, error) {
	var buf bytes.Buffer
	err := toml.NewEncoder(&buf).Encode(l)
	return buf.Bytes(), errors.Wrap(err, ListName)
}

// Line returns the line of an entry's key in the file from which the list was read, or 0 if unknown.
// The table is "model", "service", "upstream" or "grant".
func (l *List) Line(table, name, key string) int {
	for i, entry := range l.entryNames(table) {
		if entry == name {
			return l.positions.Line(table, i, key)
		}
	}
	return 0
}

func (l *List) entryNames(table string) []string {
	switch table {
	case "model":
		return names(l.Models, func(m *Model) string { return m.Name })
	case "service":
		return names(l.Services, func(s *Service) string { return s.Name })
	case "upstream":
		return names(l.Upstreams, func(u *Upstream) string { return u.Name })
	default:
		return names(l.Grants, func(g *Grant) string { return g.Plan })
	}
}

func names[T any](entries []T, name func(*T) string) []string {
	result := make([]string, len(entries))
	for i := range entries {
		result[i] = name(&entries[i])
	}
	return result
}

// Checker returns a checker that reports problems with their lines in this list.
func (l *List) Checker() *listfile.Checker { return listfile.NewChecker(ListName, l.positions) }

// MayRepeat reports whether a call may be sent more than once. That requires a match with one of the
// service's Repeatable patterns.
func (s *Service) MayRepeat(method, path string) bool {
	call := method + " " + path
	return slices.ContainsFunc(s.Repeatable, func(pattern string) bool {
		if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
			return strings.HasPrefix(call, prefix)
		}
		return call == pattern
	})
}

// AllowsModel reports whether the grant names the model.
func (g *Grant) AllowsModel(name string) bool { return slices.Contains(g.Models, name) }

// AllowsService reports whether the grant names the service.
func (g *Grant) AllowsService(name string) bool { return slices.Contains(g.Services, name) }

// AllowsDataCentre reports whether the grant names the data centre.
func (g *Grant) AllowsDataCentre(name string) bool { return slices.Contains(g.DataCentres, name) }
