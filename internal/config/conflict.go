package config

import (
	"fmt"
	"strings"
	"time"
)

// ConflictError says that another operator's edit came first and that both
// edits changed the same entries, differently. Nothing was accepted.
type ConflictError struct {
	// Base is the version from which the refused edit began, Version the last accepted one.
	Base, Version uint64
	// Entries are the entries in conflict, as what the others did to them.
	Entries []Change
	// Edits are the edits accepted since Base, newest first.
	Edits []Record
	// Forgotten says that Base is no longer in the history, so that nothing
	// can be said about what changed since.
	BaseExpired bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.BaseExpired {
		return fmt.Sprintf("conflict: version %d is no longer in the history; the last accepted version is %d: get it and edit it anew", e.Base, e.Version)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "conflict: since version %d others changed what this edit changes (now version %d):", e.Base, e.Version)
	for _, change := range e.Entries {
		fmt.Fprintf(&b, "\n  %s%s", change, e.author(change))
	}
	return b.String()
}

// by tells whose edit last touched the entry, as far as the records list it.
func (e *ConflictError) author(change Change) string {
	for _, record := range e.Edits {
		for _, c := range record.Edit.Changes {
			if c.Table == change.Table && c.Name == change.Name {
				return describeRecord(record)
			}
		}
	}
	var authors []string
	for _, record := range e.Edits {
		if record.Edit.Changed > len(record.Edit.Changes) {
			authors = append(authors, strings.TrimSpace(describeRecord(record)))
		}
	}
	return " in one of the large edits: " + strings.Join(authors, "; ")
}

func describeRecord(r Record) string {
	text := fmt.Sprintf(" by %s at %s, version %d", r.Edit.Operator, r.Edit.Time.Format(time.RFC3339), r.Version)
	if r.Edit.Note != "" {
		text += fmt.Sprintf(" (%s)", r.Edit.Note)
	}
	return text
}
