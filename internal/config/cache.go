package config

import (
	"os"
	"path/filepath"
)

// chunkCache caches chunks in a folder on the operator's machine. Chunks are named by the digest of
// their contents and checked when loaded, so a cached chunk can't be stale; one that fails the check
// is removed and read from the store again. Without the cache each edit reads every chunk: 580 calls
// at 5,000 plans.
type chunkCache struct {
	// folder is empty if caching is disabled.
	folder string
}

func (c chunkCache) path(d Digest) string { return filepath.Join(c.folder, d.String()) }

// load returns the cached chunks among digests, and the digests of the others.
func (c chunkCache) load(digests []Digest) (cached Chunks, missing []Digest) {
	cached = Chunks{}
	if c.folder == "" {
		return cached, digests
	}
	for _, d := range digests {
		packed, err := os.ReadFile(c.path(d))
		if err != nil {
			missing = append(missing, d)
			continue
		}
		raw, err := decompress(packed)
		if err != nil || digestOf(raw) != d {
			_ = os.Remove(c.path(d))
			missing = append(missing, d)
			continue
		}
		cached[d] = packed
	}
	return cached, missing
}

// save adds chunks to the cache. Errors are ignored: a chunk that is not cached is read from the store.
func (c chunkCache) save(chunks Chunks) {
	if c.folder == "" || os.MkdirAll(c.folder, 0o700) != nil {
		return
	}
	for d, packed := range chunks {
		c.saveOne(d, packed)
	}
}

func (c chunkCache) saveOne(d Digest, packed []byte) {
	file, err := os.CreateTemp(c.folder, "chunk.*")
	if err != nil {
		return
	}
	defer os.Remove(file.Name())
	if writeAndSync(file, packed) == nil {
		_ = os.Rename(file.Name(), c.path(d))
	}
}
