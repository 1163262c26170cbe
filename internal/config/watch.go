package config

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"foxhall/internal/store"
)

// followStore keeps a watch on the manifest, resumes it after each break and
// backs off with jitter, so that instances do not return all at once after an
// outage.
func (s *Source) followStore(ctx context.Context) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = watchRetryMin
	pause.MaxInterval = watchRetryMax
	readFirst := true
	for ctx.Err() == nil {
		progressed, err := s.watch(ctx, readFirst)
		s.storeQueried.Store(true)
		if progressed {
			pause.Reset()
		}
		// A resumed watch needs no read before it, unless the store has
		// forgotten the events since.
		readFirst = s.Version() == 0 || errors.Is(err, store.ErrGone)
		if err != nil {
			s.setLastError("object API: %v", err)
		}
		sleep(ctx, pause.NextBackOff())
	}
	return nil
}

// watch reads the manifest, if asked, and follows it until the watch breaks. It
// reports whether it got anything from the store.
func (s *Source) watch(ctx context.Context, readFirst bool) (progressed bool, err error) {
	// Ends the stream also where an event is not taken.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	from := s.Version()
	if readFirst {
		version, err := s.read(ctx)
		if err != nil {
			return false, err
		}
		progressed = true
		from = max(from, version)
	}
	events, err := s.client.Watch(ctx, KindManifest, store.Version(from))
	if err != nil {
		return progressed, err
	}
	s.storeQueried.Store(true)
	for event := range events {
		if event.Deleted || event.Object.Key != ManifestKey {
			continue
		}
		// A watch resumed from the version in force brings again the event
		// that could not be taken.
		if err := s.installObject(ctx, event.Object); err != nil {
			return progressed, err
		}
		progressed = true
	}
	return progressed, nil
}

// read reads the manifest once and puts it in force. It returns the version
// read, 0 if there is none yet.
func (s *Source) read(ctx context.Context) (uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	object, err := s.client.Get(callCtx, ManifestKey)
	if errors.Is(err, store.ErrNotFound) {
		s.setLastError("no lists have been accepted yet")
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return uint64(object.Version), s.installObject(ctx, object)
}

// take puts a stored manifest in force and fetches the chunks that it needs.
func (s *Source) installObject(ctx context.Context, object store.Object) error {
	update := Update{Version: uint64(object.Version), Manifest: object.Value, Chunks: s.fetchedChunks()}
	err := s.install(update, "store")
	var missing *missingChunksError
	if !errors.As(err, &missing) {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	fetched, err := fetchChunks(ctx, s.client, missing.digests)
	s.addFetched(fetched)
	if err != nil {
		return err
	}
	update.Chunks = s.fetchedChunks()
	return s.install(update, "store")
}

// keep adds chunks to those fetched for the next version; nil drops them all.
func (s *Source) addFetched(chunks Chunks) {
	s.fetchedLock.Lock()
	defer s.fetchedLock.Unlock()
	if chunks == nil || s.fetched == nil {
		s.fetched = Chunks{}
	}
	maps.Copy(s.fetched, chunks)
}

func (s *Source) fetchedChunks() Chunks {
	s.fetchedLock.Lock()
	defer s.fetchedLock.Unlock()
	return maps.Clone(s.fetched)
}

// poll reads the manifest now and then: a watch may be stuck without breaking,
// and an instance cut off from its peers would not notice.
func (s *Source) poll(ctx context.Context) error {
	for sleep(ctx, jitter(s.options.PollInterval)) {
		if _, err := s.read(ctx); err != nil {
			s.setLastError("object API: %v", err)
		}
	}
	return nil
}

// jitter returns a time of mean d, between half and one and a half of it.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}

// sleep waits for d and reports whether it did so to the end.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// wait waits for a change, at most for d, and reports whether there was one.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
