package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// callResult is the outcome of a call and the reason for it, which may be empty.
type callResult struct{ outcome, reason string }

func (e callResult) String() string {
	if e.reason == "" {
		return e.outcome
	}
	return e.outcome + " " + e.reason
}

// stageFields are the log fields with the time that a call spent in each stage, in milliseconds.
var stageFields = []string{"reserving_ms", "placing_ms", "sending_ms", "keeping_ms"}

// row sums up the calls that ended in one time span and data centre.
type row struct {
	start      time.Time
	dataCentre string
	calls      int
	results    map[callResult]int
	stages     map[string]time.Duration
	// unanswered is the set of programs with a call that was not answered.
	unanswered map[string]bool
}

// Table sums up calls by time span and data centre.
type Table struct {
	start time.Time
	rows  []*row
}

// Table returns a table of the calls with a row for each time span and data centre that had any.
func (l *Log) Table(span time.Duration) *Table {
	t := &Table{}
	if len(l.Lines) == 0 {
		return t
	}
	centres := l.dataCentres()
	t.start = l.Lines[0].Time.Truncate(span)
	rows := map[string]*row{}
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message != callMessage {
			continue
		}
		start, centre := line.Time.Truncate(span), centres[line.Text("instance")]
		key := start.String() + centre
		if rows[key] == nil {
			rows[key] = &row{start: start, dataCentre: centre, results: map[callResult]int{}, stages: map[string]time.Duration{}, unanswered: map[string]bool{}}
			t.rows = append(t.rows, rows[key])
		}
		rows[key].add(line)
	}
	slices.SortFunc(t.rows, func(a, b *row) int {
		return cmp.Or(a.start.Compare(b.start), strings.Compare(a.dataCentre, b.dataCentre))
	})
	return t
}

// answered is the outcome of a call whose complete response was relayed to the caller.
const answered = "answered"

func (r *row) add(line *Line) {
	r.calls++
	result := callResult{outcome: line.Text("outcome"), reason: line.Text("reason")}
	r.results[result]++
	for _, name := range stageFields {
		r.stages[name] += line.Millis(name)
	}
	if program := line.Text("program"); result.outcome != answered && program != "" {
		r.unanswered[program] = true
	}
}

// maxNamedPrograms is the greatest number of programs that a row names.
const maxNamedPrograms = 3

// Write prints the table. The times are the mean per call in each stage, in milliseconds.
func (t *Table) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "second\tdata centre\tcalls\treserving\tplacing\tsending\tkeeping\tended otherwise\tprograms")
	for _, r := range t.rows {
		fmt.Fprintf(table, "%.1f\t%s\t%d", r.start.Sub(t.start).Seconds(), r.dataCentre, r.calls)
		for _, name := range stageFields {
			fmt.Fprintf(table, "\t%.1f", float64(r.stages[name].Microseconds())/1000/float64(r.calls))
		}
		fmt.Fprintf(table, "\t%s\t%s\n", r.unansweredResults(), r.unansweredPrograms())
	}
	return table.Flush()
}

// unansweredResults lists the results of calls that were not answered, most frequent first.
func (r *row) unansweredResults() string {
	var results []callResult
	for result := range r.results {
		if result.outcome != answered {
			results = append(results, result)
		}
	}
	slices.SortFunc(results, func(a, b callResult) int {
		return cmp.Or(cmp.Compare(r.results[b], r.results[a]), strings.Compare(a.String(), b.String()))
	})
	var parts []string
	for _, result := range results {
		parts = append(parts, fmt.Sprintf("%d %s", r.results[result], result))
	}
	return strings.Join(parts, ", ")
}

// unansweredPrograms lists the programs with unanswered calls, shortened to maxNamedPrograms.
func (r *row) unansweredPrograms() string {
	var names []string
	for name := range r.unanswered {
		names = append(names, name)
	}
	slices.Sort(names)
	if more := len(names) - maxNamedPrograms; more > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamedPrograms], " "), more)
	}
	return strings.Join(names, " ")
}
