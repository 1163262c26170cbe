package config

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Peer is the source of another instance, reached over the network.
type Peer interface {
	// Name returns the peer's name for messages.
	Name() string
	// Version returns the version in force on the peer.
	Version(ctx context.Context) (uint64, error)
	// Export calls Source.Export on the peer, Offer calls Source.Offer.
	Export(ctx context.Context, have ChunkInventory) (Update, error)
	Offer(ctx context.Context, update Update) ([]Digest, error)
}

// Peers selects instances with which versions are exchanged.
type Peers interface {
	// Sample returns up to n other instances that are considered alive, chosen at random from all
	// data centres.
	Sample(n int) []Peer
}

// followPeers exchanges versions with peers until ctx ends: with Fanout peers at the start and after
// each new version, so that an edit spreads in a few steps; and with one random peer about every
// PeerInterval, to recover versions that were missed.
func (s *Source) followPeers(ctx context.Context) error {
	if s.options.Peers == nil {
		s.peersQueried.Store(true)
		return nil
	}
	// The channel is replaced only after it is closed, so that a version that arrives during an
	// exchange is forwarded as well.
	changed := s.Changed()
	s.exchangeWith(ctx, s.options.Peers.Sample(Fanout))
	s.peersQueried.Store(true)
	for ctx.Err() == nil {
		if waitForChange(ctx, changed, jitter(s.options.PeerInterval)) {
			changed = s.Changed()
			s.exchangeWith(ctx, s.options.Peers.Sample(Fanout))
			continue
		}
		s.exchangeWith(ctx, s.options.Peers.Sample(1))
	}
	return nil
}

// exchangeWith exchanges versions with several peers concurrently. The timeout peerCallTimeout
// applies to all of them together. Errors are recorded only while there is no configuration.
func (s *Source) exchangeWith(ctx context.Context, peers []Peer) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, peer := range peers {
		group.Go(func() {
			if err := s.exchange(ctx, peer); err != nil && s.Version() == 0 {
				s.setLastError("peer %s: %v", peer.Name(), err)
			}
		})
	}
	group.Wait()
}

// exchange pulls the peer's version if it is newer, and pushes this instance's version if the peer's
// is older.
func (s *Source) exchange(ctx context.Context, peer Peer) error {
	peerVersion, err := peer.Version(ctx)
	if err != nil {
		return err
	}
	current := s.current.Load()
	switch {
	case peerVersion > current.Version:
		return s.pull(ctx, peer, current)
	case peerVersion < current.Version:
		return s.push(ctx, peer, current)
	default:
		return nil
	}
}

func (s *Source) pull(ctx context.Context, peer Peer, current *Current) error {
	update, err := peer.Export(ctx, current.have())
	if err != nil {
		return err
	}
	return s.install(update, "peer "+peer.Name())
}

// push offers the manifest, which includes the chunks of a small edit, and then only the chunks that
// the peer reports as missing.
func (s *Source) push(ctx context.Context, peer Peer, current *Current) error {
	update := Update{Version: current.Version, Manifest: current.manifest}
	s.offered.Inc(1)
	missing, err := peer.Offer(ctx, update)
	if err != nil || len(missing) == 0 {
		return err
	}
	update.Chunks = Chunks{}
	for _, digest := range missing {
		if packed := current.chunks[digest]; packed != nil {
			update.Chunks[digest] = packed
		}
	}
	missing, err = peer.Offer(ctx, update)
	if err == nil && len(missing) > 0 {
		return errors.Errorf("config: peer lacks %d chunks after an offer", len(missing))
	}
	return err
}
