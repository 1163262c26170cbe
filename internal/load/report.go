package load

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"foxhall/internal/step"
)

// histogramMaxMicros is the longest latency that a report records, in microseconds.
const histogramMaxMicros = int64(10 * time.Minute / time.Microsecond)

// Report sums up the programs of one shape.
type Report struct {
	Shape    string
	Programs int
	Finished int
	Steps    int
	Effects  int
	Refused  int
	// OutcomeUnknown is the number of programs that ended at a step of unknown outcome.
	OutcomeUnknown int
	// PromptTokens and CompletionTokens are the total tokens of the model steps, sub-agents not
	// counted.
	PromptTokens     int
	CompletionTokens int
	// Reasons counts the unfinished programs by the code of their last refusal.
	Reasons map[step.Code]int
	// Codes counts the refusals by code.
	Codes      map[step.Code]int
	EffectKeys []string

	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

// Drive runs a number of programs of the shape, at most concurrency of them at once, and returns
// a report on them. Program i has the seed seed+i.
func Drive(ctx context.Context, client *Client, shape Shape, programs, concurrency int, seed uint64) *Report {
	report := newReport(shape.Name)
	var mu sync.Mutex
	group := errgroup.Group{}
	group.SetLimit(concurrency)
	for i := range programs {
		group.Go(func() error {
			run := RunProgram(ctx, client, shape, seed+uint64(i))
			mu.Lock()
			defer mu.Unlock()
			report.add(run)
			return nil
		})
	}
	_ = group.Wait()
	return report
}

func newReport(shape string) *Report {
	return &Report{
		Shape:      shape,
		Reasons:    map[step.Code]int{},
		Codes:      map[step.Code]int{},
		latency:    hdrhistogram.New(1, histogramMaxMicros, 3),
		firstToken: hdrhistogram.New(1, histogramMaxMicros, 3),
	}
}

func (r *Report) add(run Run) {
	r.Programs++
	r.Steps += run.Steps
	r.Effects += run.Effects
	r.Refused += run.Refused
	for code, n := range run.Codes {
		r.Codes[code] += n
	}
	r.PromptTokens += run.Usage.PromptTokens
	r.CompletionTokens += run.Usage.CompletionTokens
	r.EffectKeys = append(r.EffectKeys, run.EffectKeys...)
	for _, first := range run.First {
		_ = r.firstToken.RecordValue(first.Microseconds())
	}
	if !run.Finished {
		r.Reasons[run.Reason]++
		if run.Reason == step.CodeOutcomeUnknown {
			r.OutcomeUnknown++
		}
		return
	}
	r.Finished++
	_ = r.latency.RecordValue(run.Latency.Microseconds())
}

// Latency returns the latency of finished programs at the percentile.
func (r *Report) Latency(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtPercentile(percentile)) * time.Microsecond
}

// FirstToken returns the time to a step's first token at the percentile.
func (r *Report) FirstToken(percentile float64) time.Duration {
	return time.Duration(r.firstToken.ValueAtPercentile(percentile)) * time.Microsecond
}

// WriteTable writes one row for each report, then the number of unfinished programs by reason.
func WriteTable(w io.Writer, reports []*Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SCENARIO\tPROGRAMS\tFINISHED\tSTEPS\tEFFECTS\tREFUSALS\tP50\tP95\tFIRST TOKEN P95\tPROMPT TOKENS")
	for _, r := range reports {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%d\n", r.Shape, r.Programs, r.Finished, r.Steps, r.Effects, r.Refused,
			r.Latency(50).Round(time.Millisecond), r.Latency(95).Round(time.Millisecond), r.FirstToken(95).Round(time.Millisecond), r.PromptTokens)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		for _, line := range r.unfinishedReasons() {
			fmt.Fprintln(w, line)
		}
	}
	return nil
}

// unfinishedReasons returns a line for each reason for which programs did not finish.
func (r *Report) unfinishedReasons() []string {
	lines := make([]string, 0, len(r.Reasons))
	for code, n := range r.Reasons {
		lines = append(lines, fmt.Sprintf("%s: %d programs ended unfinished: %s", r.Shape, n, code))
	}
	sort.Strings(lines)
	return lines
}
