package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"

	"foxhall/internal/control"
)

// runStatus runs the status command against a server with the given status and returns its output.
func runStatus(t *testing.T, status control.Status, args ...string) string {
	t.Helper()
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, control.PathStatus)
		_ = json.NewEncoder(w).Encode(status)
	}))
	defer server.Close()
	var out bytes.Buffer
	app := &cli.Command{Name: "foxhall", Writer: &out, Commands: []*cli.Command{statusCommand()}}
	is.NoErr(app.Run(context.Background(), append([]string{"foxhall", "status", "--instance", server.URL}, args...)))
	return out.String()
}

// An edit has not reached one instance: only the row of that instance is marked as behind.
func TestStatusMarksOutdatedInstances(t *testing.T) {
	is := is.New(t)
	status := control.Status{
		ConfigVersion: 12,
		DataCentres:   []control.StatusDataCentre{{DataCentre: "bzh1", Reachable: true, Live: 2, Outdated: 1}},
		Instances: []control.StatusInstance{
			{Instance: "a", DataCentre: "bzh1", State: "live", ConfigVersion: 12, Store: "healthy", Reachable: true},
			{Instance: "b", DataCentre: "bzh1", State: "live", ConfigVersion: 11, Store: "unhealthy"},
		},
		Ended: []control.StatusInstance{{Instance: "c", DataCentre: "bzh1", State: "dead", LeftGracefully: true, ConfigVersion: 4}},
	}
	text := runStatus(t, status)
	is.Equal(strings.Count(text, "behind"), 1)
	is.True(strings.Contains(text, "11 behind"))
	is.True(strings.Contains(text, "left"))
	var back control.Status
	is.NoErr(json.Unmarshal([]byte(runStatus(t, status, "--format", "json")), &back))
	is.Equal(back, status)
}
