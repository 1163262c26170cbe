package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"foxhall/internal/hangup"
	"foxhall/internal/logging"
	"foxhall/platform"
)

// runName is the name of the command that runs an instance. It alone takes SIGHUP for a reload.
const runName = "run"

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  runName,
		Usage: "run an instance on the users' platform",
		Description: `The settings file is the platform's. An instance with callers in its settings takes
calls; one with a data folder stores turns. SIGTERM starts a graceful shutdown.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Sources: cli.EnvVars(platform.SettingsVariable), Usage: "settings `FILE`"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "minimum `LEVEL` of log lines: debug, info, warn or error"},
		},
		Action: runOnPlatform,
	}
}

func runOnPlatform(ctx context.Context, c *cli.Command) error {
	level, err := log.ParseLevel(c.String("log-level"))
	if err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	// A write to a log that nobody reads any more fails, instead of ending the process.
	signal.Ignore(syscall.SIGPIPE)
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

// logReloads logs each SIGHUP until ctx is done. A reload changes none of the settings read at the
// start.
func logReloads(ctx context.Context, logger log.Interface) {
	go func() {
		for {
			select {
			case <-hangup.Signals():
				logger.Info("reload: settings are read at the start only; the present ones stay in force")
			case <-ctx.Done():
				return
			}
		}
	}()
}
