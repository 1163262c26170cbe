package config

import (
	"context"

	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// DefaultKeep is the number of past versions that a collection keeps: about
// three hours of history at the 7,800 edits a day of letter 1, in some 10 MB.
const DefaultKeep = 1000

// Collection is what one collection did.
type Collection struct {
	// Kept and Removed count chunks.
	Kept, Removed int
	// Spared are chunks that an edit had written again meanwhile.
	Rewritten int
}

// Collect removes the chunks that neither the manifest nor its last keep
// records name. One instance at a time runs it now and then; several at once
// are safe but waste calls.
//
// An edit writes its chunks before the manifest that names them, so a chunk
// that nobody names may be about to be named, also by an editor that has been
// paused for long. Were it removed, an accepted edit would be unreadable. Two
// conditions rule that out without clocks. The collection first writes the
// manifest again: an edit that began from an earlier read then fails its
// condition and starts anew. And an edit writes each chunk that it adds again
// even if it is there: for one that begins after, the chunk's version has moved
// since it was listed, and the conditional deletion fails.
func (e *Editor) Collect(ctx context.Context, keep int) (Collection, error) {
	var result Collection
	h, err := e.head(ctx)
	if err != nil || h.version == 0 {
		return result, err
	}
	listed, err := e.client.List(ctx, KindChunk, "")
	if err != nil {
		return result, err
	}
	referenced, err := h.referencedChunks(ctx, listed, keep)
	if err != nil {
		return result, err
	}
	unreferenced := unreferencedChunks(listed, referenced)
	result.Kept = len(listed) - len(unreferenced)
	if len(unreferenced) == 0 {
		return result, nil
	}
	if err := e.rewriteManifest(ctx, h); err != nil {
		return result, err
	}
	for _, object := range unreferenced {
		err := e.client.Delete(ctx, object.Key, object.Version)
		switch {
		case errors.Is(err, store.ErrConflict):
			result.Rewritten++
		case err == nil, errors.Is(err, store.ErrNotFound):
			result.Removed++
		default:
			return result, err
		}
	}
	return result, nil
}

// mark returns the names of the chunks that the manifest and its records name.
func (h *head) referencedChunks(ctx context.Context, listed []store.Object, keep int) (map[string]bool, error) {
	for _, object := range listed {
		var digest Digest
		if digest.UnmarshalText([]byte(object.Key.Name)) == nil {
			h.chunks[digest] = object.Value
		}
	}
	referenced := map[string]bool{}
	add := func(d Digest) { referenced[d.String()] = true }
	record := h.manifest.record(h.version)
	for range keep {
		record.Sections.digests(add)
		parent, err := h.parent(ctx, record)
		if errors.Is(err, ErrNoVersion) {
			return referenced, nil
		}
		if err != nil {
			return nil, err
		}
		add(record.Parent)
		record = parent
	}
	record.Sections.digests(add)
	return referenced, nil
}

// barrier writes the manifest again with the same contents.
func (e *Editor) rewriteManifest(ctx context.Context, h *head) error {
	next := *h.manifest
	next.EditVersion = h.acceptedVersion()
	value, err := next.encode()
	if err != nil {
		return err
	}
	_, err = e.client.Put(ctx, ManifestKey, value, store.Version(h.version))
	return err
}

func unreferencedChunks(listed []store.Object, referenced map[string]bool) []store.Object {
	var rest []store.Object
	for _, object := range listed {
		if !referenced[object.Key.Name] {
			rest = append(rest, object)
		}
	}
	return rest
}
