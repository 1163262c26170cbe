package e2e

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"foxhall/internal/chat"
	"foxhall/internal/load"
	"foxhall/internal/step"
)

// Guards against an apply command with --wait that returns before the edit is in force. It must return
// when all three instances have the version, and print their number.
func TestApplyWaitsUntilEditIsInForce(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	edited := c.writeFile("edited.toml", strings.Replace(c.plansText(), "steps = 300", "steps = 200", 1))
	out, code := c.applyEdit("plans", edited, "--base", c.acceptedVersion(), "--wait", "--instance", "http://"+c.callerAddresses[1], "--key", operatorKey)
	is.Equal(code, 0)
	is.True(strings.Contains(out, "in force on all 3 instances"))
}

// Guards against programs that fail because one data centre cannot reach the object API. The data
// centre "far" loses its connections to the object API while programs run on all instances. "dc" is
// not affected; "far" continues with model calls and refuses non-repeatable steps as not run. After
// the outage all programs finish, and no step takes effect twice.
func TestProgramsFinishAfterDataCentreLosesStore(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	far := newLink(t, c.storeAddress)
	engine, service := freeAddress(t), freeAddress(t)
	c.start("far-engine", "standin", "engine", "--listen", engine, "--decode", "2000", "--slots", "32")
	c.start("far-tool", "standin", "tool", "--listen", service, "--name", "auction")
	c.extraUpstreams = fmt.Sprintf(`[[upstream]]
name = "far-engine"
kind = "engine"
address = %q
data_centre = "far"
models = ["oak-large"]
slots = 32
cache_tokens = 20000
[[upstream]]
name = "far-auction"
kind = "service"
address = %q
data_centre = "far"
service = "auction"
slots = 128
`, engine, service)
	c.dataCentres = []string{"dc", "dc", "far", "far"}
	c.storeAddresses = []string{c.storeAddress, c.storeAddress, far.address, far.address}
	c.applyListsAndStart(4)
	reports := c.runPrograms(shape(), 60, 20)
	time.Sleep(400 * time.Millisecond)
	far.setDown(true)
	time.Sleep(3 * time.Second)
	far.setDown(false)
	report := <-reports
	is.Equal(report.Finished, report.Programs)
	effects := c.effects()
	for key, n := range c.effectsAt(service) {
		effects[key] += n
	}
	c.checkEffects(report, effects)
}

// Guards against a non-repeatable step that runs twice after a take-over. The owner of the program is
// killed after the step took effect and before the service responded. The caller sends the step again
// with the same number. The new owner finds in the log that the step was sent and looks up its outcome
// at the service: the caller gets the response, and the step took effect once.
func TestOwnerKilledBeforeResponseRunsStepOnce(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	client := c.client()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	first, err := client.Send(ctx, load.Request{Number: 1, Deadline: 10 * time.Second, Chat: &chat.Request{
		Model: "oak-large", MaxTokens: 16, Messages: []chat.Message{{Role: "user", Raw: []byte(`{"role":"user","content":"oak"}`)}},
	}})
	is.NoErr(err)
	is.Equal(first.Outcome, step.Done)
	c.setFaults(c.toolAddress, `{"Hang":1}`)
	bid := load.Request{Program: first.Program, Number: 2, Deadline: 10 * time.Second, Service: "auction", Path: "/bids", Body: []byte(`{}`)}
	go func() { _, _ = client.Send(ctx, bid) }()
	key := first.Program + "/2"
	for c.effects()[key] == 0 && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	c.instances[c.ownerOf(first.Program)].signal(t, os.Kill)
	var last load.Response
	for bid.Attempt = 1; ctx.Err() == nil && last.Outcome != step.Done; bid.Attempt++ {
		if last, err = client.Send(ctx, bid); err != nil {
			last = load.Response{}
		}
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(last.Outcome, step.Done)
	is.True(strings.Contains(last.Text, "POST /bids"))
	is.Equal(c.effects()[key], 1)
}

// Guards against an instance that cannot start while the object API is down. An instance without a
// disk is killed and started again during the outage. It must get the lists from its peers, become
// ready and serve model calls of a plan without a budget. Plans with a budget are not tested: no
// budget can be drawn before the object API is back.
func TestRestartedInstanceServesDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, 3)
	c.setFaults(c.storeAddress, `{"Down":true}`)
	c.instances[0].signal(t, os.Kill)
	c.instances[0].wait(t, 10*time.Second)
	c.startInstance(0)
	c.waitFor("http://" + c.callerAddresses[0] + "/readyz")
	client := load.NewClient([]string{"http://" + c.callerAddresses[0]}, unbudgetedKey)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	first := load.Request{Number: 1, Deadline: 10 * time.Second, Chat: &chat.Request{
		Model: "oak-large", MaxTokens: 16, Messages: []chat.Message{{Role: "user", Raw: []byte(`{"role":"user","content":"oak"}`)}},
	}}
	response, err := client.Send(ctx, first)
	for err == nil && response.Outcome == step.NotRun && response.RetryAfter > 0 && ctx.Err() == nil {
		// The instance is ready but has no contact yet with peers that can hold a copy of the program.
		time.Sleep(response.RetryAfter)
		response, err = client.Send(ctx, first)
	}
	is.NoErr(err)
	is.Equal(response.Code, step.Code(""))
	is.Equal(response.Outcome, step.Done)
}
