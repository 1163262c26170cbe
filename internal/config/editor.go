package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"foxhall/internal/plan"
	"foxhall/internal/store"
	"foxhall/internal/usage"
)

// Pauses between the tries of an edit that met an outage or another edit.
const (
	editRetryMin = 50 * time.Millisecond
	editRetryMax = 2 * time.Second
)

// Proposal is an edit that an operator asks for.
type Proposal struct {
	Operator string
	Note     string
	// Base is the version from which the operator began. What others changed
	// since is kept, unless both changed one entry.
	Base uint64
	// Plans and Usage are the lists as they should be; a nil list stays as it is.
	Plans *plan.List
	Usage *usage.List
}

// Accepted is the answer to an edit.
type Accepted struct {
	// Version is the version at which the edit was accepted.
	Version uint64
	Changes []Change
	// Repeated says that this very edit had been accepted before.
	Repeated bool
	// Unchanged says that the lists already were as proposed.
	Unchanged bool
}

// Editor edits the lists in the store. It holds nothing between calls but the
// chunks that its cache folder keeps.
type Editor struct {
	client store.Client
	cache  chunkCache
}

// NewEditor returns an editor on the object API.
func NewEditor(client store.Client) *Editor { return &Editor{client: client} }

// NewCachedEditor returns an editor that keeps chunks in a folder, which it creates.
func NewCachedEditor(client store.Client, folder string) *Editor {
	return &Editor{client: client, cache: chunkCache{folder: folder}}
}

// ErrOutcomeUnknown says that an edit may or may not have been accepted: the
// answer of its conditional update was lost and could not be read back before
// the deadline. The same proposal may be tried again; it is accepted once.
var ErrOutcomeUnknown = errors.New("config: outcome unknown; apply the same edit again to learn it")

// ErrNotAccepted says that an edit met an outage before anything was accepted.
var ErrNotAccepted = errors.New("config: not accepted")

// Apply makes an edit: it merges the proposal with what others changed since
// its base, validates the pair and updates the manifest on the condition that
// nobody was faster. The error is ConflictError, listfile.Problems,
// ErrNotAccepted or ErrOutcomeUnknown. It goes on trying until ctx ends.
func (e *Editor) Apply(ctx context.Context, p Proposal) (Accepted, error) {
	id, err := p.id()
	if err != nil {
		return Accepted{}, err
	}
	uncertain := false
	accepted, err := backoff.Retry(ctx, func() (Accepted, error) {
		accepted, err := e.applyOnce(ctx, &p, id)
		if err == nil {
			return accepted, nil
		}
		uncertain = uncertain || errors.Is(err, errManifestUnknown)
		if !retryable(err) {
			return accepted, backoff.Permanent(err)
		}
		return accepted, err
	}, backoff.WithBackOff(editBackOff()), backoff.WithMaxElapsedTime(0))
	switch {
	case err == nil:
		return accepted, nil
	case !retryable(err) && ctx.Err() == nil:
		return Accepted{}, err
	case uncertain:
		return Accepted{}, errors.Wrap(ErrOutcomeUnknown, err.Error())
	default:
		return Accepted{}, errors.Wrap(ErrNotAccepted, err.Error())
	}
}

func editBackOff() *backoff.ExponentialBackOff {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = editRetryMin
	pause.MaxInterval = editRetryMax
	return pause
}

// errManifestUnknown says that the answer of the manifest's update was lost.
var errManifestUnknown = errors.Wrap(store.ErrUnknown, "config: manifest")

func retryable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrConflict) ||
		errors.Is(err, errNotYetReadable)
}

// try reads what is in force and attempts the edit once. An edit whose answer
// was lost is found in the history that it reads first.
func (e *Editor) applyOnce(ctx context.Context, p *Proposal, id string) (Accepted, error) {
	current, err := e.head(ctx)
	if err != nil {
		return Accepted{}, err
	}
	history, err := current.editsSince(ctx, p.Base)
	if err != nil {
		return Accepted{}, err
	}
	for _, record := range history.edits {
		if record.Edit.ID == id {
			return Accepted{Version: record.Version, Changes: record.Edit.Changes, Repeated: true}, nil
		}
	}
	if err := current.addProposalChunks(p); err != nil {
		return Accepted{}, err
	}
	accepted, err := current.pair(ctx, &current.manifest.Sections)
	if err != nil {
		return Accepted{}, err
	}
	base, err := current.pair(ctx, &history.base.Sections)
	if err != nil {
		return Accepted{}, err
	}
	merged, conflicts := mergePairs(base, p.pair(base), accepted)
	if len(conflicts) > 0 {
		return Accepted{}, &ConflictError{Base: p.Base, Version: current.acceptedVersion(), Entries: conflicts, Edits: history.edits}
	}
	changes := Diff(accepted, merged)
	if len(changes) == 0 {
		return Accepted{Version: current.acceptedVersion(), Unchanged: true}, nil
	}
	if err := Validate(merged.Plans, merged.Usage); err != nil {
		return Accepted{}, withLines(err, p)
	}
	return e.accept(ctx, current, merged, p.edit(id, changes))
}

// accept writes the chunks and then the manifest.
func (e *Editor) accept(ctx context.Context, current *head, merged Pair, edit Edit) (Accepted, error) {
	sections, chunks, err := pack(merged.Plans, merged.Usage, &current.manifest.Sections)
	if err != nil {
		return Accepted{}, err
	}
	newChunks := chunks.without(&current.manifest.Sections)
	next := Manifest{Edit: edit, Sections: sections, Inline: newChunks.inline()}
	if current.version > 0 {
		digest, packed, err := packChunk(current.manifest.record(current.version))
		if err != nil {
			return Accepted{}, err
		}
		next.Parent = digest
		newChunks[digest] = packed
	}
	value, err := next.encode()
	if err != nil {
		return Accepted{}, err
	}
	if err := e.writeChunks(ctx, newChunks); err != nil {
		return Accepted{}, err
	}
	version, err := e.client.Put(ctx, ManifestKey, value, store.Version(current.version))
	if errors.Is(err, store.ErrUnknown) {
		return Accepted{}, errors.Wrap(errManifestUnknown, err.Error())
	}
	if err != nil {
		return Accepted{}, err
	}
	return Accepted{Version: uint64(version), Changes: edit.Changes}, nil
}

// pair returns the lists as proposed, over those of the base.
func (p *Proposal) pair(base Pair) Pair {
	pair := base
	if p.Plans != nil {
		pair.Plans = p.Plans
	}
	if p.Usage != nil {
		pair.Usage = p.Usage
	}
	return pair
}

// id derives the edit's identity from its contents, so that an operator who
// runs the same command again after a crash asks for the same edit.
func (p *Proposal) id() (string, error) {
	raw, err := json.Marshal(struct {
		Operator string
		Base     uint64
		Plans    *plan.List
		Usage    *usage.List
	}{p.Operator, p.Base, p.Plans, p.Usage})
	if err != nil {
		return "", errors.Wrap(err, "config: edit id")
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:len(Digest{})]), nil
}

func (p *Proposal) edit(id string, changes []Change) Edit {
	return Edit{
		ID: id, Operator: p.Operator, Note: p.Note, Time: time.Now().UTC().Truncate(time.Second),
		Changes: changes[:min(len(changes), maxListedChanges)], Changed: len(changes),
	}
}
