// Package standin holds small stand-ins for the outside systems that foxhall
// meets: the platform's object API, model engines, tool services and the
// weight store. Each is a plain value with switches for its faults, usable in
// a test directly or served over HTTP on loopback.
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

// watchBuffer is the number of past events that a store keeps for watches to resume from.
const maxWatchEvents = 4096

// StoreFaults are the ways in which the stand-in object API can misbehave.
type StoreFaults struct {
	// Down refuses every call with store.ErrUnavailable and breaks watches.
	Down bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseAnswers applies the next n writes and then loses their answers.
	LoseAnswers int
	// DropWrites loses the next n writes before they take effect, with the same error.
	DropWrites int
	// LateWrites lets a write whose caller gave up during Delay take effect
	// when the delay is over.
	LateWrites bool
	// RegressReads answers the next n reads of single objects from the state
	// before the object's last write.
	RegressReads int
	// Reads and Writes bound the calls a second; more are refused with
	// store.ErrRateLimited. Zero means no bound.
	Reads, Writes float64
	// StallWatches keeps watches open but sends nothing.
	StallWatches bool
}

// StoreCounts counts the calls that a store has answered.
type StoreCounts struct {
	Reads, Writes, Watches int64
}

// Store is an in-memory object API. It implements store.Client.
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

// limiter bounds calls a second, with a burst of a tenth of a second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

// SetFaults replaces the faults in force.
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

// Counts returns the number of calls answered so far.
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

// write performs a write after the delay, also where its caller gave up and
// writes are late.
func (s *Store) write(ctx context.Context, apply func() (store.Version, error)) (store.Version, error) {
	late := s.lateWriteDelay()
	err := s.admit(ctx, s.writeLimiter())
	if err == nil {
		defer s.mu.Unlock()
		return apply()
	}
	if late > 0 && errors.Is(err, store.ErrUnknown) {
		go s.applyLate(late, apply)
	}
	return 0, err
}

func (s *Store) applyLate(after time.Duration, apply func() (store.Version, error)) {
	time.Sleep(after)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = apply()
}

// lateWrites returns how late a write takes effect whose caller gives up, or zero.
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

// put applies a write. The lock is held.
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

// remove applies a deletion. The lock is held.
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

// feed sends the events after from to one watch until it breaks or ctx ends.
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

// enter waits out the delay and returns with the lock held, or with an error and without it.
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
		drop := len(s.events) - maxWatchEvents
		s.trimmedUpTo = s.events[drop-1].Object.Version
		s.events = append([]store.Event(nil), s.events[drop:]...)
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

// Faults returns the faults in force, with what is left of those that count down.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
