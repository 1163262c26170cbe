// Package command is the command line of foxhall: thin verbs over the packages
// under internal.
package command

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Version is the version that `foxhall version` prints.
const Version = "0.1.0"

// The exit codes of every verb.
const (
	ExitOK = iota
	// ExitFailure says that the verb ran and failed.
	ExitFailure
	// ExitUsage says that the arguments or a settings file are wrong.
	ExitUsage
	// ExitConflict says that another operator's edit came first.
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
