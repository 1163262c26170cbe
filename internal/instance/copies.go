package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"foxhall/internal/ledger"
	"foxhall/internal/membership"
	"foxhall/internal/peer"
	"foxhall/internal/peer/peerpb"
	"foxhall/internal/program"
	"foxhall/internal/store"
)

// copies manages the copies of log records that instances hold for each other while the object API
// is down: those that peers hold for this instance, and those held here for peers. It implements
// ledger.Holders and ownership.Copies; copyService serves the copies held here to peers.
type copies struct {
	instance *Instance
	held     *ledger.HeldCopies
	// hasDisk is the set of addresses of peers that keep copies on a disk; they are asked first.
	hasDisk sync.Map
	// deaths is the number of instances declared dead since copies were last replicated.
	deaths atomic.Int64
}

// peerFanout bounds the concurrent calls to peers in forEachMember.
const peerFanout = 8

const (
	// replicateTimeout bounds one attempt to replicate the held copies.
	replicateTimeout = 10 * time.Second
	// replicateRetryDelay is the delay before the next attempt.
	replicateRetryDelay = 2 * time.Second
)

// Hold implements ledger.Holders.
func (c *copies) Hold(ctx context.Context, batch ledger.Copy) (int, error) {
	confirmed := 0
	lastErr := errors.New("instance: no peers to hold a copy")
	request := &peerpb.HoldRequest{Cohort: string(batch.Cohort), Records: copyToWire(batch)}
	for _, m := range c.rankedHolders(batch.Cohort) {
		response, err := c.instance.peers.Hold(ctx, m.Address, request)
		if err != nil {
			lastErr = err
			continue
		}
		if response.GetOnDisk() {
			c.hasDisk.Store(m.Address, true)
		}
		if confirmed++; confirmed >= ledger.RequiredCopies {
			return confirmed, nil
		}
	}
	return confirmed, lastErr
}

// rankedHolders returns the peers of the data centre that may hold copies for an owner, those known
// to have a disk first and joining ones last.
func (c *copies) rankedHolders(owner program.Cohort) []membership.Member {
	view := c.instance.view()
	var withDisk, withoutDisk []membership.Member
	for _, m := range view.Ranked(c.instance.settings.DataCentre, string(c.instance.cohort)) {
		if m.Cohort == c.instance.cohort || m.Cohort == owner {
			continue
		}
		if _, ok := c.hasDisk.Load(m.Address); ok {
			withDisk = append(withDisk, m)
			continue
		}
		withoutDisk = append(withoutDisk, m)
	}
	return append(append(withDisk, withoutDisk...), c.joiningPeers()...)
}

// joiningPeers returns the peers of the data centre that run but are not known to be ready. When
// all instances start at once while the object API is down, none becomes ready before others can
// hold copies.
func (c *copies) joiningPeers() []membership.Member {
	var joining []membership.Member
	for _, m := range c.instance.otherMembers(c.instance.settings.DataCentre) {
		if m.State == membership.Joining {
			joining = append(joining, m)
		}
	}
	return joining
}

// Release implements ledger.Holders.
func (c *copies) Release(ctx context.Context, cohort program.Cohort, upTo uint64) {
	request := &peerpb.ReleaseRequest{Cohort: string(cohort), UpToSequence: upTo}
	c.forEachMember(c.instance.otherMembers(c.instance.settings.DataCentre), func(m membership.Member) {
		_, _ = c.instance.peers.Release(ctx, m.Address, request)
	})
}

// forEachMember calls do for each member, for at most peerFanout members at a time.
func (c *copies) forEachMember(members []membership.Member, do func(membership.Member)) {
	var calls sync.WaitGroup
	slots := make(chan struct{}, peerFanout)
	for _, m := range members {
		slots <- struct{}{}
		calls.Go(func() {
			do(m)
			<-slots
		})
	}
	calls.Wait()
}

// Collect implements ownership.Copies.
func (c *copies) Collect(ctx context.Context, cohort program.Cohort) ([]ledger.Copy, int) {
	found := []ledger.Copy{c.held.Held(cohort)}
	var mu sync.Mutex
	unreachable := countUnreachableHolders(c.instance.view(), c.instance.settings.DataCentre, cohort)
	c.forEachMember(c.instance.otherMembers(c.instance.settings.DataCentre), func(m membership.Member) {
		response, err := c.instance.peers.Held(ctx, m.Address, &peerpb.HeldRequest{Cohort: string(cohort)})
		var held ledger.Copy
		if err == nil {
			held, err = copyFromWire(cohort, response.GetRecords())
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			unreachable++
			return
		}
		found = append(found, held)
	})
	return found, unreachable
}

// holderDeathMargin is how long before its owner a holder may have been declared dead and still
// count as unreachable. When one fault stops several instances, holders are declared dead before or
// after their owner, up to a minute apart, because an isolated side delays its actions
// (membership.Timing.IsolationHold). The owner also needs up to replicateTimeout to replace a lost
// copy.
const holderDeathMargin = time.Minute + replicateTimeout

// countUnreachableHolders counts the instances that may have held a copy for the cohort and can't
// be asked: those declared dead since holderDeathMargin before its owner, and those suspected now.
// An instance that left gracefully is not counted, because it handed off its copies; see
// handOffCopies.
func countUnreachableHolders(view *membership.View, dataCentre string, cohort program.Cohort) int {
	var since time.Time
	if m, ok := view.Member(cohort); ok {
		since = m.Since.Add(-holderDeathMargin)
	}
	count := 0
	for _, m := range view.Members() {
		unreachable := m.State == membership.Suspect || m.State == membership.Dead && !m.LeftGracefully && !m.Since.Before(since)
		if unreachable && m.DataCentre() == dataCentre && m.Cohort != cohort {
			count++
		}
	}
	return count
}

// replicateHeld runs after the death of an instance, which may have held copies for this cohort. It
// calls replicate to copy the held records to peers again, and retries until an attempt succeeds,
// nothing is held, or the log is closed. Without it, a second death would lose turns that were
// reported to callers as durable. A further death during an attempt starts another one.
func (c *copies) replicateHeld(replicate func(context.Context) error) {
	if c.deaths.Add(1) > 1 {
		return
	}
	for {
		seen := c.deaths.Load()
		ctx, cancel := context.WithTimeout(context.Background(), replicateTimeout)
		err := replicate(ctx)
		cancel()
		switch {
		case errors.Is(err, ledger.ErrClosed), err == nil && c.deaths.CompareAndSwap(seen, 0):
			return
		case err != nil:
			log.WithError(err).Warn("turns have too few copies on peers; retrying")
			time.Sleep(replicateRetryDelay)
		}
	}
}

// handOffCopies gives the copies held here for others to peers before this instance stops. After an
// error the instance must not announce its departure: only a holder that was declared dead counts
// as unreachable when an owner's copies are collected.
func (i *Instance) handOffCopies(ctx context.Context) error {
	return handOffHeld(ctx, i.copies.held, i.copies.Hold)
}

func handOffHeld(ctx context.Context, held *ledger.HeldCopies, hold func(context.Context, ledger.Copy) (int, error)) error {
	var lastErr error
	for _, cohort := range held.Cohorts() {
		for part := range held.Batches(cohort) {
			holders, err := hold(ctx, part)
			if holders < ledger.RequiredCopies {
				lastErr = errors.Errorf("instance: too few peers (%d) accepted the copies held for %s: %v", holders, cohort, err)
			}
		}
	}
	return lastErr
}

// DropAll implements ownership.Copies.
func (c *copies) DropAll(ctx context.Context, cohort program.Cohort) {
	_ = c.held.Release(cohort, ^uint64(0))
	c.Release(ctx, cohort, ^uint64(0))
}

// forgetInterval is the interval between checks for held copies that can be dropped.
const forgetInterval = time.Hour

// run drops copies of moved cohorts until ctx ends. Without it, an instance that was unreachable
// when the copies were released would keep them indefinitely, and they would use up space for
// copies of other cohorts.
func (c *copies) run(ctx context.Context) {
	ticker := time.NewTicker(forgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, cohort := range c.held.Cohorts() {
			c.forgetMoved(ctx, cohort)
		}
	}
}

// forgetMoved drops the cohort's copies if all its programs were adopted. In that case the cohort's
// own object is deleted and only its moved object, which names the new owners, exists.
func (c *copies) forgetMoved(ctx context.Context, cohort program.Cohort) {
	_, err := c.instance.store.Get(ctx, ledger.CohortKey(cohort))
	if !errors.Is(err, store.ErrNotFound) {
		return
	}
	if _, err := c.instance.store.Get(ctx, ledger.MovedKey(cohort)); err != nil {
		return
	}
	err = c.held.Release(cohort, ^uint64(0))
	log.WithField("of", string(cohort)).WithField("failed", err != nil).Info("copies of a moved cohort dropped")
}

// copyService serves the copies that this instance holds for others.
type copyService struct{ copies *copies }

var _ peer.Copies = copyService{}

// Hold implements peer.Copies.
func (s copyService) Hold(_ context.Context, r *peerpb.HoldRequest) (*peerpb.HoldResponse, error) {
	copied, err := copyFromWire(program.Cohort(r.GetCohort()), r.GetRecords())
	if err != nil {
		return nil, peer.Invalid(err.Error())
	}
	if s.copies.instance.ownership.Sealed(copied.Cohort) {
		return nil, peer.Refuse("the cohort's log is sealed")
	}
	if err := s.copies.held.Hold(copied); err != nil {
		return nil, peer.Refuse(err.Error())
	}
	response := &peerpb.HoldResponse{OnDisk: s.copies.instance.settings.DataFolder != ""}
	if n := len(copied.Records); n > 0 {
		response.HeldSequence = copied.Records[n-1].Sequence
	}
	return response, nil
}

// Held implements peer.Copies.
func (s copyService) Held(_ context.Context, r *peerpb.HeldRequest) (*peerpb.HeldResponse, error) {
	return &peerpb.HeldResponse{Records: copyToWire(s.copies.held.Held(program.Cohort(r.GetCohort())))}, nil
}

// Release implements peer.Copies.
func (s copyService) Release(_ context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseResponse, error) {
	if err := s.copies.held.Release(program.Cohort(r.GetCohort()), r.GetUpToSequence()); err != nil {
		return nil, peer.Refuse(err.Error())
	}
	return &peerpb.ReleaseResponse{}, nil
}

// copyToWire encodes a copy as one opaque record with the ledger's checksum.
func copyToWire(c ledger.Copy) []*peerpb.HeldRecord {
	if len(c.Records) == 0 {
		return nil
	}
	last := c.Records[len(c.Records)-1].Sequence
	return []*peerpb.HeldRecord{{Sequence: last, Value: ledger.EncodeCopy(c)}}
}

func copyFromWire(cohort program.Cohort, wire []*peerpb.HeldRecord) (ledger.Copy, error) {
	all := ledger.Copy{Cohort: cohort}
	for _, w := range wire {
		part, err := ledger.DecodeCopy(w.GetValue())
		if err != nil {
			return ledger.Copy{}, err
		}
		if part.Cohort != cohort {
			return ledger.Copy{}, errors.Wrap(ledger.ErrCorrupt, "copy of another cohort")
		}
		all.Records = append(all.Records, part.Records...)
	}
	return all, nil
}
