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

// followStore watches the manifest until ctx ends and resumes the watch each time it breaks. It backs
// off with jitter, so that the instances do not all reconnect at once after an outage.
func (s *Source) followStore(ctx context.Context) error {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = watchRetryMin
	retryDelay.MaxInterval = watchRetryMax
	readFirst := true
	for ctx.Err() == nil {
		progressed, err := s.watch(ctx, readFirst)
		s.storeQueried.Store(true)
		if progressed {
			retryDelay.Reset()
		}
		// The manifest need not be read before a resumed watch, unless the store no longer has the
		// events since the version in force.
		readFirst = s.Version() == 0 || errors.Is(err, store.ErrGone)
		if err != nil {
			s.setLastError("object API: %v", err)
		}
		sleep(ctx, retryDelay.NextBackOff())
	}
	return nil
}

// watch follows the manifest until the watch breaks or an event can't be installed. If readFirst is
// set, it reads the manifest first. It reports whether the read or any event succeeded.
func (s *Source) watch(ctx context.Context, readFirst bool) (progressed bool, err error) {
	// The cancellation ends the stream when watch returns because of a failed event.
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
		// A failed event is delivered again, because the next watch resumes from the version in force.
		if err := s.installObject(ctx, event.Object); err != nil {
			return progressed, err
		}
		progressed = true
	}
	return progressed, nil
}

// read reads the manifest once and installs it. It returns the version read, or 0 if there is no
// manifest yet.
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

// installObject installs a stored manifest and fetches the missing chunks.
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

// addFetched adds chunks to those fetched for the next version; nil removes all of them.
func (s *Source) addFetched(chunks Chunks) {
	s.fetchedLock.Lock()
	defer s.fetchedLock.Unlock()
	if chunks == nil || s.fetched == nil {
		s.fetched = Chunks{}
	}
	maps.Copy(s.fetched, chunks)
}

// fetchedChunks returns a copy of the chunks fetched for the next version.
func (s *Source) fetchedChunks() Chunks {
	s.fetchedLock.Lock()
	defer s.fetchedLock.Unlock()
	return maps.Clone(s.fetched)
}

// poll reads the manifest about every PollInterval until ctx ends. It finds new versions when the
// watch is stuck without breaking and the instance can't reach its peers.
func (s *Source) poll(ctx context.Context) error {
	for sleep(ctx, jitter(s.options.PollInterval)) {
		if _, err := s.read(ctx); err != nil {
			s.setLastError("object API: %v", err)
		}
	}
	return nil
}

// jitter returns a random duration between d/2 and 3d/2, with mean d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d+1)
}

// sleep waits for d and reports whether d passed before ctx ended.
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

// waitForChange waits until changed is closed, at most for d, and reports whether it was closed.
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
