package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foxhall/internal/instance"
	"foxhall/internal/settings"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an instance",
		Description: `SIGTERM starts a graceful shutdown: the instance reports that it is not ready, finishes
the responses in flight, hands its programs over and exits. Example:

   foxhall serve --settings foxhall.toml`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`"},
			&cli.StringFlag{Name: "log-format", Usage: "`text` or json, instead of the settings'"},
		},
		Action: serve,
	}
}

func serve(ctx context.Context, c *cli.Command) error {
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	if format := c.String("log-format"); format != "" {
		s.Log.Format = format
	}
	configureLog(s.Log)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for {
		i, err := instance.New(s)
		if err != nil {
			return err
		}
		if err := i.Run(ctx); !errors.Is(err, instance.ErrFenced) {
			return err
		}
	}
}

// configureLog applies the log settings to the process-wide logger.
func configureLog(s settings.Log) {
	log.SetLevelFromString(s.Level)
	if s.Format == "json" {
		log.SetHandler(json.New(os.Stderr))
		return
	}
	log.SetHandler(text.New(os.Stderr))
}
