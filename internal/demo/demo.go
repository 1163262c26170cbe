// Package demo runs a complete system in one process over loopback sockets: stand-ins for the
// external systems, a few instances, and programs of both scenarios. The engines differ in speed
// and the tools respond with a delay.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"foxhall/internal/config"
	"foxhall/internal/instance"
	"foxhall/internal/load"
	"foxhall/internal/plan"
	"foxhall/internal/settings"
	"foxhall/internal/standin"
	"foxhall/internal/store"
	"foxhall/internal/usage"
)

const (
	dataCentre    = "demo"
	instanceCount = 3
	// readyTimeout is the longest time that the instances may take to load the lists of plans and
	// usage.
	readyTimeout = 10 * time.Second
)

// Options sets how many programs the demo runs.
type Options struct {
	// Programs is the number of programs of each scenario.
	Programs int
	// Concurrency is the greatest number of programs of a scenario that run at once.
	Concurrency int
	// Seed selects the random numbers of the programs.
	Seed uint64
}

// environment holds the stand-ins, servers and instances that the demo has started.
type environment struct {
	store     *standin.Store
	tools     map[string]*standin.Tool
	engines   map[string]*standin.Engine
	servers   []*http.Server
	storeURL  string
	upstreams []byte
	instances []*instance.Instance
}

// Run runs the demo and writes a table and a summary. It returns an error if a part can't be
// started or a program doesn't finish.
func Run(ctx context.Context, w io.Writer, o Options) error {
	env := &environment{
		store:   standin.NewStore(),
		tools:   map[string]*standin.Tool{},
		engines: map[string]*standin.Engine{},
	}
	defer env.close()
	if err := env.startStandins(); err != nil {
		return err
	}
	if err := env.applyLists(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group errgroup.Group
	if err := env.startInstances(ctx, &group); err != nil {
		return err
	}
	reports, err := env.runPrograms(ctx, o)
	cancel()
	if stopErr := group.Wait(); err == nil {
		err = stopErr
	}
	if err != nil {
		return err
	}
	if err := load.WriteTable(w, reports); err != nil {
		return err
	}
	return env.writeSummary(w, reports)
}

// runPrograms runs the programs of all scenarios at the same time, once all instances are ready.
func (env *environment) runPrograms(ctx context.Context, o Options) ([]*load.Report, error) {
	if err := env.waitReady(ctx); err != nil {
		return nil, err
	}
	reports := make([]*load.Report, len(scenarios))
	var group errgroup.Group
	for i, s := range scenarios {
		client := load.NewClient(env.targets(), s.key)
		group.Go(func() error {
			reports[i] = load.Drive(ctx, client, s.shape, o.Programs, o.Concurrency, o.Seed+uint64(i)<<32)
			return nil
		})
	}
	return reports, group.Wait()
}

// targets returns the URLs at which the instances take callers' calls.
func (env *environment) targets() []string {
	urls := make([]string, len(env.instances))
	for i, instance := range env.instances {
		urls[i] = instance.CallersURL()
	}
	return urls
}

func (env *environment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, url := range env.targets() {
		for !isReady(ctx, url) {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-ctx.Done():
				return errors.Errorf("demo: %s is not ready", url)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// writeSummary writes the totals counted by the stand-ins. It returns an error if callers saw
// programs that did not finish.
func (env *environment) writeSummary(out io.Writer, reports []*load.Report) error {
	effects, repeated, unfinished := 0, 0, 0
	for _, r := range reports {
		unfinished += r.Programs - r.Finished
	}
	for _, t := range env.tools {
		for _, n := range t.Effects() {
			effects++
			if n > 1 {
				repeated++
			}
		}
	}
	prompt, cached := int64(0), int64(0)
	for _, e := range env.engines {
		prompt += e.Counts().PromptTokens
		cached += e.Counts().CachedTokens
	}
	counts := env.store.Counts()
	fmt.Fprintf(out, "engines: %d prompt tokens, %d of them cached (%.0f%%)\n", prompt, cached, 100*float64(cached)/float64(max(1, prompt)))
	fmt.Fprintf(out, "services: %d calls with an effect, %d of them more than once\n", effects, repeated)
	fmt.Fprintf(out, "object API: %d reads, %d writes, %d watches\n", counts.Reads, counts.Writes, counts.Watches)
	if unfinished > 0 {
		return errors.Errorf("demo: %d programs did not finish", unfinished)
	}
	return nil
}

// startInstances starts the instances; each has the peer addresses of the earlier ones as seeds.
func (env *environment) startInstances(ctx context.Context, group *errgroup.Group) error {
	var seeds []string
	for n := range instanceCount {
		s := settings.Default()
		s.Instance, s.DataCentre = fmt.Sprintf("demo-%d", n+1), dataCentre
		s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0"}
		s.Store.URL, s.Store.ReadsPerSecond, s.Store.WritesPerSecond = env.storeURL, 200, 100
		s.Peers.Secret, s.Peers.Seeds = "demo-demo-demo-demo", seeds
		i, err := instance.New(s)
		if err != nil {
			return err
		}
		seeds = append(seeds, i.PeersAddress())
		env.instances = append(env.instances, i)
		group.Go(func() error { return i.Run(ctx) })
	}
	return nil
}

// applyLists writes the plans and the usage list to the store as the first configuration.
func (env *environment) applyLists(ctx context.Context) error {
	plans, err := plan.Parse(plansTOML())
	if err != nil {
		return err
	}
	usageList, err := usage.Parse(append([]byte(usageTOML), env.upstreams...))
	if err != nil {
		return err
	}
	editor := config.NewEditor(store.NewHTTP(env.storeURL, 5*time.Second))
	_, err = editor.Apply(ctx, config.Proposal{Operator: "demo", Note: "first lists", Plans: plans, Usage: usageList})
	return err
}

// serve starts a server for the handler on a free loopback port and returns its address.
func (env *environment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	env.servers = append(env.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

func (env *environment) close() {
	for _, s := range env.servers {
		_ = s.Close()
	}
}
