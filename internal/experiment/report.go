package experiment

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"foxhall/internal/placement"
)

// Comparison holds the results of the product's policy and of baselines under the same loads.
type Comparison struct {
	Options Options
	Seeds   []uint64
	// Rows has one row per policy, the product's first.
	Rows []Row
}

// Row holds the results of one policy with each seed.
type Row struct {
	Policy  placement.Policy
	Results []*Result
}

// Compare runs each policy with each seed.
func Compare(o Options, policies []placement.Policy, seeds []uint64) (*Comparison, error) {
	c := &Comparison{Options: o, Seeds: seeds}
	for _, p := range policies {
		row := Row{Policy: p}
		for _, seed := range seeds {
			o.Policy, o.Seed = p, seed
			result, err := Run(o)
			if err != nil {
				return nil, err
			}
			row.Results = append(row.Results, result)
		}
		c.Rows = append(c.Rows, row)
	}
	return c, nil
}

// median returns the median of a figure over the seeds.
func (r *Row) median(figure func(*Result) float64) float64 {
	var values []float64
	for _, result := range r.Results {
		values = append(values, figure(result))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// InTime returns the median share of programs that were on time.
func (r *Row) InTime() float64 { return r.median((*Result).InTimeShare) }

// Ratio returns the first policy's share of programs on time, divided by that of the best other.
func (c *Comparison) Ratio() float64 {
	best := 0.0
	for i := range c.Rows[1:] {
		best = max(best, c.Rows[1+i].InTime())
	}
	return c.Rows[0].InTime() / best
}

// WriteTable writes one row per policy with medians over the seeds, and the ratio.
func (c *Comparison) WriteTable(w io.Writer) error {
	o := &c.Options
	fmt.Fprintf(w, "%s, pattern %s (%s), load %.2f, %d seeds\n", o.Shape.Name, o.Pattern.Name, o.Pattern.Description, o.Load, len(c.Seeds))
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "policy\tprograms\tin time\tlate\tfailed\tp95 x idle\tprompt read again\trefused turns")
	for i := range c.Rows {
		r := &c.Rows[i]
		fmt.Fprintf(table, "%s\t%.0f\t%.3f\t%.0f\t%.0f\t%.2f\t%.3f\t%.0f\n", r.Policy,
			r.median(func(x *Result) float64 { return float64(x.Programs) }), r.InTime(),
			r.median(func(x *Result) float64 { return float64(x.Late) }),
			r.median(func(x *Result) float64 { return float64(x.Failed) }),
			r.median(func(x *Result) float64 { return x.P95 }),
			r.median(func(x *Result) float64 { return x.RepeatedPrefill }),
			r.median(func(x *Result) float64 { return float64(x.Refused) }))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "experiment")
	}
	if len(c.Rows) < 2 {
		return nil
	}
	_, err := fmt.Fprintf(w, "in time, %s over the best other: %.2f\n", c.Rows[0].Policy, c.Ratio())
	return errors.Wrap(err, "experiment")
}

// plotWidth and plotHeight are the size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// SavePlot draws the share of programs on time over the time of the first seed's run. The file
// extension selects the format: svg, png or pdf.
func (c *Comparison) SavePlot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, load %.2f", c.Options.Shape.Name, c.Options.Pattern.Name, c.Options.Load)
	p.X.Label.Text = "begin of program, s"
	p.Y.Label.Text = "share on time"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	for i := range c.Rows {
		line, err := plotter.NewLine(points(c.Rows[i].Results[0].Series))
		if err != nil {
			return errors.Wrap(err, "experiment")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(string(c.Rows[i].Policy), line)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "experiment")
}

func points(series []float64) plotter.XYs {
	var xys plotter.XYs
	for second, share := range series {
		if !math.IsNaN(share) {
			xys = append(xys, plotter.XY{X: float64(second), Y: share})
		}
	}
	return xys
}
