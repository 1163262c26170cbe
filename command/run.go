package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"foxhall/internal/logging"
	"foxhall/platform"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run an instance on the users' platform",
		Description: `The settings file is the platform's. An instance whose settings give it callers
takes calls; one with a data folder keeps turns. SIGTERM is a graceful shutdown.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Sources: cli.EnvVars(platform.SettingsVariable), Usage: "settings `FILE`"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "least `LEVEL` of log lines: debug, info, warn or error"},
		},
		Action: runOnPlatform,
	}
}

func runOnPlatform(ctx context.Context, c *cli.Command) error {
	level, err := log.ParseLevel(c.String("log-level"))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	settings, err := platform.LoadSettings(c.String("settings"))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	writer := logging.New()
	logger := &log.Logger{Handler: writer, Level: level}
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		writer.Run(logCtx, os.Stdout)
	}()
	defer func() {
		stopLog()
		<-logDone
	}()
	logReloads(ctx, logger)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return platform.Run(ctx, settings, logger)
}

// noteReloads logs each SIGHUP. A reload changes nothing that is read at the
// start; without a handler the signal would end the process.
func logReloads(ctx context.Context, logger log.Interface) {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-reloads:
				logger.Info("reload: the settings in force hold until the next start")
			case <-ctx.Done():
				return
			}
		}
	}()
}
