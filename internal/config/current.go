package config

import (
	"foxhall/internal/plan"
	"foxhall/internal/usage"
)

// Current is the configuration in force on an instance. It is immutable.
type Current struct {
	// Version is the manifest's store version. It never decreases on an instance.
	Version uint64
	Plans   *plan.List
	Usage   *usage.List
	// EditVersion is the version at which the last edit was accepted; Edit describes that edit.
	EditVersion uint64
	Edit        Edit

	manifest      []byte
	sections      Sections
	chunks        Chunks
	decodedShards *decodedShards
	// superseded is closed once a newer version is in force.
	superseded chan struct{}
}

// Update is a version as instances send it to each other and save it on disk: the manifest as
// stored, and chunks that it references.
type Update struct {
	Version  uint64
	Manifest []byte
	Chunks   Chunks
}

// ChunkInventory lists the version and the chunks that a peer has, so that only the missing chunks
// are sent.
type ChunkInventory struct {
	Version uint64
	Chunks  []Digest
}

// emptyConfiguration returns the configuration of an instance that has not installed a version yet.
func emptyConfiguration() *Current {
	return &Current{decodedShards: &decodedShards{}, chunks: Chunks{}, superseded: make(chan struct{})}
}

// assemble builds the configuration that an update describes from the chunks of the update, the
// manifest and the previous configuration. If chunks are missing, it returns their digests and no
// configuration.
func assemble(previous *Current, update Update) (*Current, []Digest, error) {
	manifest, err := decodeManifest(update.Manifest)
	if err != nil {
		return nil, nil, err
	}
	next := &Current{
		Version: update.Version, Edit: manifest.Edit, EditVersion: manifest.acceptedVersion(update.Version),
		manifest: update.Manifest, sections: manifest.Sections, superseded: make(chan struct{}),
	}
	next.chunks = selectChunks(&manifest.Sections, previous.chunks, manifest.Inline, update.Chunks)
	if missing := next.chunks.missing(&manifest.Sections); len(missing) > 0 {
		return nil, missing, nil
	}
	next.Plans, next.Usage, next.decodedShards, err = unpack(&manifest.Sections, next.chunks, previous.decodedShards)
	return next, nil, err
}

// selectChunks returns the chunks that the sections reference, each from the first source that has
// it.
func selectChunks(sections *Sections, sources ...Chunks) Chunks {
	chunks := Chunks{}
	sections.digests(func(d Digest) {
		for _, source := range sources {
			if packed := source[d]; packed != nil {
				chunks[d] = packed
				return
			}
		}
	})
	return chunks
}

// export returns the configuration as an update, without the chunks that the peer has.
func (c *Current) export(have ChunkInventory) Update {
	update := Update{Version: c.Version, Manifest: c.manifest, Chunks: Chunks{}}
	known := make(map[Digest]struct{}, len(have.Chunks))
	for _, digest := range have.Chunks {
		known[digest] = struct{}{}
	}
	for digest, packed := range c.chunks {
		if _, ok := known[digest]; !ok {
			update.Chunks[digest] = packed
		}
	}
	return update
}

// have returns the version and the digests of the chunks of this configuration.
func (c *Current) have() ChunkInventory {
	have := ChunkInventory{Version: c.Version}
	for digest := range c.chunks {
		have.Chunks = append(have.Chunks, digest)
	}
	return have
}
