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
	// maxCachedCohorts is the size of the directory's cache, with about 0.5 KB for each cohort.
	maxCachedCohorts = 4096
	// unsealedTTL is how long a cohort that was read as unsealed or absent is not read again.
	// Callers choose program ids, so each wrong id would otherwise cost a read.
	unsealedTTL = 2 * time.Second
	// maxHops is the maximum length of a chain of seals. Each hop is one owner's end; a program
	// lives for days and an instance for most of a day.
	maxHops = 64
)

// Owner is the instance that owns a program.
type Owner struct {
	Cohort   program.Cohort
	Instance string
	Addr     string
	// IsSelf reports whether the owner is this instance.
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

// cohortReading is what was read of a cohort at some time. A seal remains valid; other readings
// expire after unsealedTTL.
type cohortReading struct {
	cohort ledger.Cohort
	absent bool
	readAt time.Time
}

// NewDirectory returns the directory of the instance whose cohort is self.
func NewDirectory(self program.Cohort, s ledger.Store, members Members, log Log) *Directory {
	cache, err := lru.New[program.Cohort, cohortReading](maxCachedCohorts)
	if err != nil {
		panic(errors.Wrap(err, "ownership: cache"))
	}
	return &Directory{self: self, store: s, members: members, log: log, cache: cache}
}

// Locate returns the program's owner by following the seals from the program's cohort. It makes no
// call if that cohort's instance is alive and not known to be sealed. Errors are ErrUnknownCohort,
// ErrNoOwner (with the dead owner in the result) and those of the store.
func (d *Directory) Locate(ctx context.Context, id program.ID) (Owner, error) {
	return d.locateShard(ctx, id.Cohort(), id.Shard())
}

// locateShard returns the owner of a cohort's shard. If the seals form a ring, it reads the cohorts
// of the ring again, since another instance may have broken it meanwhile.
func (d *Directory) locateShard(ctx context.Context, c program.Cohort, shard int) (Owner, error) {
	owner, ring, err := d.followSeals(ctx, c, shard)
	if err != nil || ring == nil {
		return owner, err
	}
	for _, member := range ring {
		if err := d.ReadAgain(ctx, member); err != nil {
			return Owner{}, err
		}
	}
	owner, ring, err = d.followSeals(ctx, c, shard)
	if err == nil && ring != nil {
		err = errors.Wrapf(ErrNoOwner, "seals of %s form a ring", c)
	}
	return owner, err
}

// followSeals follows the seals to the owner. If they lead back to a cohort that was passed, nobody
// owns the shard, and it returns the cohorts of that ring. A ring arises if two instances stop at the
// same time and name each other.
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

// nextHop returns the owner or, if the cohort is sealed, the next cohort of the chain.
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

// nextHopSelf is nextHop for this instance's cohort.
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

// ReadAgain is called if the supposed owner of a cohort's programs is alive but disowns them, since
// its log is sealed. It reads the cohort again.
func (d *Directory) ReadAgain(ctx context.Context, c program.Cohort) error {
	d.cache.Remove(c)
	_, err := d.read(ctx, c)
	return err
}

// ObserveSeal adds a cohort to the cache if it is sealed.
func (d *Directory) ObserveSeal(c ledger.Cohort) {
	if c.Seal != nil {
		d.cache.Add(c.Cohort, cohortReading{cohort: c, readAt: time.Now()})
	}
}

// read returns the cohort from the cache, or else from the store: its object or, if that was
// deleted, the one under the moved key.
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
