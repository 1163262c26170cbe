package history

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"foxhall/internal/history/historypb"
	"foxhall/internal/store"
)

const (
	// rolesEvery is how often the roles are looked at without an event.
	rolesEvery = 100 * time.Millisecond
	// statusEvery is how often other keepers are asked how they stand.
	statusEvery = 150 * time.Millisecond
	// statusTime bounds one such question.
	statusTime = 300 * time.Millisecond
	// suspectAfter is how long a keeper may be silent before it is replaced: a
	// pause of the process or a lost packet passes, a loss does not. A needless
	// change costs the filling of a slice and no more.
	suspectAfter = 550 * time.Millisecond
	// confirmedAfter is the same where entries of most data centres do not hear it
	// either: all of them do not pause at once.
	confirmedAfter = 350 * time.Millisecond
	// refusedMost is the number of refused connections in a row that show that a
	// keeper's process is gone, which silence would show later.
	refusedMost = 2
	// stalledAfter is how long a disk may take for one write; it takes 5 ms.
	stalledAfter = 500 * time.Millisecond
	// bootTime is how long after its start a keeper judges no other by silence.
	bootTime = 1200 * time.Millisecond
	// abandonAfter is how long no keeper of a slice may have all of it before it
	// begins anew. All its disks are lost then, or it never began.
	abandonAfter = 10 * time.Second
)

// mark says up to which epoch a keeper follows a slice, and whether it has all of it.
type mark struct {
	Epoch  uint64
	Synced bool
}

// view is what is known of another keeper.
type view struct {
	heard  time.Time
	status *historypb.StatusResponse
	// refused counts the refused connections since it was heard.
	refused int
	loss    loss
}

// opinion is what a decision about roles needs of another keeper.
type opinion struct {
	// out says that it should hold nothing: it is silent, stalled or leaving.
	out bool
	// heard says that its marks are known.
	heard bool
	// at is when they were told.
	at    time.Time
	marks [SliceCount]mark
	// disk names its disk.
	disk string
}

// Adopt takes in an assignment of the store; an older one changes nothing.
func (k *Keeper) Adopt(a Assignment, version store.Version) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.version {
		return
	}
	k.known, k.version = a, version
	// A newer assignment came from the store, so it is back.
	k.storeBack()
	for _, s := range k.slices {
		if next := a.Slices[s.number]; next.Epoch > s.role.Epoch {
			k.assign(s, next)
		}
	}
	notify(k.wakeRoles)
}

// assign puts a slice's newer role in force; the lock is held.
func (k *Keeper) assign(s *slice, next Role) {
	k.settings.Logger.WithField("slice", s.number).WithField("epoch", next.Epoch).
		WithField("primary", next.Primary).WithField("partners", next.Partners).
		WithField("mark", s.mark.Epoch).WithField("synced", s.mark.Synced).Info("slice assigned")
	continues := k.primary(s) && next.Epoch == s.role.Epoch+1
	s.role = next
	s.lostSince, s.primaryLostSince = time.Time{}, time.Time{}
	if next.Primary != k.settings.Name {
		s.drop()
		return
	}
	s.state.epoch = next.Epoch
	k.relink(s, continues)
	k.raise(s)
}

// relink makes the ways to the partners those of the new role; the lock is held.
// What waited for a partner that is one no longer waits for it in vain, and a new
// one is sent everything that is not on all disks yet.
func (k *Keeper) relink(s *slice, continues bool) {
	var waiting []*entry
	for _, l := range s.links {
		l.filled = l.filled && continues
		for _, e := range l.entries {
			if !slices.Contains(waiting, e) {
				waiting = append(waiting, e)
			}
		}
	}
	old := s.links
	s.links = map[string]*link{}
	for _, name := range s.role.Partners {
		if old[name] != nil {
			s.links[name] = old[name]
			s.links[name].continues = continues
			continue
		}
		s.link(name).entries = slices.Clone(waiting)
		for _, e := range waiting {
			e.waits++
		}
	}
	for name, l := range old {
		if s.role.partner(name) {
			continue
		}
		for _, e := range l.entries {
			k.arrived(e)
		}
	}
	for _, name := range s.role.Partners {
		k.wakeSender(name)
	}
}

// raise makes the keeper that proposed an epoch its primary, once its own mark
// is on the disk. It must have had all of the slice in the epoch before.
func (k *Keeper) raise(s *slice) {
	epoch := s.role.Epoch
	first := epoch == 1 && k.settings.FirstStart && s.mark.Epoch == 0
	had := s.mark.Synced && (s.mark.Epoch == epoch-1 || s.salvaged == epoch-1 && s.mark.Epoch == epoch-2)
	if s.marking || s.mark.Epoch >= epoch || !first && !had {
		return
	}
	s.marking = true
	k.persist([]*historypb.Record{markRecord(s.number, epoch, true)}, func() {
		s.marking = false
		if s.mark.Epoch < epoch {
			s.mark.Epoch, s.mark.Synced = epoch, true
		}
		notify(k.wakeRoles)
	})
}

// runRoles keeps each slice on as many keepers as it should be on.
func (k *Keeper) runRoles(ctx context.Context) {
	ticker := time.NewTicker(rolesEvery)
	defer ticker.Stop()
	expired := time.Now()
	for {
		select {
		case <-k.wakeRoles:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if time.Since(expired) > expireEvery {
			expired = time.Now()
			k.expire()
		}
		k.reconcile(ctx)
	}
}

func (k *Keeper) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.slices {
		s.state.expire(time.Now())
	}
}

// reconcile fills partners that lack records and proposes what must change.
func (k *Keeper) reconcile(ctx context.Context) {
	k.mu.Lock()
	if k.version == 0 {
		k.mu.Unlock()
		k.begin(ctx)
		return
	}
	opinions := k.opinions(time.Now())
	next, changed := k.propose(opinions, time.Now())
	changed = changed && time.Now().After(k.storeAfter)
	base := k.version
	for _, s := range k.slices {
		if k.primary(s) {
			for _, name := range s.role.Partners {
				k.fillIfNeeded(ctx, s, name, opinions[name])
			}
		}
	}
	k.mu.Unlock()
	if changed {
		k.write(ctx, next, base)
	}
}

// begin makes the first assignment. The keeper with the lowest name does it;
// should two do it, the store takes one.
func (k *Keeper) begin(ctx context.Context) {
	keepers := k.settings.Keepers()
	if time.Since(k.started) < bootTime || len(keepers) == 0 || keepers[0].Name != k.settings.Name {
		if time.Since(k.started) > bootTime {
			notify(k.wakeRead)
		}
		return
	}
	a, version, err := k.assignments.Read(ctx)
	if err != nil {
		k.settings.Logger.WithError(err).Warn("assignment not read before the first is made")
		return
	}
	if version > 0 {
		k.Adopt(a, version)
		return
	}
	if first, ok := First(keepers, k.partners()); ok {
		k.write(ctx, first, 0)
	}
}

// write proposes an assignment. A lost answer is settled by reading.
func (k *Keeper) write(ctx context.Context, a Assignment, base store.Version) {
	version, err := k.assignments.Write(ctx, a, base)
	switch {
	case err == nil:
		k.Adopt(a, version)
	case errors.Is(err, store.ErrUnavailable):
		// Surely not written: there is nothing to read either.
		k.settings.Logger.WithError(err).Warn("assignment not written")
		k.storeLost()
	case errors.Is(err, store.ErrConflict):
		notify(k.wakeRead)
	default:
		k.settings.Logger.WithError(err).Warn("assignment not known to be written")
		notify(k.wakeRead)
	}
}

// silent reports that the keeper was not heard for as long as a pause may last.
func (v *view) silent(now time.Time) bool {
	since := now.Sub(v.heard)
	return since > suspectAfter || since > confirmedAfter && v.loss.holds(now)
}

// opinions judges the other keepers; the lock is held.
func (k *Keeper) opinions(now time.Time) map[string]opinion {
	opinions := map[string]opinion{}
	for name, v := range k.views {
		o := opinion{}
		booted := now.Sub(k.started) > bootTime
		gone := v.refused >= refusedMost && booted
		silent := gone || v.silent(now) && booted
		o.out = gone || silent && k.reach.holds(now) || k.settings.Retiring(name)
		if v.status != nil {
			o.heard, o.at, o.disk = !silent, v.heard, v.status.Disk
			o.out = o.out || v.status.Leaving || v.status.StalledMs > stalledAfter.Milliseconds()
			for _, m := range v.status.Slices {
				if m.Slice < SliceCount {
					o.marks[m.Slice] = mark{Epoch: m.Epoch, Synced: m.Synced}
				}
			}
		}
		opinions[name] = o
	}
	return opinions
}

// propose returns the assignment that this keeper wants, where it differs; the
// lock is held. Only a keeper that has all of a slice may change its holders.
func (k *Keeper) propose(opinions map[string]opinion, now time.Time) (Assignment, bool) {
	next, changed := k.known, false
	if k.stalled() > stalledAfter {
		return next, false
	}
	leaving := k.leavingNow()
	me := Candidate{Name: k.settings.Name, DataCentre: k.settings.DataCentre}
	keepers := k.settings.Keepers()
	out := func(name string) bool {
		o, known := opinions[name]
		return !known || !o.heard || o.out
	}
	stuck := 0
	for _, s := range k.slices {
		// One that leaves hands its slices to others that have them, and what only
		// it has is its to share first.
		if leaving && k.othersHave(s, opinions) || !k.mustChange(s, opinions, now) {
			continue
		}
		partners := next.partnersFor(int(s.number), me, keepers, k.partners(), out)
		if len(partners) == 0 && !k.lastKeeper(now) {
			stuck++
			continue
		}
		partners = k.withHolders(s, partners, opinions)
		if s.role.Primary == me.Name && s.role.heldBy(partners) {
			continue
		}
		next.Slices[s.number] = Role{Epoch: s.role.Epoch + 1, Primary: me.Name, Partners: partners}
		changed = true
	}
	k.tellStuck(stuck, opinions, now)
	return next, changed
}

// tellStuck says why slices that should be held by others are not: no keeper is
// to be had, and it is not certain that this one is the last.
func (k *Keeper) tellStuck(slices int, opinions map[string]opinion, now time.Time) {
	if slices == 0 || now.Sub(k.stuckTold) < stuckEvery {
		return
	}
	k.stuckTold = now
	for _, name := range k.others() {
		o, v := opinions[name], k.views[name]
		entry := k.settings.Logger.WithField("slices", slices).WithField("keeper", name).
			WithField("heard", o.heard).WithField("out", o.out).WithField("reach", k.reach.holds(now))
		if v != nil {
			entry = entry.WithField("silent_ms", now.Sub(v.heard).Milliseconds()).WithField("lost", v.loss.holds(now))
		}
		entry.Info("no holder to be had")
	}
}

// stuckEvery is the least time between two such words.
const stuckEvery = time.Second

// partners is the number of partners that a slice should have.
func (k *Keeper) partners() int { return max(1, k.settings.Partners) }

// tooFew reports that a slice has fewer partners than it should and that there
// are keepers that could become some.
func (k *Keeper) tooFew(s *slice, opinions map[string]opinion) bool {
	if len(s.role.Partners) >= k.partners() {
		return false
	}
	usable := 0
	for _, o := range opinions {
		if o.heard && !o.out {
			usable++
		}
	}
	return usable > len(s.role.Partners)
}

// othersHave reports that another holder is there and has all of the slice.
func (k *Keeper) othersHave(s *slice, opinions map[string]opinion) bool {
	for _, name := range s.role.holders() {
		if name != k.settings.Name && opinions[name].has(int(s.number), s.role.Epoch) {
			return true
		}
	}
	return false
}

// withHolders returns the partners chosen for a slice, and beside them its present
// ones until the chosen have all of it: else the primary would have it alone while
// they are filled, and its loss would leave nobody who knows all.
func (k *Keeper) withHolders(s *slice, chosen []string, opinions map[string]opinion) []string {
	number, epoch := int(s.number), s.role.Epoch
	if s.role.Primary != k.settings.Name || allHave(chosen, opinions, number, epoch) {
		return chosen
	}
	partners := slices.Clone(chosen)
	for _, name := range s.role.Partners {
		if !slices.Contains(chosen, name) && opinions[name].has(number, epoch) {
			partners = append(partners, name)
		}
	}
	return partners
}

func allHave(names []string, opinions map[string]opinion, slice int, epoch uint64) bool {
	for _, name := range names {
		if !opinions[name].has(slice, epoch) {
			return false
		}
	}
	return true
}

// spreadAfter is how long a keeper must be heard before slices are given to it for
// the sake of its data centre alone.
const spreadAfter = time.Second

// couldSpread reports that two holders of a slice share a data centre while a keeper
// of another one is to be had: it was lost, and the slice went to what was left. A
// cut would take the slice whole.
func (k *Keeper) couldSpread(s *slice, opinions map[string]opinion, now time.Time) bool {
	centres := map[string]string{}
	for _, c := range k.settings.Keepers() {
		centres[c.Name] = c.DataCentre
	}
	held := map[string]int{}
	for _, name := range s.role.holders() {
		held[centres[name]]++
	}
	if len(held) == len(s.role.Partners)+1 {
		return false
	}
	for name, o := range opinions {
		if held[centres[name]] == 0 && o.heard && !o.out && now.Sub(k.views[name].loss.heardSince) > spreadAfter {
			return true
		}
	}
	return false
}

func (k *Keeper) leavingNow() bool { return k.leaving || k.settings.Retiring(k.settings.Name) }

func (k *Keeper) mustChange(s *slice, opinions map[string]opinion, now time.Time) bool {
	if s.mark.Synced && s.role.Epoch > 1 && s.mark.Epoch == s.role.Epoch-1 && s.role.Primary != k.settings.Name {
		return k.unheard(s, opinions, now) || k.orphaned(s, opinions)
	}
	if s.role.Epoch == 0 || s.mark.Epoch != s.role.Epoch {
		return k.abandoned(s, opinions, now)
	}
	switch {
	case !s.mark.Synced:
		return k.abandoned(s, opinions, now)
	case s.role.Primary == k.settings.Name:
		for _, name := range s.role.Partners {
			if o, known := opinions[name]; !known && now.Sub(k.started) > bootTime || o.out {
				return true
			}
		}
		return len(s.role.Partners) > k.partners() || k.tooFew(s, opinions) || k.couldSpread(s, opinions, now)
	case s.role.partner(k.settings.Name):
		o, known := opinions[s.role.Primary]
		return o.out || !known && now.Sub(k.started) > bootTime || s.primaryLost(o)
	default:
		return false
	}
}

// fillIfNeeded sends the whole slice to a partner that lacks it; the lock is held.
func (k *Keeper) fillIfNeeded(ctx context.Context, s *slice, name string, partner opinion) {
	l := s.link(name)
	if l.filling || !partner.heard || l.filled && partner.has(int(s.number), s.role.Epoch) {
		return
	}
	records := s.state.records(s.number)
	if l.filled && l.continues && partner.has(int(s.number), s.role.Epoch-1) {
		// It was sent all of it in the epoch before, and only has to hear of this one.
		records = nil
	}
	l.filling = true
	f := &filling{slice: s, link: l, epoch: s.role.Epoch, partner: name, disk: partner.disk, continues: l.continues}
	go k.fill(ctx, f, records)
}

// filling is the sending of a whole slice to one partner's disk.
type filling struct {
	slice   *slice
	link    *link
	epoch   uint64
	partner string
	disk    string
	// continues is the link's at the beginning.
	continues bool
}

// fill sends records in parts, the last with the word that they are all. What
// changes meanwhile goes to the partner as it happens.
func (k *Keeper) fill(ctx context.Context, f *filling, records []*historypb.Record) {
	defer func() {
		k.mu.Lock()
		f.link.filling = false
		k.mu.Unlock()
	}()
	for {
		n, size := 0, 0
		for n < len(records) && size < fillBytes {
			size += proto.Size(records[n])
			n++
		}
		part := &historypb.SliceAppend{
			Slice: f.slice.number, Epoch: f.epoch, Records: records[:n],
			Complete: n == len(records), Continues: f.continues,
		}
		if !k.sendPart(ctx, f, part) {
			return
		}
		if part.Complete {
			break
		}
		records = records[n:]
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	f.link.filled = f.slice.role.Epoch == f.epoch
	if v := k.views[f.partner]; v != nil && v.status != nil {
		for _, m := range v.status.Slices {
			if m.Slice == f.slice.number {
				m.Epoch, m.Synced = f.epoch, true
			}
		}
	}
}

func (k *Keeper) sendPart(ctx context.Context, f *filling, part *historypb.SliceAppend) bool {
	ctx, cancel := context.WithTimeout(ctx, opTime)
	defer cancel()
	r := &historypb.AppendRequest{From: k.settings.Name, Disk: f.disk, Slices: []*historypb.SliceAppend{part}}
	response, err := k.peers.Append(ctx, f.partner, r)
	if err != nil {
		k.settings.Logger.WithError(err).WithField("partner", f.partner).WithField("slice", part.Slice).Debug("slice not sent")
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.noteRefused(response)) == 0
}

// Leave hands over what this keeper holds, until it holds nothing or ctx ends.
func (k *Keeper) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	ticker := time.NewTicker(rolesEvery)
	defer ticker.Stop()
	for !k.Empty() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Empty reports that each slice is whole on other keepers.
func (k *Keeper) Empty() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.version == 0 {
		return false
	}
	opinions := k.opinions(time.Now())
	for number, r := range k.known.Slices {
		if r.Epoch == 0 || r.Primary == k.settings.Name || r.partner(k.settings.Name) {
			return false
		}
		for _, name := range r.holders() {
			if !opinions[name].has(number, r.Epoch) {
				return false
			}
		}
	}
	return true
}

// has reports that the keeper is known to have all of a slice in the epoch.
func (o opinion) has(slice int, epoch uint64) bool {
	return o.heard && o.marks[slice].Synced && o.marks[slice].Epoch == epoch
}
