package command

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"foxhall/internal/standin"
)

const plansFile = `# base: 0
[[plan]]
name = "donors"
customer = "semente"
priority = 1
[[plan]]
name = "buyers"
customer = "kerlouan"
`

// listCLI runs the commands of the lists against a stand-in store.
type listCLI struct {
	is     *is.I
	url    string
	folder string
}

func newListCLI(t *testing.T, store *standin.Store) *listCLI {
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return &listCLI{is: is.New(t), url: server.URL, folder: t.TempDir()}
}

func (s *listCLI) run(args ...string) (out string, code int) {
	var buffer bytes.Buffer
	app := &cli.Command{
		Name: "foxhall", Writer: &buffer, ErrWriter: &buffer,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       []*cli.Command{plansCommand(), usageCommand()},
	}
	args = append([]string{"foxhall", args[0], args[1], "--store", s.url, "--cache", filepath.Join(s.folder, "cache")}, args[2:]...)
	err := app.Run(context.Background(), args)
	if err == nil {
		return buffer.String(), ExitOK
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return buffer.String() + err.Error(), coder.ExitCode()
	}
	return buffer.String() + err.Error(), ExitFailure
}

func (s *listCLI) file(name, text string) string {
	path := filepath.Join(s.folder, name)
	s.is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Operators edit from the same base version. An edit of another plan is merged; an edit of the same
// plan fails with exit code 3, and the message names the plan, the key, the other operator and the
// version.
func TestConcurrentOperatorEdits(t *testing.T) {
	s := newListCLI(t, standin.NewStore())
	first := s.file("plans.toml", plansFile)
	out, code := s.run("plans", "apply", "--operator", "ana", first)
	s.is.Equal(code, ExitOK)
	s.is.True(strings.Contains(out, `added plan "buyers"`))
	text, err := os.ReadFile(first)
	s.is.NoErr(err)
	s.is.True(!strings.Contains(string(text), "# base: 0")) // the base line was updated

	ana := s.file("ana.toml", strings.Replace(string(text), "priority = 1", "priority = 2", 1))
	rui := s.file("rui.toml", strings.Replace(string(text), `"kerlouan"`, `"kerlouan-sa"`, 1))
	eva := s.file("eva.toml", strings.Replace(string(text), "priority = 1", "priority = 9", 1))
	_, code = s.run("plans", "apply", "--operator", "ana", "--note", "autumn", ana)
	s.is.Equal(code, ExitOK)
	_, code = s.run("plans", "apply", "--operator", "rui", rui)
	s.is.Equal(code, ExitOK) // another plan: merged
	out, code = s.run("plans", "apply", "--operator", "eva", eva)
	s.is.Equal(code, ExitConflict)
	for _, want := range []string{`plan "donors" (priority)`, "by ana", "(autumn)"} {
		s.is.True(strings.Contains(out, want)) // details of the conflict
	}

	out, _ = s.run("plans", "get")
	s.is.True(strings.Contains(out, "priority = 2") && strings.Contains(out, "kerlouan-sa"))
	out, _ = s.run("plans", "history")
	s.is.Equal(strings.Count(out, "version "), 3)
}

// A usage list with a grant to a plan that does not exist is rejected together with its plans list,
// and the error gives the line. A rollback is a new edit with its own version and note.
func TestPairValidationAndRollback(t *testing.T) {
	s := newListCLI(t, standin.NewStore())
	plans := s.file("plans.toml", plansFile)
	bad := s.file("usage.toml", "# base: 0\n[[grant]]\nplan = \"nobody\"\n")
	out, code := s.run("plans", "apply", "--operator", "ana", "--with", bad, plans)
	s.is.Equal(code, ExitUsage)
	s.is.True(strings.Contains(out, `usage:3: grant "nobody": plan`))

	good := s.file("usage.toml", "# base: 0\n[[grant]]\nplan = \"donors\"\n")
	_, code = s.run("plans", "apply", "--operator", "ana", "--with", good, plans)
	s.is.Equal(code, ExitOK)
	out, _ = s.run("plans", "history")
	var version int
	_, err := fmt.Sscanf(out, "version %d", &version)
	s.is.NoErr(err)
	text, _ := os.ReadFile(plans)
	next := s.file("next.toml", strings.Replace(string(text), "priority = 1", "priority = 5", 1))
	out, _ = s.run("plans", "diff", next)
	s.is.True(strings.Contains(out, "priority: 1 -> 5"))
	_, code = s.run("plans", "apply", "--operator", "ana", next)
	s.is.Equal(code, ExitOK)
	_, code = s.run("plans", "apply", "--operator", "ana", "--rollback", fmt.Sprint(version))
	s.is.Equal(code, ExitOK)
	out, _ = s.run("plans", "get")
	s.is.True(strings.Contains(out, "priority = 1"))
	out, _ = s.run("plans", "history")
	s.is.True(strings.Contains(out, fmt.Sprintf("rollback to version %d", version)))
}

// The store's response to the accepted update is lost: apply reads the configuration back, finds its
// own edit and reports the version. Applying the same file again changes nothing.
func TestApplyResponseLost(t *testing.T) {
	store := standin.NewStore()
	s := newListCLI(t, store)
	path := s.file("plans.toml", plansFile)
	store.SetFaults(standin.StoreFaults{LoseAnswers: 4})
	_, code := s.run("plans", "apply", "--operator", "ana", path)
	s.is.Equal(code, ExitOK)
	again := s.file("again.toml", plansFile)
	out, code := s.run("plans", "apply", "--operator", "ana", again)
	s.is.Equal(code, ExitOK)
	s.is.True(strings.Contains(out, "already accepted"))
}

// --wait polls until the last instance has the version in force. If an instance stays outdated until
// the timeout, the command fails with an error that names it.
func TestApplyWaitsForAllInstances(t *testing.T) {
	s := newListCLI(t, standin.NewStore())
	requests, behind := 0, true
	status := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		version := 1
		if requests > 1 && !behind {
			version = 1 << 30
		}
		fmt.Fprintf(w, `{"instances":[{"instance":"i1","data_centre":"brest","incarnation":"x","config_version":%d}]}`, version)
	}))
	defer status.Close()
	apply := func(priority string) (string, int) {
		text, _ := s.run("plans", "get")
		path := s.file("plans.toml", text+"[[plan]]\nname = \"p"+priority+"\"\ncustomer = \"c"+priority+"\"\n")
		return s.run("plans", "apply", "--operator", "ana", "--wait", "--wait-timeout", "1s", "--instance", status.URL, path)
	}
	_, code := apply("0")
	s.is.Equal(code, ExitFailure)
	out, code := apply("1")
	s.is.Equal(code, ExitFailure)
	s.is.True(strings.Contains(out, "not yet in force on i1 in brest at version 1"))
	behind = false
	out, code = apply("2")
	s.is.Equal(code, ExitOK)
	s.is.True(strings.Contains(out, "in force on all 1 instances"))
}

// Guards against a timeout that hides which instance is outdated, since it ends a status request.
func TestTimeoutOfApplyNamesTheOutdatedInstance(t *testing.T) {
	s := newListCLI(t, standin.NewStore())
	requests := 0
	status := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests++; requests > 1 {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, `{"instances":[{"instance":"i1","data_centre":"brest","incarnation":"x","config_version":0}]}`)
	}))
	defer status.Close()
	out, code := s.run("plans", "apply", "--operator", "ana", "--wait", "--wait-timeout", "1s", "--instance", status.URL, s.file("plans.toml", plansFile))
	s.is.Equal(code, ExitFailure)
	s.is.True(strings.Contains(out, "not yet in force on i1 in brest at version 0"))
}
