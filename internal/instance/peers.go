package instance

import (
	"context"

	"foxhall/internal/config"
	"foxhall/internal/membership"
	"foxhall/internal/peer"
	"foxhall/internal/peer/peerpb"
)

func (i *Instance) peerServer() *peer.Server {
	return peer.NewServer(peer.Handlers{
		Heartbeats:    membership.Service{Runner: i.members},
		Configuration: configService{i.config},
		Copies:        copyService{i.copies},
		Successor:     successorService{i},
		Limits:        limitService{i.gate},
		Upstreams:     upstreamService{i},
		Programs:      programService{i},
	}, i.settings.Peers.Secret, i.registry)
}

// configPeer implements config.Peer with calls to one peer.
type configPeer struct {
	client *peer.Client
	member membership.Member
}

// Name implements config.Peer.
func (c configPeer) Name() string { return c.member.Instance() }

// Version implements config.Peer.
func (c configPeer) Version(ctx context.Context) (uint64, error) {
	response, err := c.client.ConfigVersion(ctx, c.member.Address, &peerpb.ConfigVersionRequest{})
	return response.GetVersion(), err
}

// Export implements config.Peer.
func (c configPeer) Export(ctx context.Context, have config.ChunkInventory) (config.Update, error) {
	request := &peerpb.ConfigFetchRequest{HaveVersion: have.Version}
	for _, d := range have.Chunks {
		request.HaveChunkHashes = append(request.HaveChunkHashes, d.String())
	}
	response, err := c.client.ConfigFetch(ctx, c.member.Address, request)
	if err != nil {
		return config.Update{}, err
	}
	return updateFromWire(response)
}

// Offer implements config.Peer.
func (c configPeer) Offer(ctx context.Context, update config.Update) ([]config.Digest, error) {
	request := &peerpb.ConfigOfferRequest{Version: update.Version, Manifest: update.Manifest, Chunks: chunksToWire(update.Chunks)}
	response, err := c.client.ConfigOffer(ctx, c.member.Address, request)
	if err != nil {
		return nil, err
	}
	return digestsFromWire(response.GetLackingChunkHashes())
}

// configService serves the configuration of a config.Source to peers.
type configService struct{ source *config.Source }

var _ peer.Configuration = configService{}

// ConfigVersion implements peer.Configuration.
func (c configService) ConfigVersion(context.Context, *peerpb.ConfigVersionRequest) (*peerpb.ConfigVersionResponse, error) {
	return &peerpb.ConfigVersionResponse{Version: c.source.Version()}, nil
}

// ConfigFetch implements peer.Configuration.
func (c configService) ConfigFetch(_ context.Context, r *peerpb.ConfigFetchRequest) (*peerpb.ConfigFetchResponse, error) {
	chunks, err := digestsFromWire(r.GetHaveChunkHashes())
	if err != nil {
		return nil, peer.Invalid("malformed chunk hash")
	}
	update := c.source.Export(config.ChunkInventory{Version: r.GetHaveVersion(), Chunks: chunks})
	return &peerpb.ConfigFetchResponse{Version: update.Version, Manifest: update.Manifest, Chunks: chunksToWire(update.Chunks)}, nil
}

// ConfigOffer implements peer.Configuration.
func (c configService) ConfigOffer(_ context.Context, r *peerpb.ConfigOfferRequest) (*peerpb.ConfigOfferResponse, error) {
	chunks, err := chunksFromWire(r.GetChunks())
	if err != nil {
		return nil, peer.Invalid("malformed chunk hash")
	}
	lacking, err := c.source.Offer(config.Update{Version: r.GetVersion(), Manifest: r.GetManifest(), Chunks: chunks})
	if err != nil {
		return nil, peer.Invalid(err.Error())
	}
	response := &peerpb.ConfigOfferResponse{}
	for _, d := range lacking {
		response.LackingChunkHashes = append(response.LackingChunkHashes, d.String())
	}
	return response, nil
}

func updateFromWire(response *peerpb.ConfigFetchResponse) (config.Update, error) {
	chunks, err := chunksFromWire(response.GetChunks())
	return config.Update{Version: response.GetVersion(), Manifest: response.GetManifest(), Chunks: chunks}, err
}

func chunksFromWire(wire []*peerpb.ConfigChunk) (config.Chunks, error) {
	chunks := config.Chunks{}
	for _, chunk := range wire {
		var d config.Digest
		if err := d.UnmarshalText([]byte(chunk.GetHash())); err != nil {
			return nil, peer.ErrInvalid
		}
		chunks[d] = chunk.GetValue()
	}
	return chunks, nil
}

func chunksToWire(chunks config.Chunks) []*peerpb.ConfigChunk {
	wire := make([]*peerpb.ConfigChunk, 0, len(chunks))
	for d, value := range chunks {
		wire = append(wire, &peerpb.ConfigChunk{Hash: d.String(), Value: value})
	}
	return wire
}

func digestsFromWire(hashes []string) ([]config.Digest, error) {
	digests := make([]config.Digest, len(hashes))
	for i, hash := range hashes {
		if err := digests[i].UnmarshalText([]byte(hash)); err != nil {
			return nil, peer.ErrInvalid
		}
	}
	return digests, nil
}
