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

// ended is how a call ended.
type ended struct{ outcome, reason string }

func (e ended) String() string {
	if e.reason == "" {
		return e.outcome
	}
	return e.outcome + " " + e.reason
}

// stageNames are the fields of a call's time in each part of its way.
var stageNames = []string{"reserving_ms", "placing_ms", "sending_ms", "keeping_ms"}

// row is what became of the calls that ended in one span and data centre.
type row struct {
	at         time.Time
	dataCentre string
	calls      int
	ends       map[ended]int
	stages     map[string]time.Duration
	// lost are the programs of calls that were not answered.
	lost map[string]bool
}

// Table is the calls by time and data centre.
type Table struct {
	began time.Time
	rows  []*row
}

// Table adds calls up over spans of time.
func (l *Log) Table(span time.Duration) *Table {
	t := &Table{}
	if len(l.Lines) == 0 {
		return t
	}
	centres := l.dataCentres()
	t.began = l.Lines[0].Time.Truncate(span)
	rows := map[string]*row{}
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message != callMessage {
			continue
		}
		at, centre := line.Time.Truncate(span), centres[line.Text("instance")]
		key := at.String() + centre
		if rows[key] == nil {
			rows[key] = &row{at: at, dataCentre: centre, ends: map[ended]int{}, stages: map[string]time.Duration{}, lost: map[string]bool{}}
			t.rows = append(t.rows, rows[key])
		}
		rows[key].add(line)
	}
	slices.SortFunc(t.rows, func(a, b *row) int {
		return cmp.Or(a.at.Compare(b.at), strings.Compare(a.dataCentre, b.dataCentre))
	})
	return t
}

// answered is the outcome of a call whose whole answer was passed on.
const answered = "answered"

func (r *row) add(line *Line) {
	r.calls++
	e := ended{outcome: line.Text("outcome"), reason: line.Text("reason")}
	r.ends[e]++
	for _, name := range stageNames {
		r.stages[name] += line.Millis(name)
	}
	if program := line.Text("program"); e.outcome != answered && program != "" {
		r.lost[program] = true
	}
}

// lostMost is the number of programs that a row names.
const lostMost = 3

// Write prints the table. Times are the mean of a call in each stage.
func (t *Table) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "second\tdata centre\tcalls\treserving\tplacing\tsending\tkeeping\tended otherwise\tprograms")
	for _, r := range t.rows {
		fmt.Fprintf(out, "%.1f\t%s\t%d", r.at.Sub(t.began).Seconds(), r.dataCentre, r.calls)
		for _, name := range stageNames {
			fmt.Fprintf(out, "\t%.1f", float64(r.stages[name].Microseconds())/1000/float64(r.calls))
		}
		fmt.Fprintf(out, "\t%s\t%s\n", r.otherwise(), r.programs())
	}
	return out.Flush()
}

// otherwise lists how calls ended that were not answered, the most frequent first.
func (r *row) otherwise() string {
	var ends []ended
	for e := range r.ends {
		if e.outcome != answered {
			ends = append(ends, e)
		}
	}
	slices.SortFunc(ends, func(a, b ended) int {
		return cmp.Or(cmp.Compare(r.ends[b], r.ends[a]), strings.Compare(a.String(), b.String()))
	})
	var parts []string
	for _, e := range ends {
		parts = append(parts, fmt.Sprintf("%d %s", r.ends[e], e))
	}
	return strings.Join(parts, ", ")
}

func (r *row) programs() string {
	var names []string
	for name := range r.lost {
		names = append(names, name)
	}
	slices.Sort(names)
	if more := len(names) - lostMost; more > 0 {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:lostMost], " "), more)
	}
	return strings.Join(names, " ")
}
