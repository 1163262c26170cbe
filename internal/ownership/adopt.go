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

// minUnasked is the number of instances that could not be asked from which on
// both copies of a turn may be lost: ledger.CopiesNeeded of them.
const minUnreachedHolders = ledger.RequiredCopies

// deathMargin is how long before its known death an owner may have been cut
// off from the object API and relied on peers' copies.
const deathMargin = time.Minute

// group is what is adopted in one go: a slice of the cohort whose seal names
// this instance, with the same slice of older cohorts that went there.
type adoptionGroup struct {
	shard int
	// cohorts are ordered from the one sealed to this instance backwards.
	cohorts []program.Cohort
}

// adoptAll adopts every slice that is not adopted and whose chain ends here.
func (k *Reconciler) adoptAll(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	groups := k.adoptionGroups(ctx, cohorts)
	k.waitingGauge.Update(int64(len(groups)))
	heads := map[program.Cohort][]adoptionGroup{}
	for _, g := range groups {
		heads[g.cohorts[0]] = append(heads[g.cohorts[0]], g)
	}
	var failed error
	for _, head := range slices.Sorted(mapKeys(heads)) {
		if err := k.adoptGroups(ctx, cohorts, heads[head]); failed == nil {
			failed = err
		}
	}
	if err := k.markAdopted(ctx, cohorts); failed == nil {
		failed = err
	}
	return failed
}

func mapKeys[K comparable, V any](m map[K]V) func(yield func(K) bool) {
	return func(yield func(K) bool) {
		for key := range m {
			if !yield(key) {
				return
			}
		}
	}
}

// groups collects the slices that are to be adopted here, each with its chain.
func (k *Reconciler) adoptionGroups(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) []adoptionGroup {
	heads := map[cohortShard]*adoptionGroup{}
	var order []cohortShard
	for _, c := range slices.Sorted(mapKeys(cohorts)) {
		for shard := range program.ShardCount {
			chain := k.pendingChain(ctx, cohorts, c, shard)
			if len(chain) == 0 {
				continue
			}
			head := cohortShard{chain[len(chain)-1], shard}
			if heads[head] == nil {
				heads[head] = &adoptionGroup{shard: shard}
				order = append(order, head)
			}
			heads[head].merge(chain)
		}
	}
	groups := make([]adoptionGroup, 0, len(order))
	for _, head := range order {
		groups = append(groups, *heads[head])
	}
	return groups
}

// merge adds a chain, oldest first, to the group, newest first.
func (g *adoptionGroup) merge(chain []program.Cohort) {
	for _, c := range slices.Backward(chain) {
		if !slices.Contains(g.cohorts, c) {
			g.cohorts = append(g.cohorts, c)
		}
	}
}

// pending returns the part of the slice's chain from c on that is not adopted
// here, if the chain ends here and c itself is not adopted; nil otherwise.
func (k *Reconciler) pendingChain(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort, c program.Cohort, shard int) []program.Cohort {
	if !k.awaitsAdoption(cohorts[c], shard) {
		return nil
	}
	var chain []program.Cohort
	hops := 0
	for at := c; at != k.options.Self.Cohort; hops++ {
		// Hops are counted, not what the chain has taken in: in a ring of
		// seals whose other cohorts are adopted the chain stays as it is, and
		// the pass would go round for ever.
		if hops > maxHops {
			return nil
		}
		if at == c || k.awaitsAdoption(cohorts[at], shard) {
			chain = append(chain, at)
		}
		_, next, err := k.directory.nextHop(ctx, at, shard)
		if err != nil || next == "" {
			return nil
		}
		at = next
	}
	return chain
}

// isOpen reports whether the cohort's slice is sealed and adopted by nobody.
func (k *Reconciler) awaitsAdoption(c *ledger.Cohort, shard int) bool {
	if c == nil || c.Seal == nil || c.Adopted&(1<<shard) != 0 {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.adoptedShards[cohortShard{c.Cohort, shard}]
}

// source is what was read of one cohort for the slices that come here.
type cohortContents struct {
	history   *ledger.History
	copies    []ledger.Record
	uncertain bool
}

// adopting is the work on the groups of one head: each log is read once.
type adoptionRun struct {
	cohorts  map[program.Cohort]*ledger.Cohort
	contents map[program.Cohort]*cohortContents
	shards   map[int]bool
}

// adopted is one group that the adopter has taken.
type plannedAdoption struct {
	Adoption
	// have are the cohorts whose slice came with it.
	covered map[program.Cohort]bool
}

// parallelSlices is how many slices are adopted at the same time, so that their
// records share entries of the log.
const parallelShards = 16

// adoptGroups adopts the groups of one head and then marks them in the own log
// in one append. A crash before the mark leaves them to be adopted again.
func (k *Reconciler) adoptGroups(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort, groups []adoptionGroup) error {
	started := time.Now()
	w := &adoptionRun{cohorts: cohorts, contents: map[program.Cohort]*cohortContents{}, shards: map[int]bool{}}
	for _, g := range groups {
		w.shards[g.shard] = true
	}
	plans := make([]plannedAdoption, len(groups))
	for i, g := range groups {
		var err error
		plans[i], err = k.planAdoption(ctx, w, g)
		if err != nil {
			return err
		}
	}
	done, failed := k.adoptShards(ctx, plans)
	if len(done) == 0 {
		return failed
	}
	if err := k.options.Log.Append(ctx, adoptionMarks(done)...); err != nil {
		return errors.Wrapf(err, "ownership: adopt slices of %s", groups[0].cohorts[0])
	}
	k.completeAdoptions(done, time.Since(started))
	return failed
}

// plan reads what belongs to a group.
func (k *Reconciler) planAdoption(ctx context.Context, w *adoptionRun, g adoptionGroup) (plannedAdoption, error) {
	a := plannedAdoption{covered: map[program.Cohort]bool{}}
	unproven := map[program.Cohort]bool{}
	var read []*cohortContents
	for _, c := range g.cohorts {
		if a.covered[c] {
			continue
		}
		s, err := k.readContents(ctx, w, c)
		if err != nil {
			return a, err
		}
		a.covered[c] = true
		addEarlierAdoptions(a.covered, unproven, s.history, g.shard)
		if s.uncertain {
			unproven[c] = true
		}
		read = append(read, s)
	}
	a.Adoption = assemble(g, read)
	a.Unproven = slices.Sorted(mapKeys(unproven))
	return a, nil
}

// adoptSlices has the adopter take the slices and returns those that it took.
func (k *Reconciler) adoptShards(ctx context.Context, plans []plannedAdoption) ([]plannedAdoption, error) {
	failures := make([]error, len(plans))
	var group errgroup.Group
	group.SetLimit(parallelShards)
	for i := range plans {
		group.Go(func() error {
			failures[i] = k.options.Adopter.Adopt(ctx, plans[i].Adoption)
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

// include adds the cohorts whose slice had been adopted into the history's log,
// and those that were in doubt then.
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

// source reads a sealed log and the copies held for its cohort, once.
func (k *Reconciler) readContents(ctx context.Context, w *adoptionRun, name program.Cohort) (*cohortContents, error) {
	if s := w.contents[name]; s != nil {
		return s, nil
	}
	c := w.cohorts[name]
	history, err := ledger.Recover(ctx, k.options.Store, *c, func(id program.ID) bool { return w.shards[id.Shard()] })
	if err != nil {
		return nil, err
	}
	for _, fault := range history.Faults {
		k.log.WithError(fault).Error("entry of a sealed log unreadable")
	}
	s := &cohortContents{history: history, uncertain: len(history.Faults) > 0}
	if !c.Seal.Planned {
		k.collectHeldCopies(ctx, c, s)
	}
	w.contents[name] = s
	return s, nil
}

// collect adds the records that only peers hold: those after the log's last.
func (k *Reconciler) collectHeldCopies(ctx context.Context, c *ledger.Cohort, s *cohortContents) {
	k.mu.Lock()
	records := slices.Clone(k.lateRecords[c.Cohort])
	k.mu.Unlock()
	if k.options.Copies != nil {
		copies, unreached := k.options.Copies.Collect(ctx, c.Cohort)
		for _, held := range copies {
			records = append(records, held.Records...)
		}
		s.uncertain = s.uncertain || unreached >= minUnreachedHolders && k.mayHaveReliedOnCopies(c)
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

// wasCutOff reports whether the owner may have relied on peers' copies.
func (k *Reconciler) mayHaveReliedOnCopies(c *ledger.Cohort) bool {
	since := c.Seal.At
	for _, d := range k.options.Members.Dead() {
		if d.Cohort == c.Cohort {
			if d.StoreDown {
				return true
			}
			since = d.Since
		}
	}
	return k.options.Outages == nil || k.options.Outages.DownBetween(since.Add(-deathMargin), c.Seal.At)
}

// assemble joins what was read, older logs first.
func assemble(g adoptionGroup, read []*cohortContents) Adoption {
	a := Adoption{Cohort: g.cohorts[0], Shard: g.shard}
	for _, s := range slices.Backward(read) {
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

// finish remembers adoptions that are marked in the log.
func (k *Reconciler) completeAdoptions(done []plannedAdoption, took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	records, held, uncertain := 0, 0, 0
	for _, a := range done {
		for c := range a.covered {
			k.adoptedShards[cohortShard{c, a.Shard}] = true
		}
		records += len(a.Records)
		held += len(a.Tail.Records)
		if a.Tail.Uncertain {
			uncertain++
		}
	}
	k.adoptedCounter.Inc(int64(len(done)))
	k.uncertainCounter.Inc(int64(uncertain))
	k.log.WithFields(log.Fields{
		"from": string(done[0].Cohort), "slices": len(done), "records": records, "held": held,
		"uncertain": uncertain, "took": took,
	}).Info("slices taken over")
}

// markAdopted sets the bits of what is adopted here in the cohorts' objects,
// one conditional update for each cohort.
func (k *Reconciler) markAdopted(ctx context.Context, cohorts map[program.Cohort]*ledger.Cohort) error {
	var failed error
	for c, bits := range k.unmarkedShards(cohorts) {
		err := ledger.UpdateCohort(ctx, k.options.Store, c, func(current *ledger.Cohort) bool {
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

func (k *Reconciler) unmarkedShards(cohorts map[program.Cohort]*ledger.Cohort) map[program.Cohort]uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	found := map[program.Cohort]uint64{}
	for key := range k.adoptedShards {
		c := cohorts[key.cohort]
		if c != nil && c.Seal != nil && c.Adopted&(1<<key.shard) == 0 {
			found[key.cohort] |= 1 << key.shard
		}
	}
	return found
}
