package command

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, "foxhall", Version)
			return err
		},
	}
}

func asExitCoder(err error, coder *cli.ExitCoder) bool { return errors.As(err, coder) }
