package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"foxhall/internal/load"
	"foxhall/internal/plan"
)

const (
	customerKey = "e2e-customer-key"
	// unbudgetedKey belongs to a plan without a budget, whose calls need no part of a budget.
	unbudgetedKey = "e2e-free-key"
	operatorKey   = "e2e-operator-key"
	peerSecret    = "e2e-secret-e2e-secret"
)

// binary is the path of the foxhall binary, built once for all tests of the package.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "foxhall-e2e-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "foxhall")
	if out, err := exec.Command("go", "build", "-o", binary, "foxhall").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out))
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// process is one running foxhall process.
type process struct {
	name    string
	cmd     *exec.Cmd
	logFile string
	done    chan struct{}
}

func (p *process) signal(t *testing.T, s os.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("signal %s to %s: %v", s, p.name, err)
	}
}

// wait waits for the process to exit and returns its exit code. It fails the test after the timeout.
func (p *process) wait(t *testing.T, timeout time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(timeout):
		t.Fatalf("%s did not exit within %s", p.name, timeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// cluster is a set of processes: the stand-ins and the instances.
type cluster struct {
	t               *testing.T
	folder          string
	storeAddress    string
	engineAddresses []string
	toolAddress     string
	// dataCentres and storeAddresses hold, by instance number, the data centre of an instance and the
	// address at which it reaches the object API. Instances beyond their length are in "dc" and use
	// storeAddress.
	dataCentres    []string
	storeAddresses []string
	// extraUpstreams is TOML text with upstreams in data centre "far" that is added to the usage list.
	// If it is set, the grant of plan "bids" includes that data centre.
	extraUpstreams  string
	instances       []*process
	callerAddresses []string
	peerAddresses   []string
}

func startCluster(t *testing.T, instances int) *cluster {
	t.Helper()
	c := newCluster(t)
	c.applyListsAndStart(instances)
	return c
}

// newCluster starts the stand-ins.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir()}
	c.storeAddress, c.toolAddress = freeAddress(t), freeAddress(t)
	c.start("store", "standin", "store", "--listen", c.storeAddress)
	c.start("tool", "standin", "tool", "--listen", c.toolAddress, "--name", "auction")
	for n := range 2 {
		address := freeAddress(t)
		c.engineAddresses = append(c.engineAddresses, address)
		c.start(fmt.Sprintf("engine-%d", n), "standin", "engine", "--listen", address, "--decode", "2000", "--slots", "32")
	}
	c.waitFor("http://" + c.storeAddress + "/standin/counts")
	return c
}

// applyListsAndStart applies the plans and usage lists, starts the instances and waits until they
// are ready.
func (c *cluster) applyListsAndStart(instances int) {
	c.t.Helper()
	out, code := c.applyEdit("plans", c.writeFile("plans.toml", c.plansText()), "--base", "0", "--with", c.writeFile("usage.toml", c.usageText()))
	if code != 0 {
		c.t.Fatalf("the plans and usage lists were not accepted: %s", out)
	}
	for range instances {
		c.callerAddresses = append(c.callerAddresses, freeAddress(c.t))
		c.peerAddresses = append(c.peerAddresses, freeAddress(c.t))
	}
	for n := range instances {
		c.startInstance(n)
	}
	for n := range instances {
		c.waitFor("http://" + c.callerAddresses[n] + "/readyz")
	}
}

func (c *cluster) startInstance(n int) {
	dataCentre, store := "dc", c.storeAddress
	if n < len(c.dataCentres) {
		dataCentre, store = c.dataCentres[n], c.storeAddresses[n]
	}
	text := fmt.Sprintf(`instance = "i%d"
data_centre = %q
[listen]
callers = %q
peers = %q
[store]
url = "http://%s"
timeout = "500ms"
reads_per_second = 400.0
writes_per_second = 200.0
[peers]
seeds = ["%s"]
secret = %q
heartbeat = "200ms"
probe_timeout = "150ms"
suspect_timeout = "1s"
lone_timeout = "2s"
[programs]
take_over_grace = "500ms"
[operators]
key_hash = %q
[shutdown]
grace = "20s"
`, n, dataCentre, c.callerAddresses[n], c.peerAddresses[n], store, strings.Join(c.peerAddresses, `", "`), peerSecret, plan.HashKey(operatorKey))
	p := c.start(fmt.Sprintf("instance-%d", n), "serve", "--settings", c.writeFile(fmt.Sprintf("i%d.toml", n), text))
	for len(c.instances) <= n {
		c.instances = append(c.instances, nil)
	}
	c.instances[n] = p
}

func (c *cluster) plansText() string {
	return fmt.Sprintf(`[[plan]]
name = "bids"
customer = "kerlouan"
key_hashes = [%q]
[plan.budget]
money_micros = 900000000
tokens = 900000000
window = "1h"
[plan.limits]
rate = 5000.0
burst = 5000
concurrency = 1000
[plan.bounds]
steps = 300
depth = 4
children = 50
lifetime = "24h"
step_time = "60s"
history_tokens = 120000
[[plan]]
name = "free"
customer = "semente"
key_hashes = [%q]
`, plan.HashKey(customerKey), plan.HashKey(unbudgetedKey))
}

func (c *cluster) usageText() string {
	extraCentre := ""
	if c.extraUpstreams != "" {
		extraCentre = `, "far"`
	}
	text := fmt.Sprintf(`[[model]]
name = "oak-large"
prompt_price_micros = 400000
output_price_micros = 1600000
context_tokens = 131072
[[service]]
name = "auction"
repeatable = ["POST /lots/quote"]
lookup = "/outcome"
call_price_micros = 100
[[grant]]
plan = "bids"
models = ["oak-large"]
services = ["auction"]
data_centres = ["dc"%s]
latency_weight = 1.0
cache_weight = 0.3
[[grant]]
plan = "free"
models = ["oak-large"]
data_centres = ["dc"]
latency_weight = 1.0
`, extraCentre)
	for n, address := range c.engineAddresses {
		text += fmt.Sprintf("[[upstream]]\nname = \"engine-%d\"\nkind = \"engine\"\naddress = %q\ndata_centre = \"dc\"\nmodels = [\"oak-large\"]\nslots = 32\ncache_tokens = 20000\n", n, address)
	}
	return text + c.extraUpstreams + fmt.Sprintf("[[upstream]]\nname = \"auction-1\"\nkind = \"service\"\naddress = %q\ndata_centre = \"dc\"\nservice = \"auction\"\nslots = 128\n", c.toolAddress)
}

// start runs the binary with the arguments until the end of the test.
func (c *cluster) start(name string, args ...string) *process {
	c.t.Helper()
	p := &process{name: name, logFile: filepath.Join(c.folder, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		out.Close()
		close(p.done)
	}()
	c.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
		if c.t.Failed() {
			c.logTail(p)
		}
	})
	return p
}

// shownLogBytes is the size of the end of a process's log that a failed test prints.
const shownLogBytes = 4000

func (c *cluster) logTail(p *process) {
	text, _ := os.ReadFile(p.logFile)
	c.t.Logf("--- %s\n%s", p.name, text[max(0, len(text)-shownLogBytes):])
}

func (c *cluster) writeFile(name, text string) string {
	c.t.Helper()
	file := filepath.Join(c.folder, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return file
}

// applyEdit edits a list with the command line tool and returns its output and exit code.
func (c *cluster) applyEdit(list, file string, args ...string) (string, int) {
	c.t.Helper()
	all := append([]string{list, "apply", "--store", "http://" + c.storeAddress, "--operator", "e2e"}, append(args, file)...)
	out, err := exec.Command(binary, all...).CombinedOutput()
	if exit, ok := err.(*exec.ExitError); ok {
		return string(out), exit.ExitCode()
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return string(out), 0
}

// acceptedVersion returns the latest accepted version of the lists, as printed by "plans get".
func (c *cluster) acceptedVersion() string {
	c.t.Helper()
	out, err := exec.Command(binary, "plans", "get", "--store", "http://"+c.storeAddress).Output()
	if err != nil {
		c.t.Fatal(err)
	}
	line, _, _ := strings.Cut(string(out), "\n")
	return strings.TrimSpace(line[strings.LastIndex(line, " ")+1:])
}

func (c *cluster) client() *load.Client {
	targets := make([]string, len(c.callerAddresses))
	for n, address := range c.callerAddresses {
		targets[n] = "http://" + address
	}
	return load.NewClient(targets, customerKey)
}

// readyTimeout is how long a process may take after its start to respond.
const readyTimeout = 20 * time.Second

func (c *cluster) waitFor(url string) {
	c.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		resp, err := http.Get(url)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("%s did not respond with status 200 in time", url)
}

// setFaults sets the faults of a stand-in to a JSON document.
func (c *cluster) setFaults(address, document string) {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+address+"/standin/faults", strings.NewReader(document))
	if err != nil {
		c.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	resp.Body.Close()
}

// effects returns how often each key took effect at the tool service, without repeatable steps.
func (c *cluster) effects() map[string]int {
	c.t.Helper()
	return c.effectsAt(c.toolAddress)
}

func (c *cluster) effectsAt(tool string) map[string]int {
	c.t.Helper()
	effects, paths := map[string]int{}, map[string]string{}
	c.readJSON(tool, "/standin/effects", &effects)
	c.readJSON(tool, "/standin/paths", &paths)
	// Repeatable steps may take effect more than once.
	maps.DeleteFunc(effects, func(key string, _ int) bool { return paths[key] == shape().Quote })
	return effects
}

func (c *cluster) readJSON(address, path string, into any) {
	c.t.Helper()
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		c.t.Fatal(err)
	}
}

// runPrograms runs programs in the background and sends the report when all have ended.
func (c *cluster) runPrograms(shape load.Shape, programs, concurrency int) <-chan *load.Report {
	out := make(chan *load.Report, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	c.t.Cleanup(cancel)
	go func() { out <- load.Drive(ctx, c.client(), shape, programs, concurrency, 1) }()
	return out
}

// checkReport compares the responses of callers with the effects that the service counted: each step
// reported as done took effect exactly once, and no step took effect twice.
func (c *cluster) checkReport(r *load.Report) {
	c.t.Helper()
	for code, n := range r.Reasons {
		c.t.Logf("%d programs ended before they finished: %s", n, code)
	}
	c.checkEffects(r, c.effects())
}

func (c *cluster) checkEffects(r *load.Report, effects map[string]int) {
	c.t.Helper()
	for key, n := range effects {
		if n > 1 {
			c.t.Errorf("step %s took effect %d times, want at most 1", key, n)
		}
	}
	for _, key := range r.EffectKeys {
		if effects[key] != 1 {
			c.t.Errorf("step %s was reported as done but took effect %d times, want 1", key, effects[key])
		}
	}
}

// ownerOf returns the number of the instance that created the program. The program's id begins with
// its cohort, "data centre.instance.start".
func (c *cluster) ownerOf(program string) int {
	c.t.Helper()
	var n int
	name := strings.Split(program, ".")[1]
	if _, err := fmt.Sscanf(name, "i%d", &n); err != nil {
		c.t.Fatalf("owner of %s: %v", program, err)
	}
	return n
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
