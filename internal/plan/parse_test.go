package plan

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/listfile"
)

const goodPlans = `# base: 7
[[plan]]
name = "donors"
customer = "semente"
key_hashes = ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
priority = 3
cut_basis_points = 250
[plan.budget]
money_micros = 5000000
tokens = 1000000
window = "24h"
[plan.limits]
rate = 2.5
burst = 5
concurrency = 4

[[plan]]
name = "buyers"
customer = "kerlouan"
limits = { rate = 1.0, concurrency = 2 }
`

// A mistake in a list is reported with the list, the line and what was expected.
func TestParseNamesEachProblem(t *testing.T) {
	cases := map[string]struct {
		from, to string
		line     int
		want     string
	}{
		"unknown key":        {"priority = 3", "priorty = 3", 6, "a key that foxhall knows"},
		"wrong type":         {"priority = 3", `priority = "high"`, 6, "string"},
		"bad syntax":         {"priority = 3", "priority = ", 6, ""},
		"out of range":       {"priority = 3", "priority = 12", 6, "0 to 9"},
		"cut":                {"= 250", "= 10001", 7, "0 to 10000"},
		"no window":          {`window = "24h"`, "", 8, "10s to"},
		"negative":           {"tokens = 1000000", "tokens = -1", 10, "0 to"},
		"inline table":       {"concurrency = 2", "concurrency = -2", 20, "0 to"},
		"name twice":         {`"buyers"`, `"donors"`, 18, "each name once"},
		"customer twice":     {`"kerlouan"`, `"semente"`, 19, "each name once"},
		"no name":            {`name = "buyers"`, "", 17, "letters"},
		"invalid key hash":   {"9f86", "zz86", 5, "SHA-256"},
		"not a number":       {"rate = 2.5", "rate = nan", 13, "0 to"},
		"burst without rate": {"rate = 2.5", "", 14, "limits.rate beside it"},
		"bad duration":       {`"24h"`, `"a day"`, 11, ""},
		"duration too low":   {`"24h"`, `"1s"`, 11, "10s to"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(goodPlans, c.from, c.to, 1)))
			var problems listfile.Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].List, ListName)
			is.Equal(problems[0].Line, c.line)
			is.True(strings.Contains(err.Error(), c.want)) // says what was expected
		})
	}
}

func TestParseAndFormatAgree(t *testing.T) {
	is := is.New(t)
	list, err := Parse([]byte(goodPlans))
	is.NoErr(err)
	is.Equal(list.Authenticate("test"), list.Lookup("donors"))
	is.Equal(list.Line("buyers", "customer"), 19)
	text, err := list.Format()
	is.NoErr(err)
	again, err := Parse(text)
	is.NoErr(err)
	is.Equal(again.Plans[0], list.Plans[0])
}

// A list that is parsed without an error can be formatted and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodPlans))
	f.Add([]byte("[[plan]]\nname=\"a\"\ncustomer=\"b\"\nbudget.tokens=1\n"))
	f.Add([]byte("plan = [{name = \"a\", customer = \"b\"}]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Parse(text)
		if err != nil {
			var problems listfile.Problems
			if !errors.As(err, &problems) || len(problems) == 0 {
				t.Fatalf("error %v, want listfile.Problems", err)
			}
			return
		}
		formatted, err := list.Format()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(formatted); err != nil {
			t.Fatalf("formatted list can't be parsed: %v\n%s", err, formatted)
		}
	})
}
