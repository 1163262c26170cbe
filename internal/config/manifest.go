package config

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// maxInline bounds the packed chunks that a manifest carries itself, in bytes.
// With them an ordinary edit reaches a watching instance as one event and
// costs it no further call; a large edit's chunks are fetched.
const maxInlineBytes = 48 << 10

// Edit tells who accepted a version, when and what it changed.
type Edit struct {
	// ID is the same for the same edit tried again, so that an edit whose
	// answer was lost is recognized.
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Note     string    `json:"note,omitempty"`
	Time     time.Time `json:"time"`
	// Changes are the entries that it changed, at most maxListed of them;
	// Changed is the number of all.
	Changes []Change `json:"changes,omitempty"`
	Changed int      `json:"changed"`
}

// Shards are the digests of a section's shards, in order of the shard's number.
type Shards []Digest

// MarshalJSON implements json.Marshaler: the digests end to end, in base64.
func (s Shards) MarshalJSON() ([]byte, error) {
	raw := make([]byte, 0, len(s)*len(Digest{}))
	for _, digest := range s {
		raw = append(raw, digest[:]...)
	}
	return json.Marshal(raw)
}

// UnmarshalJSON implements json.Unmarshaler.
func (s *Shards) UnmarshalJSON(data []byte) error {
	var raw []byte
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	if len(raw)%len(Digest{}) != 0 {
		return ErrCorrupt
	}
	*s = make(Shards, len(raw)/len(Digest{}))
	for i := range *s {
		copy((*s)[i][:], raw[i*len(Digest{}):])
	}
	return nil
}

// Sections are the shards of each section of the lists.
type Sections struct {
	Plans     Shards `json:"plans"`
	Models    Shards `json:"models"`
	Services  Shards `json:"services"`
	Upstreams Shards `json:"upstreams"`
	Grants    Shards `json:"grants"`
}

func (s *Sections) all() []Shards {
	return []Shards{s.Plans, s.Models, s.Services, s.Upstreams, s.Grants}
}

// digests calls visit for each chunk that the sections name.
func (s *Sections) digests(visit func(Digest)) {
	for _, shards := range s.all() {
		for _, digest := range shards {
			if digest != emptyDigest {
				visit(digest)
			}
		}
	}
}

// Manifest is the object that names everything in force. Its store version is
// the configuration's version.
type Manifest struct {
	Edit Edit `json:"edit"`
	// EditVersion is the version at which Edit was accepted, where a
	// collection has written the manifest again since; else 0.
	EditVersion uint64 `json:"edit_version,omitempty"`
	// Parent names the chunk that holds the Record of the version before.
	Parent   Digest   `json:"parent"`
	Sections Sections `json:"sections"`
	// Inline are chunks that this edit brought.
	Inline Chunks `json:"inline,omitempty"`
}

// Record is a past version, kept as a chunk.
type Record struct {
	Version  uint64   `json:"version"`
	Edit     Edit     `json:"edit"`
	Parent   Digest   `json:"parent"`
	Sections Sections `json:"sections"`
}

// editVersion returns the version at which the manifest's edit was accepted,
// given the version at which the manifest was read.
func (m *Manifest) acceptedVersion(read uint64) uint64 {
	if m.EditVersion > 0 {
		return m.EditVersion
	}
	return read
}

// record returns the manifest as a record of the past.
func (m *Manifest) record(read uint64) Record {
	return Record{Version: m.acceptedVersion(read), Edit: m.Edit, Parent: m.Parent, Sections: m.Sections}
}

func (m *Manifest) encode() ([]byte, error) {
	raw, err := json.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "config: encode manifest")
	}
	return compress(raw)
}

func decodeManifest(value []byte) (*Manifest, error) {
	raw, err := decompress(value)
	if err != nil {
		return nil, err
	}
	m := &Manifest{}
	if err := json.Unmarshal(raw, m); err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "manifest: %v", err)
	}
	return m, nil
}
