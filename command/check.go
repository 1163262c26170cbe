package command

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foxhall/internal/config"
	"foxhall/internal/plan"
	"foxhall/internal/settings"
	"foxhall/internal/usage"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a settings file and the two lists without applying them",
		Description: `Each error is reported with its file, line and key. Examples:

   foxhall check --settings foxhall.toml
   foxhall check --plans plans.toml --usage usage.toml`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of an instance"},
			&cli.StringFlag{Name: "plans", Usage: "plans list `FILE`"},
			&cli.StringFlag{Name: "usage", Usage: "usage list `FILE`"},
		},
		Action: check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	if c.NumFlags() == 0 {
		return cli.Exit("check: give at least one of --settings, --plans, --usage", ExitUsage)
	}
	if file := c.String("settings"); file != "" {
		if _, err := settings.Load(file); err != nil {
			return cli.Exit(err.Error(), ExitUsage)
		}
	}
	if err := checkLists(c.String("plans"), c.String("usage")); err != nil {
		return cli.Exit(err.Error(), ExitUsage)
	}
	_, err := fmt.Fprintln(c.Root().Writer, "ok")
	return err
}

func checkLists(plansFile, usageFile string) error {
	var plans *plan.List
	var usageList *usage.List
	if plansFile != "" {
		text, err := os.ReadFile(plansFile)
		if err != nil {
			return errors.Wrap(err, "plans")
		}
		if plans, err = plan.Parse(text); err != nil {
			return errors.WithMessage(err, plansFile)
		}
	}
	if usageFile != "" {
		text, err := os.ReadFile(usageFile)
		if err != nil {
			return errors.Wrap(err, "usage")
		}
		if usageList, err = usage.Parse(text); err != nil {
			return errors.WithMessage(err, usageFile)
		}
	}
	if plans == nil || usageList == nil {
		return nil
	}
	return config.Validate(plans, usageList)
}
