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

// Kinds of configuration objects in the store.
const (
	KindManifest = "config"
	KindChunk    = "config-chunk"
)

// ManifestKey is the key of the manifest. The conditional update of this object accepts an edit.
var ManifestKey = store.Key{Kind: KindManifest, Name: "manifest"}

// maxUnpackedBytes limits the size of a value after decompression. A value of the store's maximum
// size contains text that was compressed about five to one.
const maxUnpackedBytes = 16 * store.MaxValue

// ErrCorrupt indicates that a value has an invalid format or does not match its digest.
var ErrCorrupt = errors.New("config: corrupt value")

// Digest identifies a chunk by its unpacked contents: it is the first half of their SHA-256 sum.
// 128 bits rule out accidental collisions; everyone who may write to the store is trusted.
type Digest [sha256.Size / 2]byte

// emptyDigest is the digest of a shard without entries, for which no chunk is stored.
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

// Chunks maps the digests of unpacked contents to the packed values.
type Chunks map[Digest][]byte

func (d Digest) key() store.Key { return store.Key{Kind: KindChunk, Name: d.String()} }

// packChunk returns the digest and the packed form of a value. The digest is computed over the
// unpacked contents, so that unchanged chunks keep their names if another release compresses them
// differently.
func packChunk(value any) (Digest, []byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return Digest{}, nil, errors.Wrap(err, "config: encode")
	}
	packed, err := compress(raw)
	return digestOf(raw), packed, err
}

// unpackChunk checks a packed chunk against its digest and decodes it into target.
func unpackChunk(digest Digest, packed []byte, target any) error {
	raw, err := decompress(packed)
	if err != nil {
		return err
	}
	if digestOf(raw) != digest {
		return errors.Wrapf(ErrCorrupt, "chunk %s: contents do not match the digest", digest)
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
		return nil, errors.Wrap(ErrCorrupt, "value too large after decompression")
	}
	return raw, nil
}
