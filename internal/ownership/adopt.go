package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"foxhall/internal/ledger"
	"foxhall/internal/program"
)

// minUnreachedHolders is the number of instances that could not be asked at which all
// ledger.RequiredCopies copies of a turn may be lost.
const minUnreachedHolders = ledger.RequiredCopies

// deathMargin is how long before its detected death an owner may have lost the object API and have
// relied on peers' copies.
const deathMargin = time.Minute

// adoptionGroup is a unit of adoption: a shard of the cohort whose seal names this instance,
// together with the same shard of older cohorts whose chain of seals leads to that cohort.
type adoptionGroup struct {
	shard int
	// cohorts begin with the one whose seal names this instance; older ones follow.
	cohorts []program.Cohort
}

// adoptAll adopts every shard that is not adopted yet and whose chain of seals ends here.
func (rc *Reconciler) adoptAll(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	groups := rc.adoptionGroups(ctx, cohorts)
	rc.waitingGauge.Update(int64(len(groups)))
	groupsByNewest := map[program.Cohort][]adoptionGroup{}
	for _, g := range groups {
		groupsByNewest[g.cohorts[0]] = append(groupsByNewest[g.cohorts[0]], g)
	}
	var failed error
	for _, newest := range slices.Sorted(mapKeys(groupsByNewest)) {
		if err := rc.adoptGroups(ctx, cohorts, groupsByNewest[newest]); failed == nil {
			failed = err
		}
	}
	if err := rc.markAdopted(ctx, cohorts); failed == nil {
		failed = err
	}
	return failed
}

// mapKeys iterates over the keys of the map.
func mapKeys[K comparable, V any](m map[K]V) func(yield func(K) bool) {
	return func(yield func(K) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

// adoptionGroups returns the shards that are to be adopted here, each with its chain of cohorts.
func (rc *Reconciler) adoptionGroups(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) []adoptionGroup {
	groupsByNewest := map[cohortShard]*adoptionGroup{}
	var order []cohortShard
	for _, c := range slices.Sorted(mapKeys(cohorts)) {
		for shard := range program.ShardCount {
			chain := rc.pendingChain(ctx, cohorts, c, shard)
			if len(chain) == 0 {
				continue
			}
			newest := cohortShard{chain[len(chain)-1], shard}
			if groupsByNewest[newest] == nil {
				groupsByNewest[newest] = &adoptionGroup{shard: shard}
				order = append(order, newest)
			}
			groupsByNewest[newest].merge(chain)
		}
	}
	groups := make([]adoptionGroup, 0, len(order))
	for _, newest := range order {
		groups = append(groups, *groupsByNewest[newest])
	}
	return groups
}

// merge adds the cohorts of a chain to the group. The chain begins with its oldest cohort, the group
// with its newest.
func (g *adoptionGroup) merge(chain []program.Cohort) {
	for _, c := range slices.Backward(chain) {
		if !slices.Contains(g.cohorts, c) {
			g.cohorts = append(g.cohorts, c)
		}
	}
}

// pendingChain returns the cohorts on the shard's chain of seals, from c on, that still have to be
// adopted. It returns nil if c itself is adopted or the chain does not end at this instance.
func (rc *Reconciler) pendingChain(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort, c program.Cohort, shard int) []program.Cohort {
	if !rc.awaitsAdoption(cohorts[c], shard) {
		return nil
	}
	var chain []program.Cohort
	hops := 0
	for at := c; at != rc.options.Self.Cohort; hops++ {
		// The limit counts hops and not the length of the chain: in a ring of seals whose other
		// cohorts are adopted the chain does not grow, and the loop would never end.
		if hops > maxHops {
			return nil
		}
		if at == c || rc.awaitsAdoption(cohorts[at], shard) {
			chain = append(chain, at)
		}
		_, next, err := rc.directory.nextHop(ctx, at, shard)
		if err != nil || next == "" {
			return nil
		}
		at = next
	}
	return chain
}

// awaitsAdoption reports whether the cohort is sealed and its shard not adopted yet.
func (rc *Reconciler) awaitsAdoption(c *ledger.Cohort, shard int) bool {
	if c == nil || c.Seal == nil || c.Adopted&(1<<shard) != 0 {
		return false
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return !rc.adoptedShards[cohortShard{c.Cohort, shard}]
}

// cohortContents is what was read of one cohort for the shards that are adopted here.
type cohortContents struct {
	history   *ledger.History
	copies    []ledger.Record
	uncertain bool
}

// adoptionRun is the adoption of all groups with the same newest cohort. It caches what was read, so
// that each log is read once.
type adoptionRun struct {
	cohorts  map[program.Cohort]*ledger.Cohort
	contents map[program.Cohort]*cohortContents
	shards   map[int]bool
}

// plannedAdoption is the adoption of one group.
type plannedAdoption struct {
	Adoption
	// covered are the cohorts whose shard is adopted with it.
	covered map[program.Cohort]bool
}

// parallelShards is the maximum number of shards that are adopted concurrently. Concurrency lets
// their records share entries of the log.
const parallelShards = 16

// adoptGroups adopts the groups of one newest cohort and then writes their adoption records to the
// own log in one append. After a crash before that append they are adopted again.
func (rc *Reconciler) adoptGroups(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort, groups []adoptionGroup) error {
	started := time.Now()
	run := &adoptionRun{cohorts: cohorts, contents: map[program.Cohort]*cohortContents{}, shards: map[int]bool{}}
	for _, g := range groups {
		run.shards[g.shard] = true
	}
	plans := make([]plannedAdoption, len(groups))
	for i, g := range groups {
		var err error
		plans[i], err = rc.planAdoption(ctx, run, g)
		if err != nil {
			return err
		}
	}
	done, failed := rc.adoptShards(ctx, plans)
	if len(done) == 0 {
		return failed
	}
	if err := rc.options.Log.Append(ctx, adoptionMarks(done)...); err != nil {
		return errors.Wrapf(err, "ownership: adopt shards of %s", groups[0].cohorts[0])
	}
	rc.completeAdoptions(done, time.Since(started))
	return failed
}

// planAdoption reads the records of a group.
func (rc *Reconciler) planAdoption(ctx context.Context, run *adoptionRun, g adoptionGroup) (plannedAdoption, error) {
	a := plannedAdoption{covered: map[program.Cohort]bool{}}
	unproven := map[program.Cohort]bool{}
	var allContents []*cohortContents
	for _, c := range g.cohorts {
		if a.covered[c] {
			continue
		}
		contents, err := rc.readContents(ctx, run, c)
		if err != nil {
			return a, err
		}
		a.covered[c] = true
		addEarlierAdoptions(a.covered, unproven, contents.history, g.shard)
		if contents.uncertain {
			unproven[c] = true
		}
		allContents = append(allContents, contents)
	}
	a.Adoption = assemble(g, allContents)
	a.Unproven = slices.Sorted(mapKeys(unproven))
	return a, nil
}

// adoptShards passes the adoptions to the adopter. It returns those that succeeded and the first
// error.
func (rc *Reconciler) adoptShards(ctx context.Context, plans []plannedAdoption) ([]plannedAdoption, error) {
	failures := make([]error, len(plans))
	var group errgroup.Group
	group.SetLimit(parallelShards)
	for i := range plans {
		group.Go(func() error {
			failures[i] = rc.options.Adopter.Adopt(ctx, plans[i].Adoption)
			return failures[i]
		})
	}
	failed := group.Wait()
	var done []plannedAdoption
	for i, a := range plans {
		if failures[i] == nil {
			done = append(done, a)
		}
	}
	return done, errors.Wrap(failed, "ownership: adopt")
}

// adoptionMarks returns the log records that complete the adoptions.
func adoptionMarks(done []plannedAdoption) []ledger.Record {
	var records []ledger.Record
	for _, a := range done {
		adoption := ledger.Adoption{Cohort: a.Cohort, Shard: a.Shard, Unproven: a.Unproven}
		for _, c := range slices.Sorted(mapKeys(a.covered)) {
			if c != a.Cohort {
				adoption.Ancestors = append(adoption.Ancestors, c)
			}
		}
		records = append(records, ledger.AdoptionRecord(adoption))
	}
	return records
}

// addEarlierAdoptions adds to covered the cohorts whose shard was adopted into the history's log, and
// to unproven those that could not be proven complete then.
func addEarlierAdoptions(covered, unproven map[program.Cohort]bool, h *ledger.History, shard int) {
	for _, a := range h.Adoptions {
		if a.Shard != shard {
			continue
		}
		covered[a.Cohort] = true
		for _, c := range a.Ancestors {
			covered[c] = true
		}
		for _, c := range a.Unproven {
			unproven[c] = true
		}
	}
}

// readContents reads a sealed log and the copies held for its cohort, once in a run.
func (rc *Reconciler) readContents(ctx context.Context, run *adoptionRun, name program.Cohort) (*cohortContents, error) {
	if s := run.contents[name]; s != nil {
		return s, nil
	}
	c := run.cohorts[name]
	history, err := ledger.Recover(ctx, rc.options.Store, *c, func(id program.ID) bool { return run.shards[id.Shard()] })
	if err != nil {
		return nil, err
	}
	for _, fault := range history.Faults {
		rc.log.WithError(fault).Error("entry of a sealed log unreadable; programs of the log count as uncertain")
	}
	s := &cohortContents{history: history, uncertain: len(history.Faults) > 0}
	if !c.Seal.Planned {
		rc.collectHeldCopies(ctx, c, s)
	}
	run.contents[name] = s
	return s, nil
}

// collectHeldCopies adds the records that are missing from the log, which are those with a sequence
// after the log's last one. They come from copies on peers and from records that the former owner
// offered before the adoption.
func (rc *Reconciler) collectHeldCopies(ctx context.Context, c *ledger.Cohort, s *cohortContents) {
	rc.mu.Lock()
	records := slices.Clone(rc.lateRecords[c.Cohort])
	rc.mu.Unlock()
	if rc.options.Copies != nil {
		copies, unreached := rc.options.Copies.Collect(ctx, c.Cohort)
		for _, held := range copies {
			records = append(records, held.Records...)
		}
		s.uncertain = s.uncertain || unreached >= minUnreachedHolders && rc.mayHaveReliedOnCopies(c)
	}
	slices.SortFunc(records, func(a, b ledger.Record) int { return int(int64(a.Sequence) - int64(b.Sequence)) })
	for _, r := range records {
		after := s.history.Sequence
		if len(s.copies) > 0 {
			after = s.copies[len(s.copies)-1].Sequence
		}
		if r.Sequence > after {
			s.copies = append(s.copies, r)
		}
	}
}

// mayHaveReliedOnCopies reports whether the owner may have relied on peers' copies: its last heartbeat
// said so, or this instance saw the object API down between deathMargin before the owner's death and
// the seal. Without a record of outages it returns true.
func (rc *Reconciler) mayHaveReliedOnCopies(c *ledger.Cohort) bool {
	since := c.Seal.At
	for _, d := range rc.options.Members.Dead() {
		if d.Cohort == c.Cohort {
			if d.StoreDown {
				return true
			}
			since = d.Since
		}
	}
	return rc.options.Outages == nil || rc.options.Outages.DownBetween(since.Add(-deathMargin), c.Seal.At)
}

// assemble combines the contents of a group's cohorts into an adoption, older logs first.
func assemble(g adoptionGroup, contents []*cohortContents) Adoption {
	a := Adoption{Cohort: g.cohorts[0], Shard: g.shard}
	for _, s := range slices.Backward(contents) {
		for _, id := range slices.Sorted(mapKeys(s.history.Programs)) {
			if id.Shard() == g.shard {
				a.Records = append(a.Records, s.history.Programs[id]...)
			}
		}
		for _, r := range s.copies {
			if r.Program.Shard() == g.shard {
				a.Tail.Records = append(a.Tail.Records, r)
			}
		}
		a.Tail.Uncertain = a.Tail.Uncertain || s.uncertain
	}
	return a
}

// completeAdoptions records adoptions whose adoption records are in the own log.
func (rc *Reconciler) completeAdoptions(done []plannedAdoption, took time.Duration) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	records, held, uncertain := 0, 0, 0
	for _, a := range done {
		for c := range a.covered {
			rc.adoptedShards[cohortShard{c, a.Shard}] = true
		}
		records += len(a.Records)
		held += len(a.Tail.Records)
		if a.Tail.Uncertain {
			uncertain++
		}
	}
	rc.adoptedCounter.Inc(int64(len(done)))
	rc.uncertainCounter.Inc(int64(uncertain))
	rc.log.WithFields(log.Fields{
		"from": string(done[0].Cohort), "slices": len(done), "records": records, "held": held,
		"uncertain": uncertain, "took": took,
	}).Info("shards adopted")
}

// markAdopted sets the bits of the shards adopted here in the cohorts' objects, with one conditional
// update for each cohort.
func (rc *Reconciler) markAdopted(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	var failed error
	for c, bits := range rc.unmarkedShards(cohorts) {
		err := ledger.UpdateCohort(ctx, rc.options.Store, c, func(current *ledger.Cohort) bool {
			change := current.Adopted&bits != bits
			current.Adopted |= bits
			if change && current.Adopted == ledger.AllAdopted {
				current.AdoptedAt = time.Now()
			}
			*cohorts[c] = *current
			return change
		})
		if err != nil {
			failed = err
		}
	}
	return failed
}

// unmarkedShards returns, by cohort, the bits of shards that are adopted here but not marked so in
// the cohort's object.
func (rc *Reconciler) unmarkedShards(cohorts map[program.Cohort]*ledger.Cohort) map[program.Cohort]uint64 {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	found := map[program.Cohort]uint64{}
	for key := range rc.adoptedShards {
		c := cohorts[key.cohort]
		if c != nil && c.Seal != nil && c.Adopted&(1<<key.shard) == 0 {
			found[key.cohort] |= 1 << key.shard
		}
	}
	return found
}
