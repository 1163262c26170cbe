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

	"foxhall/internal/control"
)

// Output formats of `foxhall status`.
const (
	formatText = "text"
	formatJSON = "json"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the instances, their data centres and the configuration in force on each",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "instance", Usage: "any instance, as http://ip:port", Required: true},
			operatorKeyFlag(),
			&cli.StringFlag{Name: "format", Usage: "text or json", Value: formatText},
			&cli.BoolFlag{Name: "all", Usage: "query every instance for its current report"},
		},
		Action: showStatus,
	}
}

func showStatus(ctx context.Context, c *cli.Command) error {
	format := c.String("format")
	if format != formatText && format != formatJSON {
		return cli.Exit(errors.Errorf("status: --format: expected text or json, found %q", format), ExitUsage)
	}
	status, err := fetchStatus(ctx, c.String("instance"), c.String("key"), c.Bool("all"))
	if err != nil {
		return err
	}
	if format == formatJSON {
		encoder := json.NewEncoder(c.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(status)
	}
	return writeStatus(c.Root().Writer, status)
}

// statusPath is the path of the fleet status, relative to the prefix of the operators' endpoint.
const statusPath = "/status"

func fetchStatus(ctx context.Context, instance, key string, all bool) (*control.Status, error) {
	path := statusPath
	if all {
		path += "?" + url.Values{"survey": {"all"}}.Encode()
	}
	client := &operatorClient{key: key, http: &http.Client{Timeout: operatorRequestTimeout}}
	status := &control.Status{}
	err := client.do(ctx, http.MethodGet, instance, path, nil, status)
	return status, errors.Wrap(err, "status")
}

// writeStatus prints the data centres, instances and leases, and marks the instances whose
// configuration is older than the newest version.
func writeStatus(w io.Writer, s *control.Status) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "answered by %s, newest configuration %d\n", s.Responder, s.ConfigVersion)
	if s.Isolated {
		fmt.Fprintln(table, "ISOLATED: this instance has lost most of its data centre; ask another one")
	}
	fmt.Fprintln(table, "\nDATA CENTRE\tREACHABLE\tLIVE\tBEHIND")
	for _, d := range s.DataCentres {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\n", d.DataCentre, yesNo(d.Reachable), d.Live, d.Outdated)
	}
	fmt.Fprintln(table, "\nINSTANCE\tDATA CENTRE\tINCARNATION\tADDRESS\tSTATE\tSIZE\tCONFIG\tSTORE\tREACHED\tAGE")
	for _, i := range s.Instances {
		writeInstance(table, i, s.ConfigVersion)
	}
	for _, i := range s.Ended {
		writeInstance(table, i, 0)
	}
	fmt.Fprintln(table, "\nDUTY\tHOLDER\tEPOCH")
	for _, l := range s.Leases {
		fmt.Fprintf(table, "%s\t%s\t%d\n", l.Duty, l.Holder, l.Epoch)
	}
	return table.Flush()
}

func writeInstance(w io.Writer, i control.StatusInstance, newest uint64) {
	version := fmt.Sprint(i.ConfigVersion)
	if i.ConfigVersion < newest {
		version += " behind"
	}
	state := i.State
	if i.LeftGracefully {
		state = "left"
	}
	age := time.Duration(i.AgeSeconds * float64(time.Second)).Round(100 * time.Millisecond)
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", i.Instance, i.DataCentre, i.Incarnation,
		i.Address, state, i.Size, version, i.Store, yesNo(i.Reachable), age)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
