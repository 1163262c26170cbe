package command

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"
)

// testInstance serves the given response bodies by path, and records the requests that it receives.
func testInstance(t *testing.T, responses map[string]string) (address string, requests *[]string) {
	requests = &[]string{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		*requests = append(*requests, r.Method+" "+r.URL.String()+" "+r.Header.Get("Authorization")+" "+string(body))
		response, ok := responses[r.URL.Path]
		if !ok {
			http.Error(w, `{"message":"no such program here"}`, http.StatusNotFound)
			return
		}
		_, _ = io.WriteString(w, response)
	}))
	t.Cleanup(server.Close)
	return server.URL, requests
}

func runCLI(command *cli.Command, args ...string) (string, error) {
	var out bytes.Buffer
	root := &cli.Command{
		Name: "foxhall", Writer: &out, ErrWriter: io.Discard, Commands: []*cli.Command{command},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(context.Background(), append([]string{"foxhall"}, args...))
	return out.String(), err
}

// Earnings of two instances are summed by customer. If one instance is unreachable, the sum of the
// other is printed and the command fails, so that a partial sum is not mistaken for the total.
func TestEarningsSummedOverInstances(t *testing.T) {
	is := is.New(t)
	one, requests := testInstance(t, map[string]string{
		"/operator/v1/earnings": `[{"customer":"semente","steps":2,"price_micros":2000000,"cut_micros":150000}]`})
	two, _ := testInstance(t, map[string]string{
		"/operator/v1/earnings": `[{"customer":"semente","steps":1,"price_micros":1,"cut_micros":0}]`})
	out, err := runCLI(earningsCommand(), "earnings", "--instance", one, "--instance", two, "--key", "k", "--since", "2026-01-31")
	is.NoErr(err)
	is.True(strings.Contains(out, "2.000001"))
	is.True(strings.Contains(out, "0.150000"))
	is.True(strings.HasPrefix((*requests)[0], "GET /operator/v1/earnings?since=2026-01-31T00%3A00%3A00Z Bearer k"))
	out, err = runCLI(earningsCommand(), "earnings", "--instance", one, "--instance", "http://127.0.0.1:1", "--since", "1h")
	is.True(err != nil)
	is.True(strings.Contains(out, "2.000000"))
	_, err = runCLI(earningsCommand(), "earnings", "--instance", one, "--since", "lately")
	is.Equal(err.(cli.ExitCoder).ExitCode(), ExitUsage)
}

// A step is resolved at the instance that owns its program, also if another instance is asked first.
func TestResolveReachesOwner(t *testing.T) {
	is := is.New(t)
	other, _ := testInstance(t, nil)
	owner, requests := testInstance(t, map[string]string{"/operator/v1/steps/resolve": ""})
	args := []string{"steps", "--instance", other, "--instance", owner, "resolve", "--program", "p", "--number", "3", "--operator", "ana"}
	_, err := runCLI(stepsCommand(), args...)
	is.Equal(err.(cli.ExitCoder).ExitCode(), ExitUsage) // neither --ran nor --not-run
	_, err = runCLI(stepsCommand(), append(args, "--ran", "--note", "seen")...)
	is.NoErr(err)
	is.True(strings.Contains((*requests)[0], `{"program":"p","number":3,"ran":true,"operator":"ana","note":"seen"}`))
}

// The lists of stalled programs and of unknown steps show the ids, the state, the call and the key at
// the service.
func TestListProgramsAndSteps(t *testing.T) {
	is := is.New(t)
	address, requests := testInstance(t, map[string]string{
		"/operator/v1/programs": `[{"id":"dc.i.x:abc","customer":"semente","steps":4,"unresolved_steps":1,"stalled":true}]`,
		"/operator/v1/steps":    `[{"program":"dc.i.x:abc","number":4,"service":"pay","method":"POST","path":"/charge","upstream_key":"dc.i.x:abc/4"}]`,
	})
	out, err := runCLI(programsCommand(), "programs", "--instance", address, "--stalled")
	is.NoErr(err)
	is.True(strings.Contains(out, "dc.i.x:abc") && strings.Contains(out, "stalled"))
	is.True(strings.HasPrefix((*requests)[0], "GET /operator/v1/programs?stalled=true"))
	out, err = runCLI(stepsCommand(), "steps", "--instance", address, "--unknown")
	is.NoErr(err)
	is.True(strings.Contains(out, "pay POST /charge") && strings.Contains(out, "dc.i.x:abc/4"))
	_, err = runCLI(stepsCommand(), "steps", "--instance", address)
	is.Equal(err.(cli.ExitCoder).ExitCode(), ExitUsage)
}

func TestParseSince(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 5, 1, 12, 0, 0, 0, time.UTC)
	for text, want := range map[string]string{
		"36h": "2026-04-30T00:00:00Z", "2026-01-31": "2026-01-31T00:00:00Z", "2026-01-31T01:00:00Z": "2026-01-31T01:00:00Z",
	} {
		at, ok := parseSince(text, now)
		is.True(ok)
		is.Equal(at.Format(time.RFC3339), want)
	}
	_, ok := parseSince("-1h", now)
	is.True(!ok)
}
