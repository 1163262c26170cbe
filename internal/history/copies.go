package history

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/history/historypb"
	"foxhall/internal/store"
)

const (
	// copyInterval is the shortest time between two copies that a keeper writes to the store.
	copyInterval = 40 * time.Millisecond
	// copyRetryInterval is the pause after a copy that the store did not acknowledge.
	copyRetryInterval = 200 * time.Millisecond
	// maxCopySize bounds the records of one copy in bytes. Encoded as text they fit an object of the store.
	maxCopySize = 640 << 10
	// minCopiesRewritten is the size in bytes of a keeper's copies from which on they are replaced by
	// copies of what it still retains.
	minCopiesRewritten = 16 << 20
	// rewrittenPerCopy is how many copies of what is retained are written with each new one.
	rewrittenPerCopy = 2
	// obsoletePerCopy is how many replaced copies are deleted with each new one.
	obsoletePerCopy = 3
	// copyCleanupInterval is the time between two removals of copies that are not needed any more.
	copyCleanupInterval = 30 * time.Second
)

// Copies stores records outside of the keepers' disks, where nothing is lost that was acknowledged.
type Copies interface {
	// WriteCopy stores a copy under a new name and returns its version. If there is one of that name, it is
	// from an earlier try; the version is 0 if the store does not tell it.
	WriteCopy(ctx context.Context, name string, data []byte) (store.Version, error)
	// ListCopies returns the copies whose names begin with the prefix.
	ListCopies(ctx context.Context, prefix string) ([]Copy, error)
	// DeleteCopy deletes a copy that was listed.
	DeleteCopy(ctx context.Context, c Copy) error
}

// Copy is an object with framed records.
type Copy struct {
	Name    string
	Version store.Version
	Data    []byte
}

// copyPrefix returns the prefix of the names of the copies made by the keeper with the disk.
func copyPrefix(disk string) string { return disk + "." }

// diskOfCopy returns the disk of the keeper that made a copy.
func diskOfCopy(name string) string {
	disk, _, _ := strings.Cut(name, ".")
	return disk
}

// copier copies the changes that this keeper makes as a primary to the store while they are on no more disks than may
// fail at once. The keeper's lock guards pending; the rest is used by one goroutine.
type copier struct {
	pending []copyRequest
	wake    chan struct{}
	// written are the copies, without their data, size is their length in bytes, and limit the size at which
	// they are replaced. obsolete are those that were replaced.
	written, obsolete []Copy
	size, limit       int
	count             int
	// copied are the records in them.
	copied map[copiedRecord]struct{}
	// rewrite is the replacement of copies that is under way, or nil.
	rewrite *rewrite
}

// rewrite replaces copies by copies of what is retained.
type rewrite struct {
	parts    [][]*historypb.Record
	replaced []Copy
}

// copiedRecord identifies a turn or an account of a shard.
type copiedRecord struct {
	shard     uint32
	isAccount bool
	key       string
}

// identify returns the identity of a record, which is that of all versions of an account.
func identify(r *historypb.Record) copiedRecord {
	if a := r.GetAccount(); a != nil {
		return copiedRecord{shard: r.Slice, isAccount: true, key: recordKey(a.Customer, a.Program)}
	}
	if t := r.GetTurn(); t != nil {
		return copiedRecord{shard: r.Slice, key: recordKey(t.Customer, t.Id)}
	}
	return copiedRecord{shard: r.Slice}
}

// copyRequest is a change that is to be copied.
type copyRequest struct {
	shard  *shard
	commit *pendingCommit
}

// copyIfNeeded requests a copy of a change if it is committed only with one; the lock is held.
func (k *Keeper) copyIfNeeded(s *shard, e *pendingCommit) {
	if !s.copiesChanges || s.role.Primary != k.settings.Name || e.copyRequested {
		return
	}
	e.copyRequested = true
	s.uncopied = append(s.uncopied, e)
	k.copier.pending = append(k.copier.pending, copyRequest{shard: s, commit: e})
	notify(k.copier.wake)
}

// runCopier copies the requested changes, several at a time.
func (k *Keeper) runCopier(ctx context.Context) {
	for {
		select {
		case <-k.copier.wake:
		case <-ctx.Done():
			return
		}
		for batch := k.nextCopies(); len(batch) > 0 && ctx.Err() == nil; batch = k.nextCopies() {
			k.copyBatch(ctx, batch)
			k.rewriteCopies(ctx)
			k.deleteObsolete(ctx)
			sleep(ctx, copyInterval)
		}
	}
}

// nextCopies returns changes that are to be copied together, at least one unless there is none. It leaves out those whose
// callers have given up: they make them again, and would wait for these. A turn is copied once all the same, since
// another one may continue it.
func (k *Keeper) nextCopies() []copyRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	var batch []copyRequest
	size, planned := 0, map[copiedRecord]bool{}
	for len(k.copier.pending) > 0 {
		r := k.copier.pending[0]
		if time.Since(r.commit.began) > commitTimeout && !k.copier.lacksTurn(r.commit, planned) {
			k.copier.pending = k.copier.pending[1:]
			r.shard.forgetUncopied(r.commit)
			continue
		}
		size += recordsSize(r.commit.records)
		if len(batch) > 0 && size > maxCopySize {
			break
		}
		k.copier.pending = k.copier.pending[1:]
		if r.commit.primaryTerm == r.shard.primaryTerm && !r.commit.completed {
			batch = append(batch, r)
			for _, record := range r.commit.records {
				planned[identify(record)] = true
			}
		}
	}
	return batch
}

// lacksTurn reports whether a change has a turn that is neither copied nor among the planned records.
func (c *copier) lacksTurn(e *pendingCommit, planned map[copiedRecord]bool) bool {
	return slices.ContainsFunc(e.records, func(r *historypb.Record) bool {
		id := identify(r)
		_, isCopied := c.copied[id]
		return r.GetTurn() != nil && !isCopied && !planned[id]
	})
}

// copyBatch writes the records of a batch to copies, as often as it takes, and completes its changes. A batch without
// records writes none, one with a single large change may need several.
func (k *Keeper) copyBatch(ctx context.Context, batch []copyRequest) {
	var records []*historypb.Record
	for _, r := range batch {
		records = append(records, r.commit.records...)
	}
	for _, part := range splitRecords(records) {
		if size := recordsSize(part); size > maxCopySize {
			k.settings.Logger.WithField("bytes", size).Warn("record too large for a copy in the store; not acknowledged without more backups")
			return
		}
		if !k.writeCopy(ctx, part) {
			return
		}
	}
	if !k.confirmRoles(ctx) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range batch {
		r.commit.copied = r.commit.copyRequested
		r.shard.completeIfCommitted(r.commit)
		r.shard.forgetUncopied(r.commit)
	}
}

// confirmRoles reads the assignment until the store answers, and applies it: changes of shards of which this keeper is
// no longer the primary are aborted. A successor changes the assignment before it reads the copies, so that it has each
// copy that was written before the assignment still named this keeper. It returns false if ctx ends before.
func (k *Keeper) confirmRoles(ctx context.Context) bool {
	for ctx.Err() == nil {
		a, version, err := k.assignments.Read(ctx)
		if err == nil && version > 0 {
			k.ApplyAssignment(a, version)
			return true
		}
		k.settings.Logger.WithError(err).Warn("assignment not confirmed by the store; copied changes wait")
		sleep(ctx, copyRetryInterval)
	}
	return false
}

// writeCopy writes one copy until the store acknowledges it. It returns false if ctx ends before.
func (k *Keeper) writeCopy(ctx context.Context, records []*historypb.Record) bool {
	data := encodeCopy(records)
	k.copier.count++
	name := fmt.Sprintf("%s%d.%08d", copyPrefix(k.disk), k.diskStarts, k.copier.count)
	for ctx.Err() == nil {
		version, err := k.settings.Copies.WriteCopy(ctx, name, data)
		if err == nil {
			k.copier.written, k.copier.size = append(k.copier.written, Copy{Name: name, Version: version}), k.copier.size+len(data)
			for _, r := range records {
				k.copier.copied[identify(r)] = struct{}{}
			}
			return true
		}
		k.settings.Logger.WithError(err).Warn("copy of changes not written to the store; retrying")
		sleep(ctx, copyRetryInterval)
	}
	return false
}

// rewriteCopies replaces the copies of this process, once they are large, by copies of what is retained of them: some
// with each batch, so that changes don't wait for all.
func (k *Keeper) rewriteCopies(ctx context.Context) {
	c := &k.copier
	if c.rewrite == nil {
		if c.size < max(minCopiesRewritten, c.limit) {
			return
		}
		c.rewrite = &rewrite{parts: splitRecords(k.retainedCopied()), replaced: c.written}
		c.written, c.size = nil, 0
	}
	for range min(rewrittenPerCopy, len(c.rewrite.parts)) {
		if !k.writeCopy(ctx, c.rewrite.parts[0]) {
			return
		}
		c.rewrite.parts = c.rewrite.parts[1:]
	}
	if len(c.rewrite.parts) == 0 {
		c.limit, c.obsolete = 2*c.size, append(c.obsolete, c.rewrite.replaced...)
		c.rewrite = nil
	}
}

// deleteObsolete deletes a few of the copies that were replaced: more than come with each new one. What it
// fails to delete is left for the cleanup.
func (k *Keeper) deleteObsolete(ctx context.Context) {
	c := &k.copier
	for range min(obsoletePerCopy, len(c.obsolete)) {
		if err := k.settings.Copies.DeleteCopy(ctx, c.obsolete[0]); err != nil {
			k.settings.Logger.WithError(err).Warn("replaced copy of changes not deleted; it is left for the cleanup")
		}
		c.obsolete = c.obsolete[1:]
	}
}

// retainedCopied returns the records of this process's copies that are still retained, in shards that may be recovered from
// them.
func (k *Keeper) retainedCopied() []*historypb.Record {
	k.mu.Lock()
	defer k.mu.Unlock()
	var records []*historypb.Record
	for c := range k.copier.copied {
		s := k.shards[c.shard]
		r := s.state.record(c)
		if r == nil || !s.role.needsCopiesOf(k.disk) {
			delete(k.copier.copied, c)
			continue
		}
		records = append(records, r)
	}
	return records
}

// record returns the present record with the identity, or nil.
func (s *state) record(c copiedRecord) *historypb.Record {
	if a := s.accounts[c.key]; c.isAccount && a != nil {
		return accountRecord(c.shard, a)
	}
	if t := s.turns[c.key]; !c.isAccount && t != nil {
		return turnRecord(c.shard, t.turn)
	}
	return nil
}

// splitRecords splits records into parts that fit a copy, unless a single record doesn't.
func splitRecords(records []*historypb.Record) [][]*historypb.Record {
	var parts [][]*historypb.Record
	size := 0
	for _, r := range records {
		n := recordsSize([]*historypb.Record{r})
		if len(parts) == 0 || size+n > maxCopySize {
			parts, size = append(parts, nil), 0
		}
		last := len(parts) - 1
		parts[last], size = append(parts[last], r), size+n
	}
	return parts
}

// forgetUncopied removes a change from those that wait for their copies; the lock is held.
func (s *shard) forgetUncopied(e *pendingCommit) {
	s.uncopied = slices.DeleteFunc(s.uncopied, func(other *pendingCommit) bool { return other == e })
}

// recordsSize returns the length of the records in a copy, in bytes.
func recordsSize(records []*historypb.Record) int {
	size := 0
	for _, r := range records {
		size += frameHeaderSize + proto.Size(r)
	}
	return size
}

// encodeCopy returns the framed records of a copy.
func encodeCopy(records []*historypb.Record) []byte {
	var data []byte
	for _, r := range records {
		framed, err := appendFrame(data, r)
		if err != nil {
			panic(errors.Wrap(err, "record can't be encoded"))
		}
		data = framed
	}
	return data
}

// errIncompleteCopy indicates a copy that can't be decoded to its end.
var errIncompleteCopy = errors.New("history: copy is incomplete")

// decodeCopy returns the records of a copy.
func decodeCopy(data []byte) ([]*historypb.Record, error) {
	frames := &frameReader{reader: bytes.NewReader(data), remaining: int64(len(data))}
	var records []*historypb.Record
	for frames.remaining > 0 {
		r, err := frames.next()
		if err != nil {
			return nil, errors.Wrap(err, "history")
		}
		if r == nil {
			return nil, errIncompleteCopy
		}
		records = append(records, r)
	}
	return records, nil
}
