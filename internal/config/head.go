package config

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"foxhall/internal/store"
)

// maxChunkCalls is the maximum number of concurrent chunk reads or writes of one operation.
const maxChunkCalls = 8

// errNotYetReadable indicates that the store does not show a chunk or version that should exist: the
// read of the manifest or of the chunk was stale, or a collection removed the chunk after a newer
// edit. The caller should read the manifest again.
var errNotYetReadable = errors.New("config: a chunk of the manifest is not readable yet")

// ErrNoVersion indicates that a version is not in the history.
var ErrNoVersion = errors.New("config: version not in the history")

// head is the accepted configuration as one read of the manifest found it, with the chunks that have
// been fetched for it.
type head struct {
	client   store.Client
	cache    chunkCache
	version  uint64
	manifest *Manifest
	chunks   Chunks
}

// head reads the manifest. Before the first edit the result has an empty manifest and version 0.
func (e *Editor) head(ctx context.Context) (*head, error) {
	h := &head{client: e.client, cache: e.cache, manifest: &Manifest{}, chunks: Chunks{}}
	object, err := e.client.Get(ctx, ManifestKey)
	if errors.Is(err, store.ErrNotFound) {
		return h, nil
	}
	if err != nil {
		return nil, err
	}
	h.version = uint64(object.Version)
	h.manifest, err = decodeManifest(object.Value)
	if err != nil {
		return nil, err
	}
	for digest, packed := range h.manifest.Inline {
		h.chunks[digest] = packed
	}
	return h, nil
}

func (h *head) acceptedVersion() uint64 { return h.manifest.acceptedVersion(h.version) }

// fetch adds the given chunks to h, from the cache or else from the store.
func (h *head) fetch(ctx context.Context, digests []Digest) error {
	cached, missing := h.cache.load(digests)
	for digest, packed := range cached {
		h.chunks[digest] = packed
	}
	if len(missing) == 0 {
		return nil
	}
	fetched, err := fetchChunks(ctx, h.client, missing)
	h.cache.save(fetched)
	for digest, packed := range fetched {
		h.chunks[digest] = packed
	}
	return err
}

// addProposalChunks adds the chunks of the proposed lists to h. Most of them are equal to chunks in
// the store, which then need not be read.
func (h *head) addProposalChunks(p *Proposal) error {
	_, chunks, err := pack(p.pair(emptyPair()).Plans, p.pair(emptyPair()).Usage, &h.manifest.Sections)
	for digest, packed := range chunks {
		h.chunks[digest] = packed
	}
	return err
}

// fetchChunks reads chunks from the store. After an error it also returns the chunks read so far.
func fetchChunks(ctx context.Context, client store.Client, digests []Digest) (Chunks, error) {
	packed := make([][]byte, len(digests))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxChunkCalls)
	for i, digest := range digests {
		group.Go(func() error {
			object, err := client.Get(ctx, digest.key())
			if errors.Is(err, store.ErrNotFound) {
				return errors.Wrap(errNotYetReadable, digest.String())
			}
			packed[i] = object.Value
			return err
		})
	}
	err := group.Wait()
	chunks := Chunks{}
	for i, digest := range digests {
		if packed[i] != nil {
			chunks[digest] = packed[i]
		}
	}
	return chunks, err
}

// pair returns the lists that the sections reference, and fetches their chunks where needed.
func (h *head) pair(ctx context.Context, sections *Sections) (Lists, error) {
	if err := h.fetch(ctx, h.chunks.missing(sections)); err != nil {
		return Lists{}, err
	}
	plans, list, _, err := unpack(sections, h.chunks, &decodedShards{})
	return Lists{Plans: plans, Usage: list}, err
}

// editHistory is the part of the history from the current version back to a base version.
type editHistory struct {
	// edits are the records of the edits after the base, newest first.
	edits []Record
	base  Record
}

// editsSince follows the history back to the base version. If the base is no longer in the history,
// the error is a ConflictError with BaseExpired set.
func (h *head) editsSince(ctx context.Context, base uint64) (editHistory, error) {
	var history editHistory
	if base == 0 && h.version == 0 {
		return history, nil
	}
	if base > h.version {
		return history, errors.Wrapf(errNotYetReadable, "version %d, the store shows %d", base, h.version)
	}
	record := h.manifest.record(h.version)
	for record.Version > base {
		history.edits = append(history.edits, record)
		if record.Parent == emptyDigest && base == 0 {
			return history, nil
		}
		parent, err := h.parent(ctx, record)
		if errors.Is(err, ErrNoVersion) {
			return history, &ConflictError{Base: base, Version: h.acceptedVersion(), BaseExpired: true}
		}
		if err != nil {
			return history, err
		}
		record = parent
	}
	// A base between two edits is a version that a collection wrote; its lists are those of the edit
	// before it.
	history.base = record
	return history, nil
}

// parent reads the record before child. The error is ErrNoVersion if child is the first version or if
// the record before it has been removed.
func (h *head) parent(ctx context.Context, child Record) (Record, error) {
	if child.Parent == emptyDigest {
		return Record{}, ErrNoVersion
	}
	var err error
	if h.chunks[child.Parent] == nil {
		err = h.fetch(ctx, []Digest{child.Parent})
	}
	if errors.Is(err, errNotYetReadable) {
		return Record{}, ErrNoVersion
	}
	if err != nil {
		return Record{}, err
	}
	var record Record
	err = unpackChunk(child.Parent, h.chunks[child.Parent], &record)
	return record, err
}

// Get returns the lists at a version of the history, and the version of the edit that produced them.
// Version 0 selects the last accepted version.
func (e *Editor) Get(ctx context.Context, version uint64) (Lists, uint64, error) {
	h, err := e.head(ctx)
	if err != nil {
		return Lists{}, 0, err
	}
	if h.version == 0 && version == 0 {
		return emptyPair(), 0, nil
	}
	if version == 0 {
		version = h.version
	}
	record := h.manifest.record(h.version)
	for record.Version > version {
		if record, err = h.parent(ctx, record); err != nil {
			return Lists{}, 0, err
		}
	}
	pair, err := h.pair(ctx, &record.Sections)
	return pair, record.Version, err
}

// History returns the records of the last edits, newest first and at most limit of them.
func (e *Editor) History(ctx context.Context, limit int) ([]Record, error) {
	h, err := e.head(ctx)
	if err != nil || h.version == 0 {
		return nil, err
	}
	record := h.manifest.record(h.version)
	records := []Record{record}
	for len(records) < limit {
		record, err = h.parent(ctx, record)
		if errors.Is(err, ErrNoVersion) {
			break
		}
		if err != nil {
			return records, err
		}
		records = append(records, record)
	}
	return records, nil
}

// writeChunks writes the chunks that the next manifest references. A chunk that exists is written
// again, so that its version changes and a concurrent collection that found it unreferenced fails to
// delete it (see Collect).
func (e *Editor) writeChunks(ctx context.Context, chunks Chunks) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxChunkCalls)
	for digest, packed := range chunks {
		group.Go(func() error { return e.writeChunk(ctx, digest, packed) })
	}
	return group.Wait()
}

func (e *Editor) writeChunk(ctx context.Context, digest Digest, packed []byte) error {
	_, err := e.client.Put(ctx, digest.key(), packed, 0)
	if !errors.Is(err, store.ErrConflict) {
		return err
	}
	object, err := e.client.Get(ctx, digest.key())
	if err != nil {
		return conflictIfAbsent(err)
	}
	_, err = e.client.Put(ctx, digest.key(), packed, object.Version)
	return err
}

// conflictIfAbsent returns ErrConflict for ErrNotFound, so that the edit starts again if a chunk was
// removed between two calls.
func conflictIfAbsent(err error) error {
	if errors.Is(err, store.ErrNotFound) {
		return store.ErrConflict
	}
	return err
}

// without returns the chunks that the sections do not reference.
func (c Chunks) without(sections *Sections) Chunks {
	rest := Chunks{}
	for digest, packed := range c {
		rest[digest] = packed
	}
	sections.digests(func(d Digest) { delete(rest, d) })
	return rest
}

// inline returns a copy of the chunks if their total size is at most maxInlineBytes, otherwise nil.
func (c Chunks) inline() Chunks {
	total := 0
	inline := Chunks{}
	for digest, packed := range c {
		total += len(packed)
		inline[digest] = packed
	}
	if total > maxInlineBytes {
		return nil
	}
	return inline
}
