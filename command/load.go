package command

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"foxhall/internal/experiment"
	"foxhall/internal/load"
	"foxhall/internal/placement"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "run programs of a scenario against running instances, or a model of engines, and print what callers saw",
		Description: `Example, with the local example running:

   foxhall load --target http://127.0.0.1:8081 --target http://127.0.0.1:8082 \
     --key kerlouan-trial-key --scenario kerlouan --programs 100

With --pattern no instance is called: the placement policies are replayed in virtual
time against a model of engines.

   foxhall load --pattern burst --offered 1.1 --scenario kerlouan --compare --plot burst.svg`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "target", Usage: "callers' `URL` of an instance; steps go to all in turn"},
			&cli.StringFlag{Name: "key", Usage: "the customer's bearer `KEY`"},
			&cli.StringFlag{Name: "pattern", Usage: "replay a load pattern against a model: " + strings.Join(patternNames(), ", ")},
			&cli.FloatFlag{Name: "offered", Value: 1, Usage: "offered load as a share of what the model's engines can serve"},
			&cli.BoolFlag{Name: "compare", Usage: "replay the baselines too, and print the ratio"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of runs of each policy, from --seed on"},
			&cli.StringFlag{Name: "plot", Usage: "write a plot to `FILE` (.svg, .png or .pdf)"},
			&cli.StringFlag{Name: "scenario", Value: load.Kerlouan.Name, Usage: "kerlouan or semente"},
			&cli.IntFlag{Name: "programs", Value: 100, Usage: "number of programs"},
			&cli.IntFlag{Name: "concurrency", Value: 10, Usage: "programs at once"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the programs' shapes"},
			&cli.DurationFlag{Name: "time", Value: 10 * time.Minute, Usage: "time limit of the whole run"},
		},
		Action: runLoad,
	}
}

func patternNames() []string {
	var names []string
	for _, p := range experiment.Patterns {
		names = append(names, p.Name)
	}
	return names
}

// replayPattern replays a load pattern against the model of engines and prints the results.
func replayPattern(c *cli.Command) error {
	pattern, err := experiment.PatternOf(c.String("pattern"))
	if err != nil {
		return cli.Exit("load: --pattern: "+err.Error(), ExitUsage)
	}
	i := slices.IndexFunc(experiment.Shapes, func(s experiment.Shape) bool { return s.Name == strings.ToLower(c.String("scenario")) })
	if i < 0 || c.Float("offered") <= 0 || c.Int("seeds") < 1 {
		return cli.Exit("load: expected a scenario kerlouan or semente, --offered above 0 and --seeds of 1 or more", ExitUsage)
	}
	policies := []placement.Policy{placement.Cost}
	if c.Bool("compare") {
		policies = append(policies, placement.RoundRobin, placement.LeastInFlight, placement.PrefixOnly)
	}
	var seeds []uint64
	for n := range c.Int("seeds") {
		seeds = append(seeds, c.Uint64("seed")+uint64(n))
	}
	o := experiment.Options{Shape: experiment.Shapes[i], Pattern: pattern, Load: c.Float("offered")}
	comparison, err := experiment.Compare(o, policies, seeds)
	if err != nil {
		return err
	}
	if path := c.String("plot"); path != "" {
		if err := comparison.SavePlot(path); err != nil {
			return err
		}
	}
	return comparison.WriteTable(c.Root().Writer)
}

func runLoad(ctx context.Context, c *cli.Command) error {
	if c.IsSet("pattern") {
		return replayPattern(c)
	}
	if len(c.StringSlice("target")) == 0 || c.String("key") == "" {
		return cli.Exit("load: expected --target and --key, or --pattern", ExitUsage)
	}
	var shape load.Shape
	switch name := strings.ToLower(c.String("scenario")); name {
	case load.Kerlouan.Name:
		shape = load.Kerlouan
	case load.Semente.Name:
		shape = load.Semente
	default:
		return cli.Exit("load: --scenario: expected kerlouan or semente", ExitUsage)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("time"))
	defer cancel()
	client := load.NewClient(c.StringSlice("target"), c.String("key"))
	report := load.Drive(ctx, client, shape, c.Int("programs"), c.Int("concurrency"), c.Uint64("seed"))
	return load.WriteTable(c.Root().Writer, []*load.Report{report})
}
