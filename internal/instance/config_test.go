package instance

import (
	"context"
	"os"
	"testing"

	"github.com/matryer/is"

	"foxhall/internal/config"
	"foxhall/internal/plan"
	"foxhall/internal/settings"
	"foxhall/internal/standin"
	"foxhall/internal/usage"
)

// Guards against calls that are refused with 404 since the plans in force name a model whose engines are
// not in the upstream table yet.
func TestConfigurationInForceHasItsUpstreams(t *testing.T) {
	is := is.New(t)
	s := settings.Default()
	s.Instance, s.DataCentre = "i", "dc"
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Store.URL, s.Peers.Secret = "http://127.0.0.1:1", "secret-secret-secret"
	i, err := New(s)
	is.NoErr(err)
	defer i.close()
	update := exampleConfiguration(t)
	_, err = i.config.Offer(update)
	is.NoErr(err)
	is.Equal(i.config.Version(), update.Version)
	is.Equal(len(i.table.Snapshot().Model("oak-large")), 2)
}

// exampleConfiguration returns the lists of the local example as an instance gets them from a peer.
func exampleConfiguration(t *testing.T) config.Update {
	is := is.New(t)
	read := func(name string) []byte {
		data, err := os.ReadFile("../../examples/local/" + name)
		is.NoErr(err)
		return data
	}
	plans, err := plan.Parse(read("plans.toml"))
	is.NoErr(err)
	listed, err := usage.Parse(read("usage.toml"))
	is.NoErr(err)
	api := standin.NewStore()
	_, err = config.NewEditor(api).Apply(t.Context(), config.Proposal{Operator: "ana", Plans: plans, Usage: listed})
	is.NoErr(err)
	source := config.NewSource(api, config.Options{})
	changed := source.Changed()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = source.Run(ctx) }()
	<-changed
	return source.Export(config.ChunkInventory{})
}
