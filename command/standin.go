package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foxhall/internal/standin"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "serve a stand-in of an external system on loopback, for trials and tests",
		Description: `Faults are set at run time by PUT /standin/faults with a JSON document:

   foxhall standin store  --listen 127.0.0.1:9000
   foxhall standin engine --listen 127.0.0.1:9101 --model oak-large
   foxhall standin tool   --listen 127.0.0.1:9201 --name auction
   curl -X PUT 127.0.0.1:9000/standin/faults -d '{"Down":true}'`,
		Commands: []*cli.Command{
			standinStore(), standinEngine(), standinTool(), standinWeights(),
		},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "loopback `ADDRESS` to serve, host:port"}
}

func standinStore() *cli.Command {
	return &cli.Command{
		Name: "store", Usage: "the platform's object API", Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandin(ctx, c, standin.NewStore().Handler())
		},
	}
}

func standinTool() *cli.Command {
	return &cli.Command{
		Name: "tool", Usage: "a tool service",
		Flags: []cli.Flag{listenFlag(), &cli.StringFlag{Name: "name", Value: "tool", Usage: "the service's `NAME`"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandin(ctx, c, standin.NewTool(c.String("name")).Handler())
		},
	}
}

func standinWeights() *cli.Command {
	return &cli.Command{
		Name: "weights", Usage: "the weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "rate", Value: 1, Usage: "allowed fetches per second"},
			&cli.DurationFlag{Name: "transfer", Value: time.Second, Usage: "duration of one fetch"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandin(ctx, c, standin.NewWeights(c.Float("rate"), c.Duration("transfer")).Handler())
		},
	}
}

func standinEngine() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Value: "engine", Usage: "the engine's `NAME`"},
			&cli.StringSliceFlag{Name: "model", Usage: "a model loaded at the start; if none is given, every model is served"},
			&cli.IntFlag{Name: "slots", Value: 8, Usage: "largest batch"},
			&cli.IntFlag{Name: "cache-tokens", Value: 20000, Usage: "size of the prefix cache"},
			&cli.FloatFlag{Name: "prefill", Value: 8000, Usage: "prefill speed in tokens a second"},
			&cli.FloatFlag{Name: "decode", Value: 400, Usage: "decode speed in tokens a second"},
			&cli.BoolFlag{Name: "fenced", Usage: "refuse orders with an old fencing token"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandin(ctx, c, standin.NewEngine(engineConfig(c)).Handler())
		},
	}
}

func engineConfig(c *cli.Command) standin.EngineConfig {
	return standin.EngineConfig{
		Name: c.String("name"), Models: c.StringSlice("model"), Slots: c.Int("slots"), MaxQueue: 64,
		CacheTokens: c.Int("cache-tokens"), PrefillSpeed: c.Float("prefill"), DecodeSpeed: c.Float("decode"),
		BatchSlowdown: 0.05, LoadLag: 200 * time.Millisecond, EventLag: 100 * time.Millisecond,
		KVSpeed: 40000, ChunkTokens: 4, Fenced: c.Bool("fenced"),
	}
}

// serveStandin serves until ctx is done or the process receives SIGTERM or SIGINT. It only listens on
// loopback addresses.
func serveStandin(ctx context.Context, c *cli.Command, handler http.Handler) error {
	address := c.String("listen")
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return cli.Exit("standin: --listen: expected a loopback IP number and port", ExitUsage)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	fmt.Fprintln(c.Root().Writer, "serving", address)
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "standin")
	}
	return nil
}
