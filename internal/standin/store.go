// Package standin implements small stand-ins for the external systems that foxhall uses: the
// platform's object API, model engines, tool services and the weight store. Each can inject faults
// and is used in a test directly or served over HTTP on loopback.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"foxhall/internal/store"
)

// maxWatchEvents is the number of past events that a store retains for watches to resume from.
const maxWatchEvents = 4096

// StoreFaults are the faults that can be injected into the stand-in object API.
type StoreFaults struct {
	// Down fails every call with store.ErrUnavailable and ends all watches.
	Down bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseAnswers is the number of next writes that take effect but fail with store.ErrUnknown, as
	// if their responses were lost.
	LoseAnswers int
	// DropWrites is the number of next writes that fail with the same error without taking effect.
	DropWrites int
	// LateWrites makes a write whose caller gave up during Delay take effect late, Delay after that.
	LateWrites bool
	// RegressReads is the number of next reads of single objects that return the state before the
	// object's last write.
	RegressReads int
	// Reads and Writes are the limits in calls per second; calls above them fail with
	// store.ErrRateLimited. Zero means no limit.
	Reads, Writes float64
	// StallWatches keeps watches open without sending events.
	StallWatches bool
}

// StoreCounts are the numbers of calls that a store has processed.
type StoreCounts struct {
	Reads, Writes, Watches int64
}

// Store is an in-memory implementation of the object API. It implements store.Client.
type Store struct {
	mu          sync.Mutex
	objects     map[store.Key]store.Object
	previous    map[store.Key]store.Object
	reads       *rate.Limiter
	writes      *rate.Limiter
	version     store.Version
	events      []store.Event
	trimmedUpTo store.Version
	faults      StoreFaults
	counts      StoreCounts
	watchers    map[*watcher]struct{}
}

type watcher struct {
	kind   string
	wake   chan struct{}
	broken bool
}

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{
		objects:  map[store.Key]store.Object{},
		previous: map[store.Key]store.Object{},
		reads:    newLimiter(0),
		writes:   newLimiter(0),
		watchers: map[*watcher]struct{}{},
	}
}

// newLimiter returns a limiter of perSecond calls per second, with a burst of a tenth of a second's
// calls but at least one. Zero or less means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// SetFaults replaces the current faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Reads != s.faults.Reads {
		s.reads = newLimiter(f.Reads)
	}
	if f.Writes != s.faults.Writes {
		s.writes = newLimiter(f.Writes)
	}
	s.faults = f
	for w := range s.watchers {
		w.broken = w.broken || f.Down
		w.notify()
	}
}

// Counts returns the numbers of calls processed so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Get implements store.Client.
func (s *Store) Get(ctx context.Context, key store.Key) (store.Object, error) {
	if err := s.admit(ctx, s.readLimiter()); err != nil {
		return store.Object{}, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	object, ok := s.objects[key]
	if s.faults.RegressReads > 0 {
		s.faults.RegressReads--
		object, ok = s.previous[key]
		ok = ok && object.Version != 0
	}
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return object, nil
}

// List implements store.Client.
func (s *Store) List(ctx context.Context, kind, prefix string) ([]store.Object, error) {
	if err := s.admit(ctx, s.readLimiter()); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Reads++
	var found []store.Object
	for key, object := range s.objects {
		if key.Kind == kind && strings.HasPrefix(key.Name, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key.Name < found[j].Key.Name })
	return found, nil
}

// Put implements store.Client.
func (s *Store) Put(ctx context.Context, key store.Key, value []byte, base store.Version) (store.Version, error) {
	if len(value) > store.MaxValue {
		return 0, store.ErrTooLarge
	}
	return s.write(ctx, func() (store.Version, error) { return s.applyPut(key, value, base) })
}

// write applies a write after the delay. If the caller gives up during the delay, it applies the
// write only with LateWrites.
func (s *Store) write(ctx context.Context, apply func() (store.Version, error)) (store.Version, error) {
	lateDelay := s.lateWriteDelay()
	err := s.admit(ctx, s.writeLimiter())
	if err == nil {
		defer s.mu.Unlock()
		return apply()
	}
	if lateDelay > 0 && errors.Is(err, store.ErrUnknown) {
		go s.applyLate(lateDelay, apply)
	}
	return 0, err
}

func (s *Store) applyLate(after time.Duration, apply func() (store.Version, error)) {
	time.Sleep(after)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = apply()
}

// lateWriteDelay returns the delay after which a write takes effect whose caller gave up, or zero
// if it takes none.
func (s *Store) lateWriteDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.LateWrites {
		return 0
	}
	return s.faults.Delay
}

func (s *Store) readLimiter() *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *Store) writeLimiter() *rate.Limiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// applyPut applies a conditional write. The caller holds the lock.
func (s *Store) applyPut(key store.Key, value []byte, base store.Version) (store.Version, error) {
	s.counts.Writes++
	if s.consumeDroppedWrite() {
		return 0, store.ErrUnknown
	}
	if s.objects[key].Version != base {
		return 0, store.ErrConflict
	}
	s.version++
	object := store.Object{Key: key, Version: s.version, Value: append([]byte(nil), value...)}
	s.previous[key] = s.objects[key]
	s.objects[key] = object
	s.publish(store.Event{Object: object})
	return object.Version, s.consumeLostResponse()
}

// Delete implements store.Client.
func (s *Store) Delete(ctx context.Context, key store.Key, base store.Version) error {
	_, err := s.write(ctx, func() (store.Version, error) { return 0, s.applyDelete(key, base) })
	return err
}

// applyDelete applies a conditional deletion. The caller holds the lock.
func (s *Store) applyDelete(key store.Key, base store.Version) error {
	s.counts.Writes++
	if s.consumeDroppedWrite() {
		return store.ErrUnknown
	}
	object, ok := s.objects[key]
	if !ok {
		return store.ErrNotFound
	}
	if object.Version != base {
		return store.ErrConflict
	}
	s.version++
	s.previous[key] = object
	delete(s.objects, key)
	s.publish(store.Event{Object: store.Object{Key: key, Version: s.version}, Deleted: true})
	return s.consumeLostResponse()
}

// Watch implements store.Client.
func (s *Store) Watch(ctx context.Context, kind string, from store.Version) (<-chan store.Event, error) {
	if err := s.admit(ctx, s.readLimiter()); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.counts.Watches++
	if from < s.trimmedUpTo {
		return nil, store.ErrGone
	}
	w := &watcher{kind: kind, wake: make(chan struct{}, 1)}
	s.watchers[w] = struct{}{}
	events := make(chan store.Event)
	go s.sendEvents(ctx, w, from, events)
	return events, nil
}

// sendEvents sends the events after version from to one watch, until the watch breaks or ctx ends.
func (s *Store) sendEvents(ctx context.Context, w *watcher, from store.Version, events chan<- store.Event) {
	defer close(events)
	defer func() {
		s.mu.Lock()
		delete(s.watchers, w)
		s.mu.Unlock()
	}()
	for {
		batch, broken := s.eventsAfter(w, from)
		if broken {
			return
		}
		for _, event := range batch {
			select {
			case events <- event:
				from = event.Object.Version
			case <-ctx.Done():
				return
			}
		}
		if len(batch) > 0 {
			continue
		}
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) eventsAfter(w *watcher, from store.Version) ([]store.Event, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.broken || from < s.trimmedUpTo {
		return nil, true
	}
	if s.faults.StallWatches {
		return nil, false
	}
	var batch []store.Event
	for _, event := range s.events {
		if event.Object.Version > from && event.Object.Key.Kind == w.kind {
			batch = append(batch, event)
		}
	}
	return batch, false
}

func (w *watcher) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// admit waits for the injected delay and checks the rate limit and outage. It returns with the lock
// held, or with an error and the lock not held.
func (s *Store) admit(ctx context.Context, limit *rate.Limiter) error {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return store.ErrUnknown
		}
	}
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	if !limit.Allow() {
		return store.ErrRateLimited
	}
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()
		return store.ErrUnavailable
	}
	return nil
}

func (s *Store) publish(event store.Event) {
	s.events = append(s.events, event)
	if len(s.events) > maxWatchEvents {
		excess := len(s.events) - maxWatchEvents
		s.trimmedUpTo = s.events[excess-1].Object.Version
		s.events = append([]store.Event(nil), s.events[excess:]...)
	}
	for w := range s.watchers {
		if w.kind == event.Object.Key.Kind {
			w.notify()
		}
	}
}

func (s *Store) consumeDroppedWrite() bool {
	if s.faults.DropWrites == 0 {
		return false
	}
	s.faults.DropWrites--
	return true
}

func (s *Store) consumeLostResponse() error {
	if s.faults.LoseAnswers == 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return store.ErrUnknown
}

// Faults returns the current faults; those that apply to the next n calls have the remaining number.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
