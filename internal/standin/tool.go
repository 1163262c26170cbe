package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"foxhall/internal/tool"
)

// ToolFaults are the faults that can be injected into a stand-in service.
type ToolFaults struct {
	// Delay is added to each call before it takes effect.
	Delay time.Duration
	// Hang is the number of next calls that take effect and are never responded to.
	Hang int
	// HangBefore is the number of next calls that have no effect and are never responded to.
	HangBefore int
	// Drop is the number of next calls that take effect and then break the connection.
	Drop int
	// Refuse is the number of next calls that are rejected with the response that they were not run.
	Refuse int
	// Leaving rejects all calls with the response that the service is draining.
	Leaving bool
}

// Tool is a stand-in for a tool service or a plain service. Each call with a method other than GET
// has an effect, which is counted per idempotency key.
type Tool struct {
	name string

	mu      sync.Mutex
	faults  ToolFaults
	effects map[string]int
	// paths holds the path of the last call with an effect by key.
	paths    map[string]string
	outcomes map[string]tool.LookupResponse
	calls    int
}

// NewTool returns a service without faults.
func NewTool(name string) *Tool {
	return &Tool{name: name, effects: map[string]int{}, paths: map[string]string{}, outcomes: map[string]tool.LookupResponse{}}
}

// SetFaults replaces the current faults.
func (t *Tool) SetFaults(f ToolFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Effects returns the number of effects by key.
func (t *Tool) Effects() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	copied := make(map[string]int, len(t.effects))
	for key, n := range t.effects {
		copied[key] = n
	}
	return copied
}

// Paths returns the path of the last call with an effect by key.
func (t *Tool) Paths() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.paths)
}

// Handler returns the service's HTTP API, with fault injection at PathFaults, the lookup of outcomes
// at /outcome, the effects at /standin/effects and the paths at /standin/paths.
func (t *Tool) Handler() http.Handler {
	e := echo.New()
	e.PUT(PathFaults, t.handleFaults)
	e.GET("/standin/effects", func(c echo.Context) error { return c.JSON(http.StatusOK, t.Effects()) })
	e.GET("/standin/paths", func(c echo.Context) error { return c.JSON(http.StatusOK, t.Paths()) })
	e.GET("/outcome", t.handleOutcome)
	e.Any("/*", t.handleCall)
	return e
}

func (t *Tool) handleFaults(c echo.Context) error {
	var faults ToolFaults
	if err := json.NewDecoder(c.Request().Body).Decode(&faults); err != nil {
		return c.String(http.StatusBadRequest, err.Error())
	}
	t.SetFaults(faults)
	return c.NoContent(http.StatusOK)
}

func (t *Tool) handleOutcome(c echo.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.outcomes[c.QueryParam("key")]
	if !ok {
		found = tool.LookupResponse{State: tool.StateNotRun}
	}
	return c.JSON(http.StatusOK, found)
}

func (t *Tool) handleCall(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return nil
	}
	fault := t.takeFaults()
	if fault.Leaving || fault.Refuse > 0 {
		return writeRefusal(c, fault.Leaving)
	}
	ctx := c.Request().Context()
	if fault.HangBefore > 0 {
		<-ctx.Done()
		return nil
	}
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	finding := t.run(c.Request(), body)
	if fault.Hang > 0 {
		<-ctx.Done()
		return nil
	}
	if fault.Drop > 0 {
		panic(http.ErrAbortHandler)
	}
	return c.Blob(finding.Status, finding.ContentType, finding.Body)
}

// takeFaults returns the faults for the next call and decrements those that apply to n calls.
func (t *Tool) takeFaults() ToolFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	inForce := t.faults
	for _, n := range []*int{&t.faults.Hang, &t.faults.HangBefore, &t.faults.Drop, &t.faults.Refuse} {
		if *n > 0 {
			*n--
		}
	}
	return inForce
}

func (t *Tool) run(r *http.Request, body []byte) tool.LookupResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	key := r.Header.Get(tool.HeaderKey)
	if r.Method != http.MethodGet {
		t.effects[key]++
		t.paths[key] = r.URL.Path
	}
	text := fmt.Sprintf(`{"service":%q,"call":%q,"number":%d,"bytes":%d}`, t.name, r.Method+" "+r.URL.Path, t.calls, len(body))
	finding := tool.LookupResponse{State: tool.StateDone, Status: http.StatusOK, ContentType: echo.MIMEApplicationJSON, Body: []byte(text)}
	t.outcomes[key] = finding
	return finding
}

func writeRefusal(c echo.Context, leaving bool) error {
	c.Response().Header().Set(tool.HeaderNotRun, "true")
	c.Response().Header().Set("Retry-After", "1")
	if leaving {
		c.Response().Header().Set(tool.HeaderDraining, "true")
	}
	return c.NoContent(http.StatusServiceUnavailable)
}
