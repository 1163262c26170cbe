package config

import (
	"fmt"
	"strings"
	"time"
)

// ConflictError is returned for an edit if edits accepted since its base changed the same entries in
// another way, or if its base is no longer in the history. Nothing of the edit was accepted.
type ConflictError struct {
	// Base is the version that the rejected edit is based on, Version the last accepted one.
	Base, Version uint64
	// Entries are the changes that the accepted edits made to the entries in conflict.
	Entries []Change
	// Edits are the edits accepted since Base, newest first.
	Edits []Record
	// BaseExpired indicates that Base is no longer in the history, so that the changes since Base
	// are unknown.
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

// author describes the edit that last changed the entry. Records list only the first changes of a
// large edit; if no record lists the entry, author names the large edits that may have changed it.
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
