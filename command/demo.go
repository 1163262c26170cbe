package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"foxhall/internal/demo"
	"foxhall/internal/settings"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run programs through three instances and stand-ins, all in this process",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "programs", Value: 40, Usage: "programs of each scenario"},
			&cli.IntFlag{Name: "concurrency", Value: 10, Usage: "programs of each scenario at once"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the programs' shapes"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "debug, info, warn or error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			configureLog(settings.Log{Format: "text", Level: c.String("log-level")})
			return demo.Run(ctx, c.Root().Writer, demo.Options{
				Programs: c.Int("programs"), Concurrency: c.Int("concurrency"), Seed: c.Uint64("seed"),
			})
		},
	}
}
