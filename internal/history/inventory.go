package history

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxhall/internal/history/historypb"
)

// inventory lists the records of the shard that this keeper has. Holders of a shard have nearly the
// same records, and transferring all of them would take seconds.
func (s *state) inventory() *historypb.Inventory {
	have := &historypb.Inventory{}
	for key := range s.turns {
		have.Turns = append(have.Turns, xxhash.Sum64String(key))
	}
	for key, a := range s.accounts {
		have.Accounts = append(have.Accounts, xxhash.Sum64String(key))
		have.Versions = append(have.Versions, a.Version)
	}
	return have
}

// recordsMissingFrom returns the records that the inventory does not list; all of them for nil. A turn
// comes after those that continue it, and listed turns come again where missingTurns says so.
func (s *state) recordsMissingFrom(shardID uint32, have *historypb.Inventory, now time.Time) []*historypb.Record {
	turns, versions := map[uint64]bool{}, map[uint64]uint64{}
	for _, hash := range have.GetTurns() {
		turns[hash] = true
	}
	if len(have.GetAccounts()) == len(have.GetVersions()) {
		for i, hash := range have.GetAccounts() {
			versions[hash] = have.Versions[i]
		}
	}
	var records []*historypb.Record
	for key, a := range s.accounts {
		if versions[xxhash.Sum64String(key)] < a.Version {
			records = append(records, accountRecord(shardID, a))
		}
	}
	for _, t := range s.missingTurns(turns, now) {
		records = append(records, turnRecord(shardID, t))
	}
	return records
}

// List implements historypb.Keeper. All listed records are durable when it responds, so that a
// power failure does not lose them.
func (k *Keeper) List(ctx context.Context, r *historypb.ListRequest) (*historypb.ListResponse, error) {
	durable := make(chan struct{})
	k.mu.Lock()
	s := k.shardByID(r.Slice)
	if s == nil {
		defer k.mu.Unlock()
		return &historypb.ListResponse{}, nil
	}
	response := &historypb.ListResponse{Have: s.state.inventory(), Disk: k.disk}
	k.persist(nil, func() { close(durable) })
	k.mu.Unlock()
	select {
	case <-durable:
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
