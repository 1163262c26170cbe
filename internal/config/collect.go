package config

import (
	"context"

	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// DefaultHistoryVersions is the number of past versions that Collect keeps: about three hours of
// history at 7,800 edits a day, in some 10 MB.
const DefaultHistoryVersions = 1000

// Collection is the result of one garbage collection of chunks.
type Collection struct {
	// Kept and Removed are numbers of chunks.
	Kept, Removed int
	// Rewritten is the number of unreferenced chunks that an edit wrote again during the collection;
	// they are not removed.
	Rewritten int
}

// Collect removes the chunks that are referenced neither by the manifest nor by the last keep
// records. One instance at a time should run it periodically; concurrent collections are safe, but
// waste calls.
//
// An edit writes its chunks before the manifest that references them, so an unreferenced chunk may
// belong to an edit in progress, even to one of an editor that was paused for long. If such a chunk
// were removed, an accepted edit would be unreadable. Two conditional updates prevent this without
// relying on clocks:
//   - Collect writes the manifest again before it removes anything. An edit that read the manifest
//     before that fails its conditional update and starts again.
//   - An edit writes each chunk that it adds, even if the chunk exists. If the edit began after Collect
//     rewrote the manifest, the chunk's version has changed since Collect listed it, and the
//     conditional deletion fails.
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

// referencedChunks returns the names of the chunks that the manifest and the last keep records
// reference. It adds the listed chunks to those that h has fetched.
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

// rewriteManifest writes the manifest again with the same contents, so that it gets a new version
// and the edits in progress fail their conditional update.
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
