package config

import (
	"foxhall/internal/plan"
	"foxhall/internal/usage"
)

// Current is the configuration in force on an instance. It is immutable.
type Current struct {
	// Version is the manifest's store version. It never goes back.
	Version uint64
	Plans   *plan.List
	Usage   *usage.List
	// EditVersion is the version at which the last edit was accepted, and
	// Edit tells whose it was.
	EditVersion uint64
	Edit        Edit

	manifest      []byte
	sections      Sections
	chunks        Chunks
	decodedShards *decodedShards
	// superseded is closed when a newer version is in force.
	superseded chan struct{}
}

// Update is a version as it passes between instances: the manifest as stored,
// and chunks that it names.
type Update struct {
	Version  uint64
	Manifest []byte
	Chunks   Chunks
}

// Have tells what a peer holds, so that it is sent no more than it lacks.
type Have struct {
	Version uint64
	Chunks  []Digest
}

// noConfiguration is what is in force before anything is.
func emptyConfiguration() *Current {
	return &Current{decodedShards: &decodedShards{}, chunks: Chunks{}, superseded: make(chan struct{})}
}

// assemble builds the configuration that an update describes, with the chunks
// that the one before holds. If chunks are lacking it returns them and no
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

// gather returns the chunks that the sections name, from the first source that has each.
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

// export returns what a peer lacks.
func (c *Current) export(have Have) Update {
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

// have returns what this instance holds.
func (c *Current) have() Have {
	have := Have{Version: c.Version}
	for digest := range c.chunks {
		have.Chunks = append(have.Chunks, digest)
	}
	return have
}
