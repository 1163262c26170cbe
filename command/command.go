// Package command implements the command line of foxhall. Its commands are thin wrappers around the
// packages under internal.
package command

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"foxhall/internal/hangup"
)

// Version is the version printed by `foxhall version`.
const Version = "0.1.0"

// Exit codes of all commands.
const (
	ExitOK = iota
	// ExitFailure indicates that the command ran and failed.
	ExitFailure
	// ExitUsage indicates invalid arguments, or an invalid settings or list file.
	ExitUsage
	// ExitConflict indicates that another operator's edit came first, or that the outcome of the step
	// to resolve is not unknown.
	ExitConflict
)

// Run executes the command line and returns the exit code.
func Run(ctx context.Context, args []string) int {
	app := &cli.Command{
		Name:                  "foxhall",
		Usage:                 "a scheduler for agent programs",
		Version:               Version,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands:              commands(),
	}
	if len(args) < 2 || args[1] != runName {
		hangup.Default()
	}
	err := app.Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "foxhall:", err)
	var coder cli.ExitCoder
	if ok := asExitCoder(err, &coder); ok {
		return coder.ExitCode()
	}
	return ExitFailure
}

func commands() []*cli.Command {
	return []*cli.Command{
		serveCommand(),
		runCommand(),
		demoCommand(),
		loadCommand(),
		checkCommand(),
		plansCommand(),
		usageCommand(),
		statusCommand(),
		programsCommand(),
		stepsCommand(),
		earningsCommand(),
		explainCommand(),
		standinCommand(),
		versionCommand(),
	}
}
