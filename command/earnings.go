package command

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"foxhall/internal/owner"
)

func earningsCommand() *cli.Command {
	return &cli.Command{
		Name:  "earnings",
		Usage: "sum the earnings of placed steps by customer",
		Flags: append(operatorFlags(), &cli.StringFlag{
			Name:     "since",
			Usage:    "a time (2026-01-31T00:00:00Z), a day (2026-01-31) or an age (36h); sums are kept by hour for two days, then by day",
			Required: true,
		}),
		Action: sumEarnings,
	}
}

func sumEarnings(ctx context.Context, c *cli.Command) error {
	since, ok := parseSince(c.String("since"), time.Now())
	if !ok {
		return cli.Exit("earnings: --since: expected a time, a day or an age", ExitUsage)
	}
	sums := map[string]*owner.CustomerEarnings{}
	query := url.Values{"since": {since.UTC().Format(time.RFC3339)}}
	fetchErr := getAll(ctx, newOperatorClient(c), "/earnings", query, func(list []owner.CustomerEarnings) {
		addEarnings(sums, list)
	})
	if err := printEarnings(c.Root().Writer, c.Bool("json"), sortedEarnings(sums)); err != nil {
		return err
	}
	return fetchErr
}

func parseSince(text string, now time.Time) (time.Time, bool) {
	if age, err := time.ParseDuration(text); err == nil && age >= 0 {
		return now.Add(-age), true
	}
	for _, layout := range []string{time.RFC3339, time.DateOnly} {
		if at, err := time.Parse(layout, text); err == nil {
			return at, true
		}
	}
	return time.Time{}, false
}

func addEarnings(sums map[string]*owner.CustomerEarnings, list []owner.CustomerEarnings) {
	for _, e := range list {
		sum := sums[e.Customer]
		if sum == nil {
			sum = &owner.CustomerEarnings{Customer: e.Customer}
			sums[e.Customer] = sum
		}
		sum.Steps += e.Steps
		sum.Price += e.Price
		sum.Cut += e.Cut
	}
}

func sortedEarnings(sums map[string]*owner.CustomerEarnings) []owner.CustomerEarnings {
	sorted := make([]owner.CustomerEarnings, 0, len(sums))
	for _, sum := range sums {
		sorted = append(sorted, *sum)
	}
	slices.SortFunc(sorted, func(a, b owner.CustomerEarnings) int { return cmp.Compare(a.Customer, b.Customer) })
	return sorted
}

// microsPerUnit is the number of micros in a currency unit.
const microsPerUnit = 1_000_000

func printEarnings(w io.Writer, asJSON bool, list []owner.CustomerEarnings) error {
	if asJSON {
		return printJSONLines(w, list)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "CUSTOMER\tSTEPS\tPRICE\tCUT\t")
	for _, e := range list {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t\n", e.Customer, e.Steps, formatMicros(e.Price), formatMicros(e.Cut))
	}
	return table.Flush()
}

// formatMicros formats an amount in micros as currency units, without rounding.
func formatMicros(micros int64) string {
	sign := ""
	if micros < 0 {
		sign, micros = "-", -micros
	}
	return fmt.Sprintf("%s%d.%06d", sign, micros/microsPerUnit, micros%microsPerUnit)
}
