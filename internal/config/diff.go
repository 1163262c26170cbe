package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"foxhall/internal/plan"
	"foxhall/internal/usage"
)

// maxListedChanges is the number of changes that an edit's record lists. Further changes are only
// counted.
const maxListedChanges = 10

// Action is the kind of change that an edit made to an entry.
type Action string

// Actions of an edit.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// Change is the change that an edit made to one entry of a list.
type Change struct {
	// List is plan.ListName or usage.ListName; Table is the entry's TOML table.
	List   string `json:"list"`
	Table  string `json:"table"`
	Name   string `json:"name"`
	Action Action `json:"action"`
	// Keys are the keys that differ; only set for a changed entry.
	Keys []KeyChange `json:"keys,omitempty"`
}

// KeyChange is the change of one key of an entry. Records store only the key, not its values.
type KeyChange struct {
	Key  string `json:"key"`
	From string `json:"-"`
	To   string `json:"-"`
}

// String returns the change on one line.
func (c Change) String() string {
	text := fmt.Sprintf("%s %s %q", c.Action, c.Table, c.Name)
	keys := make([]string, len(c.Keys))
	for i, key := range c.Keys {
		keys[i] = key.Key
	}
	if len(keys) > 0 {
		text += " (" + strings.Join(keys, ", ") + ")"
	}
	return text
}

// Lists holds both lists. They are validated and accepted together.
type Lists struct {
	Plans *plan.List
	Usage *usage.List
}

func emptyPair() Lists {
	list := &usage.List{}
	list.Index()
	return Lists{Plans: plan.Restore(nil), Usage: list}
}

// Diff returns the changes between two pairs, ordered by list, table and name.
func Diff(from, to Lists) []Change {
	var changes []Change
	changes = append(changes, diffTable(plan.ListName, "plan", from.Plans.Plans, to.Plans.Plans)...)
	changes = append(changes, diffTable(usage.ListName, "model", from.Usage.Models, to.Usage.Models)...)
	changes = append(changes, diffTable(usage.ListName, "service", from.Usage.Services, to.Usage.Services)...)
	changes = append(changes, diffTable(usage.ListName, "upstream", from.Usage.Upstreams, to.Usage.Upstreams)...)
	return append(changes, diffTable(usage.ListName, "grant", from.Usage.Grants, to.Usage.Grants)...)
}

func diffTable[T named](list, table string, from, to []T) []Change {
	before, after := byName(from), byName(to)
	var changes []Change
	for _, name := range unionOfNames(before, after) {
		change := Change{List: list, Table: table, Name: name}
		b, a := before[name], after[name]
		switch {
		case b == nil:
			change.Action = Added
		case a == nil:
			change.Action = Removed
		default:
			change.Action = Changed
			change.Keys = diffKeys(b, a)
		}
		if change.Action != Changed || len(change.Keys) > 0 {
			changes = append(changes, change)
		}
	}
	return changes
}

func diffKeys[T named](from, to *T) []KeyChange {
	if reflect.DeepEqual(from, to) {
		return nil
	}
	before, after := map[string]string{}, map[string]string{}
	flatten("", reflect.ValueOf(from).Elem(), before)
	flatten("", reflect.ValueOf(to).Elem(), after)
	var changes []KeyChange
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if before[key] != after[key] {
			changes = append(changes, KeyChange{Key: key, From: before[key], To: after[key]})
		}
	}
	return changes
}

// flatten adds the values of an entry as text to values, under their dotted TOML keys. A nil list and
// an empty one give the same text.
func flatten(prefix string, value reflect.Value, values map[string]string) {
	for i := range value.NumField() {
		key := prefix + value.Type().Field(i).Tag.Get("toml")
		field := value.Field(i)
		switch v := field.Interface().(type) {
		case plan.Duration:
			values[key] = time.Duration(v).String()
		default:
			if field.Kind() == reflect.Struct {
				flatten(key+".", field, values)
				continue
			}
			values[key] = fmt.Sprint(v)
		}
	}
}

func sameEntry[T named](a, b *T) bool {
	if a == nil || b == nil {
		return a == b
	}
	return len(diffKeys(a, b)) == 0
}

// merge performs a three-way merge of one table: it returns theirs with the changes that lead from
// base to ours. An entry that both sides changed in different ways is a conflict; conflicts lists
// the changes that lead from base to theirs for such entries.
func merge[T named](list, table string, base, ours, theirs []T) (merged []T, conflicts []Change) {
	baseEntries, ourEntries, theirEntries := byName(base), byName(ours), byName(theirs)
	for _, name := range unionOfNames(ourEntries, theirEntries) {
		result := theirEntries[name]
		switch {
		case sameEntry(ourEntries[name], baseEntries[name]) || sameEntry(ourEntries[name], theirEntries[name]):
		case sameEntry(theirEntries[name], baseEntries[name]):
			result = ourEntries[name]
		default:
			conflicts = append(conflicts, diffTable(list, table, asSlice(baseEntries[name]), asSlice(theirEntries[name]))...)
		}
		if result != nil {
			merged = append(merged, *result)
		}
	}
	return merged, conflicts
}

// mergePairs performs a three-way merge of each table of both lists.
func mergePairs(base, ours, theirs Lists) (Lists, []Change) {
	var conflicts []Change
	addConflicts := func(found []Change) { conflicts = append(conflicts, found...) }
	plans, found := merge(plan.ListName, "plan", base.Plans.Plans, ours.Plans.Plans, theirs.Plans.Plans)
	addConflicts(found)
	list := &usage.List{}
	list.Models, found = merge(usage.ListName, "model", base.Usage.Models, ours.Usage.Models, theirs.Usage.Models)
	addConflicts(found)
	list.Services, found = merge(usage.ListName, "service", base.Usage.Services, ours.Usage.Services, theirs.Usage.Services)
	addConflicts(found)
	list.Upstreams, found = merge(usage.ListName, "upstream", base.Usage.Upstreams, ours.Usage.Upstreams, theirs.Usage.Upstreams)
	addConflicts(found)
	list.Grants, found = merge(usage.ListName, "grant", base.Usage.Grants, ours.Usage.Grants, theirs.Usage.Grants)
	addConflicts(found)
	list.Index()
	return Lists{Plans: plan.Restore(plans), Usage: list}, conflicts
}

func asSlice[T named](entry *T) []T {
	if entry == nil {
		return nil
	}
	return []T{*entry}
}

func byName[T named](entries []T) map[string]*T {
	index := make(map[string]*T, len(entries))
	for i := range entries {
		index[nameOf(&entries[i])] = &entries[i]
	}
	return index
}

func unionOfNames[T named](a, b map[string]*T) []string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}
