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

// Backoff between attempts of an edit after an outage or a conflicting update of the manifest.
const (
	editRetryMin = 50 * time.Millisecond
	editRetryMax = 2 * time.Second
)

// Proposal is an edit that an operator asks for.
type Proposal struct {
	Operator string
	Note     string
	// Base is the version that the operator edited. Changes that other edits made since are kept;
	// if an entry was changed on both sides in different ways, the edit is rejected.
	Base uint64
	// Plans and Usage are the proposed lists; a nil list is not changed.
	Plans *plan.List
	Usage *usage.List
}

// Accepted is the result of an edit.
type Accepted struct {
	// Version is the version at which the edit was accepted.
	Version uint64
	Changes []Change
	// Repeated indicates that the same edit had been accepted before.
	Repeated bool
	// Unchanged indicates that the lists were already as proposed.
	Unchanged bool
}

// Editor edits the lists in the store. It keeps no state between calls except the chunks in its
// cache folder.
type Editor struct {
	client store.Client
	cache  chunkCache
}

// NewEditor returns an editor on the object API.
func NewEditor(client store.Client) *Editor { return &Editor{client: client} }

// NewCachedEditor returns an editor that caches chunks in folder. It creates the folder if needed.
func NewCachedEditor(client store.Client, folder string) *Editor {
	return &Editor{client: client, cache: chunkCache{folder: folder}}
}

// ErrOutcomeUnknown indicates that an edit may or may not have been accepted: the response to its
// conditional update was lost, and the manifest could not be read back before the deadline. The same
// proposal can be applied again; it is accepted at most once.
var ErrOutcomeUnknown = errors.New("config: outcome unknown; apply the same edit again to learn it")

// ErrNotAccepted indicates that an edit failed because of an outage and was not accepted.
var ErrNotAccepted = errors.New("config: not accepted")

// Apply makes an edit: it merges the proposal with the edits accepted since its base, validates both
// lists and updates the manifest on the condition that it has not changed since it was read. The
// error is ConflictError, listfile.Problems, ErrNotAccepted or ErrOutcomeUnknown. After an outage, a
// lost response or another edit's update of the manifest, Apply retries until ctx ends.
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
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = editRetryMin
	policy.MaxInterval = editRetryMax
	return policy
}

// errManifestUnknown indicates that the response to the manifest's update was lost.
var errManifestUnknown = errors.Wrap(store.ErrUnknown, "config: manifest")

func retryable(err error) bool {
	return errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrUnknown) || errors.Is(err, store.ErrConflict) ||
		errors.Is(err, errNotYetReadable)
}

// applyOnce reads the accepted configuration and attempts the edit once. It searches the history
// first, so that an edit that was accepted although its response was lost is not made again.
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

// accept writes the new chunks and then the manifest, on the condition that it is still current.
func (e *Editor) accept(ctx context.Context, current *head, merged Lists, edit Edit) (Accepted, error) {
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

// pair returns the proposed lists; a list that the proposal does not set is taken from base.
func (p *Proposal) pair(base Lists) Lists {
	pair := base
	if p.Plans != nil {
		pair.Plans = p.Plans
	}
	if p.Usage != nil {
		pair.Usage = p.Usage
	}
	return pair
}

// id derives the edit's ID from its contents, so that an operator who repeats the same command after
// a crash repeats the same edit.
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
