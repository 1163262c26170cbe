package mirror

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"foxhall/internal/store"
)

// A started instance can serve with a few replicas long before it has the list of thousands: reading
// all pages, or being sent the list, takes seconds on a small machine. Until the replicas are known,
// the mirror holds a sample of them.

// ApplySample replaces the entries of a kind that is not known yet by a part of them. It does nothing
// once the kind is known.
func (m *Mirror) ApplySample(k Kind, entries []Entry) {
	m.mu.Lock()
	c := m.kinds[k]
	if c.known {
		m.mu.Unlock()
		return
	}
	c.removeUnlisted(entries)
	for _, e := range entries {
		c.entries[e.Name] = e
		c.notify(e.Name)
	}
	m.mu.Unlock()
	for _, f := range m.listeners {
		f(k)
	}
}

// removeUnlisted removes the entries that are not listed.
func (c *kindCopy) removeUnlisted(listed []Entry) {
	if len(c.entries) == 0 {
		return
	}
	names := make(map[string]bool, len(listed))
	for _, e := range listed {
		names[e.Name] = true
	}
	for name := range c.entries {
		if !names[name] {
			c.remove(name)
		}
	}
}

// SampleReplicas reads one page of the replicas into the mirror, which holds all of them if there are
// no more. Otherwise the page begins at a random name, so that the instances that start together use
// different replicas; a later call reads the same page.
func (f *Follower) SampleReplicas(ctx context.Context) error {
	requestedAt := time.Now()
	page, more, err := f.store.Page(ctx, string(Replicas), f.sampleAfter)
	if err != nil {
		return err
	}
	if f.sampleAfter == "" && !more {
		f.applyListing(Replicas, page)
		f.mirror.Confirm(Replicas, requestedAt)
		f.prove(Replicas, requestedAt, page.AsOf)
		return nil
	}
	if f.sampleAfter == "" {
		after := randomName(page.Objects)
		if other, _, err := f.store.Page(ctx, string(Replicas), after); err == nil && len(other.Objects) > 0 {
			page, f.sampleAfter = other, after
		}
	}
	f.mirror.ApplySample(Replicas, entriesOf(page))
	return nil
}

func entriesOf(listing store.Listing) []Entry {
	entries := make([]Entry, 0, len(listing.Objects))
	for _, o := range listing.Objects {
		entries = append(entries, Entry{Name: o.Key.Name, Revision: o.Version, Value: o.Value})
	}
	return entries
}

// randomName returns a name among those of all objects, of which some are given: their common prefix
// without what varies, and two of the characters that vary.
func randomName(objects []store.Object) string {
	if len(objects) == 0 {
		return ""
	}
	prefix := objects[0].Key.Name
	for _, o := range objects {
		for !strings.HasPrefix(o.Key.Name, prefix) {
			prefix = prefix[:len(prefix)-1]
		}
	}
	varying := map[byte]bool{}
	var alphabet []byte
	for _, o := range objects {
		for _, b := range []byte(o.Key.Name[len(prefix):]) {
			if !varying[b] {
				varying[b] = true
				alphabet = append(alphabet, b)
			}
		}
	}
	if len(alphabet) == 0 {
		return prefix
	}
	// The first of many names share characters that vary among all.
	for prefix != "" && varying[prefix[len(prefix)-1]] {
		prefix = prefix[:len(prefix)-1]
	}
	random := func() byte { return alphabet[rand.IntN(len(alphabet))] }
	return prefix + string([]byte{random(), random()})
}
