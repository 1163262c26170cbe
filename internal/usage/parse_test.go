package usage

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"foxhall/internal/listfile"
)

const goodUsage = `[[model]]
name = "oak"
prompt_price_micros = 100
context_tokens = 120000

[[service]]
name = "payments"
repeatable = ["GET /v1/*"]
lookup = "/v1/charges/by-key"

[[upstream]]
name = "e1"
kind = "engine"
address = "10.0.0.1:9000"
data_centre = "rennes"
models = ["oak"]
slots = 16

[[upstream]]
name = "s1"
kind = "service"
address = "10.0.0.2:9000"
data_centre = "brest"
service = "payments"

[[grant]]
plan = "buyers"
models = ["oak"]
services = ["payments"]
data_centres = ["rennes"]
latency_weight = 2.0
`

// A mistake in a usage list is reported with its line and what was expected.
func TestParseNamesEachProblem(t *testing.T) {
	cases := map[string]struct {
		from, to string
		line     int
		want     string
	}{
		"host name":       {"10.0.0.1:9000", "engine-1:9000", 14, "IP number"},
		"kind":            {`"engine"`, `"motor"`, 13, `"engine" or "service"`},
		"engine's model":  {`models = ["oak"]`, `models = ["elm"]`, 16, "a model of this list"},
		"no such service": {`service = "payments"`, `service = "payouts"`, 24, "a service of this list"},
		"grant's model":   {"models = [\"oak\"]\nservices", "models = [\"ash\"]\nservices", 28, "a model of this list"},
		"grant's service": {`services = ["payments"]`, `services = ["x"]`, 29, "a service of this list"},
		"data centre":     {`["rennes"]`, `["nantes"]`, 30, "an upstream stands"},
		"pattern":         {"GET /v1/*", "GET v1", 8, "METHOD /path"},
		"lookup":          {`"/v1/charges`, `"v1/charges`, 9, "begins with /"},
		"weight":          {"= 2.0", "= -2.0", 31, "0 to"},
		"price":           {"= 100\n", "= -100\n", 3, "0 to"},
		"name twice":      {`"s1"`, `"e1"`, 20, "each name once"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(strings.Replace(goodUsage, c.from, c.to, 1)))
			var problems listfile.Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].Line, c.line)
			is.True(strings.Contains(problems[0].Error(), c.want)) // says what was expected
		})
	}
}

// A list that is parsed without an error can be formatted and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodUsage))
	f.Add([]byte("[[grant]]\nplan = \"a\"\n"))
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
