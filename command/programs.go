package command

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"foxhall/internal/owner"
)

func programsCommand() *cli.Command {
	return &cli.Command{
		Name:  "programs",
		Usage: "list the programs that instances own",
		Flags: append(operatorFlags(),
			&cli.BoolFlag{Name: "stalled", Usage: "only abandoned programs with open work"}),
		Action: listPrograms,
	}
}

func listPrograms(ctx context.Context, c *cli.Command) error {
	query := url.Values{"stalled": {strconv.FormatBool(c.Bool("stalled"))}}
	var programs []owner.ProgramInfo
	fetchErr := getAll(ctx, newOperatorClient(c), "/programs", query, func(list []owner.ProgramInfo) {
		programs = append(programs, list...)
	})
	if err := printPrograms(c.Root().Writer, c.Bool("json"), programs); err != nil {
		return err
	}
	return fetchErr
}

func printPrograms(w io.Writer, asJSON bool, programs []owner.ProgramInfo) error {
	if asJSON {
		return printJSONLines(w, programs)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROGRAM\tCUSTOMER\tSTEPS\tUNRESOLVED\tIDLE\tSTATE")
	for _, p := range programs {
		idle := time.Since(p.UsedAt).Round(time.Second)
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%s\n", p.ID, p.Customer, p.Steps, p.Unresolved, idle, programState(p))
	}
	return table.Flush()
}

func programState(p owner.ProgramInfo) string {
	state := "idle"
	switch {
	case p.Running:
		state = "running"
	case p.Stalled:
		state = "stalled"
	}
	switch {
	case p.Broken:
		state += ", history broken"
	case p.Uncertain:
		state += ", history uncertain"
	}
	return state
}
