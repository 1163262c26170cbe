package config

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// maxInlineBytes limits the total size of the packed chunks that a manifest includes, in bytes. With
// inline chunks a small edit reaches a watching instance as one event without further calls; the
// chunks of a large edit are fetched.
const maxInlineBytes = 48 << 10

// Edit describes an accepted edit: who made it, when, and what it changed.
type Edit struct {
	// ID is the same when the same edit is repeated, so that an edit whose response was lost is
	// recognized.
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Note     string    `json:"note,omitempty"`
	Time     time.Time `json:"time"`
	// Changes lists the changed entries, at most maxListedChanges of them; Changed is the number of
	// all changed entries.
	Changes []Change `json:"changes,omitempty"`
	Changed int      `json:"changed"`
}

// Shards are the digests of a section's shards, indexed by shard number.
type Shards []Digest

// MarshalJSON implements json.Marshaler. It writes the concatenated digests in base64.
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

// Sections holds the shards of each section of the two lists.
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

// digests calls visit with the digest of each chunk that the sections reference.
func (s *Sections) digests(visit func(Digest)) {
	for _, shards := range s.all() {
		for _, digest := range shards {
			if digest != emptyDigest {
				visit(digest)
			}
		}
	}
}

// Manifest is the stored object that references all parts of the accepted configuration. Its store
// version is the configuration's version.
type Manifest struct {
	Edit Edit `json:"edit"`
	// EditVersion is the version at which Edit was accepted if a collection has written the manifest
	// again since; otherwise 0.
	EditVersion uint64 `json:"edit_version,omitempty"`
	// Parent is the digest of the chunk with the Record of the previous version.
	Parent   Digest   `json:"parent"`
	Sections Sections `json:"sections"`
	// Inline are the chunks that this edit added, if they are small enough.
	Inline Chunks `json:"inline,omitempty"`
}

// Record describes a version in the history. The records of past versions are stored as chunks.
type Record struct {
	Version  uint64   `json:"version"`
	Edit     Edit     `json:"edit"`
	Parent   Digest   `json:"parent"`
	Sections Sections `json:"sections"`
}

// acceptedVersion returns the version at which the manifest's edit was accepted. The argument is the
// store version at which the manifest was read.
func (m *Manifest) acceptedVersion(read uint64) uint64 {
	if m.EditVersion > 0 {
		return m.EditVersion
	}
	return read
}

// record returns the record of the manifest's version for the history.
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
