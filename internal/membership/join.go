package membership

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"foxhall/internal/program"
	"foxhall/internal/store"
)

// KindInstance is the kind of the objects through which instances discover each
// other. An instance writes its own object once when it starts and deletes it
// when it leaves; heartbeats never access the store.
const KindInstance = "instance"

const (
	// joinContacts is the number of members asked for all their records.
	joinContacts = 3
	// joinRetry and maxRetryInterval bound the backoff between attempts to find
	// another member; maxRetryInterval bounds that of registration, too.
	joinRetry        = 2 * time.Second
	maxRetryInterval = 30 * time.Second
	// listInterval is the time between two listings of the instance objects by
	// an instance that knows other members: one read in ten minutes.
	listInterval = 10 * time.Minute
	// maxListedAddresses bounds the unknown addresses tried after a listing.
	maxListedAddresses = 8
	// missesToDelete is the number of consecutive listings that must contain an
	// object without a known process before the object is deleted.
	missesToDelete = 2
)

// instanceObject is the value of an instance's object.
type instanceObject struct {
	Address string `json:"address"`
}

// maintainJoin discovers other members: immediately, with backoff while there
// are none, and then every listInterval, so that two groups that do not know
// each other merge.
func (r *Runner) maintainJoin(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = joinRetry, maxRetryInterval
	strikes := map[program.Cohort]int{}
	for {
		r.join(ctx, strikes)
		pause := retry.NextBackOff()
		if !r.isAlone() {
			retry.Reset()
			pause = r.jitter(listInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// jitter varies a duration by up to a quarter in both directions, so that
// instances started together do not list at the same time.
func (r *Runner) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d*3/4 + time.Duration(r.rng.Int64N(int64(d/2)))
}

func (r *Runner) isAlone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.table.otherMembers(func(e *entry) bool { return e.State.Present() })) == 0
}

// join asks some addresses of unknown instances for their records, and then
// maintains the instance objects in the store.
func (r *Runner) join(ctx context.Context, strikes map[program.Cohort]int) {
	objects := r.listInstances(ctx)
	candidates := r.candidates(objects)
	contacts := 0
	for i, address := range candidates {
		if contacts == joinContacts || i == maxListedAddresses+len(r.options.Seeds) || ctx.Err() != nil {
			break
		}
		if r.joinAt(ctx, address) == nil {
			contacts++
		}
	}
	if len(objects) > 0 {
		r.reregister(ctx, objects)
		r.sweepObjects(ctx, objects, strikes)
	}
}

// reregister writes this instance's object again if it is not among the listed
// ones: others delete it during a long pause of this process.
func (r *Runner) reregister(ctx context.Context, objects []store.Object) {
	isSelf := func(o store.Object) bool { return o.Key.Name == string(r.options.Self) }
	if slices.ContainsFunc(objects, isSelf) || r.View().Self.State == Dead {
		return
	}
	if err := r.register(ctx); err != nil {
		r.options.Log.WithError(err).Warn("membership: instance object not written")
	}
}

func (r *Runner) joinAt(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, 2*r.options.Timing.ProbeTimeout)
	defer cancel()
	r.mu.Lock()
	self := r.table.Self()
	r.mu.Unlock()
	pong, err := r.options.Transport.Join(ctx, address, self)
	if err != nil {
		return err
	}
	r.mergePong("", pong)
	return nil
}

// listInstances returns the instance objects, or none if the store does not
// respond. The seeds and the known members are used in that case.
func (r *Runner) listInstances(ctx context.Context) []store.Object {
	if r.options.Store == nil {
		return nil
	}
	objects, err := r.options.Store.List(ctx, KindInstance, "")
	if err != nil {
		r.options.Log.WithError(err).Warn("membership: instance objects not listed")
		return nil
	}
	return objects
}

// candidates returns the addresses at which no running member is known, in
// random order, those from the settings first.
func (r *Runner) candidates(objects []store.Object) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[string]bool{r.options.Address: true}
	for _, e := range r.table.entries {
		known[e.Address] = known[e.Address] || e.State.Present()
	}
	var found []string
	for _, address := range r.options.Seeds {
		if !known[address] {
			known[address] = true
			found = append(found, address)
		}
	}
	seeds := len(found)
	for _, o := range objects {
		if address := addressOf(o); address != "" && !known[address] {
			known[address] = true
			found = append(found, address)
		}
	}
	rest := found[seeds:]
	r.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	r.rng.Shuffle(seeds, func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found
}

func addressOf(o store.Object) string {
	var value instanceObject
	if json.Unmarshal(o.Value, &value) != nil {
		return ""
	}
	return value.Address
}

// registerWithRetry writes this instance's object, retrying with backoff until
// the store accepts it.
func (r *Runner) registerWithRetry(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.MaxInterval = maxRetryInterval
	for r.register(ctx) != nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retry.NextBackOff()):
		}
	}
	return nil
}

// register creates this instance's object. A conflict means that an earlier
// write of this process took effect and its response was lost, since no other
// process uses the cohort's name.
func (r *Runner) register(ctx context.Context) error {
	value, err := json.Marshal(instanceObject{Address: r.options.Address})
	if err != nil {
		return errors.Wrap(err, "membership: instance object")
	}
	key := store.Key{Kind: KindInstance, Name: string(r.options.Self)}
	_, err = r.options.Store.Put(ctx, key, value, 0)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// unregister deletes a cohort's object.
func (r *Runner) unregister(ctx context.Context, c program.Cohort) error {
	key := store.Key{Kind: KindInstance, Name: string(c)}
	object, err := r.options.Store.Get(ctx, key)
	if err == nil {
		err = r.options.Store.Delete(ctx, key, object.Version)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return errors.Wrap(err, "membership: unregister")
}

// sweepObjects deletes the objects of ended processes. Only the live member that
// ranks first for an object's cohort deletes it, after missesToDelete listings.
// A process whose object was deleted by mistake is still known by its heartbeats.
func (r *Runner) sweepObjects(ctx context.Context, objects []store.Object, strikes map[program.Cohort]int) {
	view := r.View()
	var seen []program.Cohort
	for _, o := range objects {
		c := program.Cohort(o.Key.Name)
		seen = append(seen, c)
		if m, ok := view.Member(c); (ok && m.State != Dead) || !view.ranksFirst(c) {
			delete(strikes, c)
			continue
		}
		strikes[c]++
		if strikes[c] < missesToDelete {
			continue
		}
		if err := r.options.Store.Delete(ctx, o.Key, o.Version); err == nil {
			delete(strikes, c)
		}
	}
	for c := range strikes {
		if !slices.Contains(seen, c) {
			delete(strikes, c)
		}
	}
}

// ranksFirst reports whether this instance ranks first among all live members
// for a cohort.
func (v *View) ranksFirst(c program.Cohort) bool {
	ranked := v.Ranked("", string(c))
	return len(ranked) > 0 && ranked[0].Cohort == v.Self.Cohort
}
