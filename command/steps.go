package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foxhall/internal/owner"
	"foxhall/internal/program"
)

func stepsCommand() *cli.Command {
	return &cli.Command{
		Name:     "steps",
		Usage:    "list steps whose outcome is unknown, and resolve them",
		Flags:    append(operatorFlags(), &cli.BoolFlag{Name: "unknown", Usage: "list the steps that may have run"}),
		Action:   listSteps,
		Commands: []*cli.Command{resolveCommand()},
	}
}

func resolveCommand() *cli.Command {
	return &cli.Command{
		Name:  "resolve",
		Usage: "record the outcome of a step whose outcome is unknown",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "the program's id", Required: true},
			&cli.IntFlag{Name: "number", Usage: "the step's number", Required: true},
			&cli.BoolFlag{Name: "ran", Usage: "the step had its effect"},
			&cli.BoolFlag{Name: "not-run", Usage: "the step had no effect and never will"},
			&cli.StringFlag{Name: "operator", Usage: "who resolves the step", Required: true, Sources: cli.EnvVars("USER")},
			&cli.StringFlag{Name: "note", Usage: "how the outcome is known"},
		},
		Action: resolveStep,
	}
}

func listSteps(ctx context.Context, c *cli.Command) error {
	if !c.Bool("unknown") {
		return cli.Exit("steps: --unknown is required; no other steps are listed", ExitUsage)
	}
	var steps []owner.UnknownStep
	fetchErr := getAll(ctx, newOperatorClient(c), "/steps", url.Values{"unknown": {"true"}}, func(list []owner.UnknownStep) {
		steps = append(steps, list...)
	})
	if err := printSteps(c.Root().Writer, c.Bool("json"), steps); err != nil {
		return err
	}
	return fetchErr
}

func printSteps(w io.Writer, asJSON bool, steps []owner.UnknownStep) error {
	if asJSON {
		return printJSONLines(w, steps)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROGRAM\tSTEP\tCUSTOMER\tCALL\tSENT\tKEY AT THE SERVICE")
	for _, s := range steps {
		call := s.Service + " " + s.Method + " " + s.Path
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\t%s\n", s.Program, s.Number, s.Customer, call, s.At.Format(time.RFC3339), s.UpstreamKey)
	}
	return table.Flush()
}

func resolveStep(ctx context.Context, c *cli.Command) error {
	if c.Bool("ran") == c.Bool("not-run") {
		return cli.Exit("steps resolve: expected exactly one of --ran and --not-run", ExitUsage)
	}
	body, err := json.Marshal(owner.Resolution{
		Program:  program.ID(c.String("program")),
		Number:   c.Int("number"),
		Ran:      c.Bool("ran"),
		Operator: c.String("operator"),
		Note:     c.String("note"),
	})
	if err != nil {
		return errors.Wrap(err, "resolution")
	}
	return resolveAtOwner(ctx, newOperatorClient(c), body)
}

// resolveAtOwner sends the resolution to each instance in turn until one accepts it or reports a
// conflict. Only the instance that owns the program accepts it.
func resolveAtOwner(ctx context.Context, o *operatorClient, body []byte) error {
	var lastErr error
	for _, instance := range o.instances {
		err := o.do(ctx, http.MethodPost, instance, "/steps/resolve", body, nil)
		if err == nil {
			return nil
		}
		var status *statusError
		if errors.As(err, &status) && status.Status == http.StatusConflict {
			return cli.Exit(err.Error(), ExitConflict)
		}
		lastErr = errors.Wrap(err, instance)
	}
	return lastErr
}
