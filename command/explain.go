package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"foxhall/internal/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show from log lines how calls ended",
		Description: `Reads the log lines of any number of instances from files, or from the standard
input, and prints for each second and data centre how calls ended and where they
waited. With --id it prints everything the lines tell about one request or program, or
about the list entry of one replica.

   foxhall explain entry-1.log entry-2.log keeper-1.log
   foxhall explain --id 9c41d07be2a35f68 *.log`,
		ArgsUsage: "[FILE...]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "the `ID` of a request, a program or a replica"},
			&cli.DurationFlag{Name: "span", Value: time.Second, Usage: "the time that one row of the table covers"},
		},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, c *cli.Command) error {
	if c.Duration("span") <= 0 {
		return cli.Exit("explain: --span: expected a duration above 0", ExitUsage)
	}
	l, err := readLogs(c.Args().Slice())
	if err != nil {
		return err
	}
	if len(l.Lines) == 0 {
		return cli.Exit("explain: no log lines of an instance found", ExitFailure)
	}
	id := c.String("id")
	if id == "" {
		return l.Table(c.Duration("span")).Write(c.Root().Writer)
	}
	story := l.Trace(id)
	if len(story) == 0 {
		return cli.Exit("explain: --id: no log line refers to "+id, ExitFailure)
	}
	return explain.WriteTrace(c.Root().Writer, story)
}

// readLogs reads the named files, or the standard input if none is named.
func readLogs(paths []string) (*explain.Log, error) {
	if len(paths) == 0 {
		return explain.Read(os.Stdin)
	}
	var readers []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, cli.Exit("explain: "+err.Error(), ExitUsage)
		}
		defer file.Close()
		readers = append(readers, file)
	}
	return explain.Read(readers...)
}
