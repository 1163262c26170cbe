package config

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// The kinds of configuration objects in the store.
const (
	KindManifest = "config"
	KindChunk    = "config-chunk"
)

// ManifestKey names the manifest, the one object whose conditional update
// accepts an edit.
var ManifestKey = store.Key{Kind: KindManifest, Name: "manifest"}

// maxUnpacked bounds what a packed value may grow to, in bytes. A full value
// of the store holds text that packs about five to one.
const maxUnpackedBytes = 16 * store.MaxValue

// ErrCorrupt says that a value is not what its name or form promises.
var ErrCorrupt = errors.New("config: corrupt value")

// Digest names a chunk by its unpacked contents: the first half of their
// SHA-256 sum. 128 bits are enough against accidents; who may write to the
// store is trusted.
type Digest [sha256.Size / 2]byte

// emptyDigest stands for a shard without entries; it has no chunk.
var emptyDigest Digest

// String returns the digest in hex, which is the chunk's name in the store.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return ErrCorrupt
	}
	_, err := hex.Decode(d[:], text)
	return err
}

// Chunks are packed values by the digest of their unpacked contents.
type Chunks map[Digest][]byte

func (d Digest) key() store.Key { return store.Key{Kind: KindChunk, Name: d.String()} }

// packChunk returns the digest and the packed form of a value. The digest is
// of the contents and not of the packed form, so that another release's
// compressor does not change the names of unchanged chunks.
func packChunk(value any) (Digest, []byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Digest{}, nil, errors.Wrap(err, "config: encode")
	}
	packed, err := compress(raw)
	return digestOf(raw), packed, err
}

// unpackChunk checks a packed chunk against its digest and decodes it.
func unpackChunk(digest Digest, packed []byte, target any) error {
	raw, err := decompress(packed)
	if err != nil {
		return err
	}
	if digestOf(raw) != digest {
		return errors.Wrapf(ErrCorrupt, "chunk %s has other contents", digest)
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return errors.Wrapf(ErrCorrupt, "chunk %s: %v", digest, err)
	}
	return nil
}

func digestOf(raw []byte) (d Digest) {
	sum := sha256.Sum256(raw)
	copy(d[:], sum[:])
	return d
}

func compress(raw []byte) ([]byte, error) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "config: compress")
	}
	err := w.Close()
	return compressed.Bytes(), errors.Wrap(err, "config: compress")
}

func decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	if len(raw) > maxUnpackedBytes {
		return nil, errors.Wrap(ErrCorrupt, "value too large when unpacked")
	}
	return raw, nil
}
