package ownership

import (
	"context"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
	"foxhall/internal/store"
)

const (
	// cachedCohorts bounds the directory's memory: about 0.5 KB each.
	cachedCohorts = 4096
	// unsealedFor is how long a cohort that was read as unsealed, or as
	// absent, is not read again. Callers choose program ids, so that without
	// it each wrong id would cost a read.
	unsealedTTL = 2 * time.Second
	// maxHops bounds a chain of seals. Each hop is the end of an owner; a
	// program lives days, an instance most of a day.
	maxHops = 64
)

// Owner is who owns a program.
type Owner struct {
	Cohort   program.Cohort
	Instance string
	Addr     string
	// Local says that it is this instance.
	IsSelf bool
}

// Directory finds the owner of a program from its id.
type Directory struct {
	self    program.Cohort
	store   ledger.Store
	members Members
	log     Log
	cache   *lru.Cache[program.Cohort, cohortReading]
}

// sighting is what was read of a cohort. A seal is for good; the rest ages.
type cohortReading struct {
	cohort ledger.Cohort
	absent bool
	readAt time.Time
}

// NewDirectory returns the directory of the instance with that cohort.
func NewDirectory(self program.Cohort, s ledger.Store, members Members, log Log) *Directory {
	cache, err := lru.New[program.Cohort, cohortReading](cachedCohorts)
	if err != nil {
		panic(errors.Wrap(err, "ownership: cache"))
	}
	return &Directory{self: self, store: s, members: members, log: log, cache: cache}
}

// Locate returns the program's owner by following the seals from its cohort.
// For a program of a living instance it needs no call. Its errors are
// ErrUnknownCohort, ErrNoOwner, with the dead owner, and those of the store.
func (d *Directory) Locate(ctx context.Context, id program.ID) (Owner, error) {
	return d.locateShard(ctx, id.Cohort(), id.Shard())
}

func (d *Directory) locateShard(ctx context.Context, c program.Cohort, shard int) (Owner, error) {
	owner, ring, err := d.followSeals(ctx, c, shard)
	if err != nil || ring == nil {
		return owner, err
	}
	for _, member := range ring {
		if err := d.Disowned(ctx, member); err != nil {
			return Owner{}, err
		}
	}
	owner, ring, err = d.followSeals(ctx, c, shard)
	if err == nil && ring != nil {
		err = errors.Wrapf(ErrNoOwner, "seals of %s form a ring", c)
	}
	return owner, err
}

// walk follows the seals to the owner. If they lead back to a cohort that was
// passed, it returns the cohorts of that ring: nobody owns the slice. It comes
// about when two instances stop at the same time and name each other.
func (d *Directory) followSeals(ctx context.Context, c program.Cohort, shard int) (Owner, []program.Cohort, error) {
	var passed []program.Cohort
	for range maxHops {
		owner, next, err := d.nextHop(ctx, c, shard)
		if err != nil || next == "" {
			return owner, nil, err
		}
		passed = append(passed, c)
		if at := slices.Index(passed, next); at >= 0 {
			return Owner{}, passed[at:], nil
		}
		c = next
	}
	return Owner{}, nil, errors.Wrapf(ErrNoOwner, "more than %d hops", maxHops)
}

// hop returns the owner, or the next cohort of the chain.
func (d *Directory) nextHop(ctx context.Context, c program.Cohort, shard int) (Owner, program.Cohort, error) {
	if c == d.self {
		return d.nextHopSelf(shard)
	}
	if seen, ok := d.cache.Get(c); ok && seen.cohort.Seal != nil {
		return Owner{}, seen.cohort.Seal.Successors[shard], nil
	}
	if m, ok := d.members.Find(c); ok {
		return Owner{Cohort: c, Instance: m.Instance, Addr: m.Addr}, "", nil
	}
	reading, err := d.read(ctx, c)
	switch {
	case err != nil:
		return Owner{}, "", err
	case reading.absent:
		return Owner{}, "", errors.Wrap(ErrUnknownCohort, string(c))
	case reading.cohort.Seal != nil:
		return Owner{}, reading.cohort.Seal.Successors[shard], nil
	}
	return Owner{Cohort: c, Addr: reading.cohort.Address}, "", errors.Wrap(ErrNoOwner, string(c))
}

func (d *Directory) nextHopSelf(shard int) (Owner, program.Cohort, error) {
	seal, _, fenced := d.log.Fenced()
	if !fenced {
		return Owner{Cohort: d.self, IsSelf: true}, "", nil
	}
	if seen, ok := d.cache.Get(d.self); ok && seen.cohort.Seal != nil {
		seal = seen.cohort.Seal
	}
	if seal == nil {
		return Owner{}, "", errors.Wrap(ErrNoOwner, string(d.self))
	}
	return Owner{}, seal.Successors[shard], nil
}

// Moved tells that the supposed owner of a cohort's programs disowned them: it
// lives and its log is sealed. The cohort is read anew.
func (d *Directory) Disowned(ctx context.Context, c program.Cohort) error {
	d.cache.Remove(c)
	_, err := d.read(ctx, c)
	return err
}

// Learn takes a seal from a peer's word or an own read.
func (d *Directory) ObserveSeal(c ledger.Cohort) {
	if c.Seal != nil {
		d.cache.Add(c.Cohort, cohortReading{cohort: c, readAt: time.Now()})
	}
}

func (d *Directory) read(ctx context.Context, c program.Cohort) (cohortReading, error) {
	if seen, ok := d.cache.Get(c); ok && (seen.cohort.Seal != nil || time.Since(seen.readAt) < unsealedTTL) {
		return seen, nil
	}
	reading := cohortReading{readAt: time.Now()}
	object, err := d.store.Get(ctx, ledger.CohortKey(c))
	if errors.Is(err, store.ErrNotFound) {
		object, err = d.store.Get(ctx, ledger.MovedKey(c))
	}
	switch {
	case errors.Is(err, store.ErrNotFound):
		reading.absent = true
	case err != nil:
		return reading, errors.Wrap(err, string(c))
	default:
		reading.cohort, err = ledger.DecodeCohort(object)
		if err != nil {
			return reading, err
		}
	}
	d.cache.Add(c, reading)
	return reading, nil
}
