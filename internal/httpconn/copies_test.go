package httpconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// headerSending numbers the sendings of all calls. A response has the number of the sending that it is for, which the
// client must not need.
const headerSending = "Sending"

// copyScript is what a server does with one sending.
type copyScript struct {
	// outcome is the status of the response; 0 for a connection that is closed without one.
	outcome int
	// copies are the positions, among the earlier responses of the connection, of those that are sent again before it.
	copies []int
	body   string
}

// copyingServer answers each sending as scripted. On all of its connections copies of earlier responses may come first.
type copyingServer struct {
	mu      sync.Mutex
	scripts map[string]copyScript
}

func (s *copyingServer) script(sending string) copyScript {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scripts[sending]
}

func (s *copyingServer) serve(c net.Conn, r *bufio.Reader) {
	var earlier []string
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		sending := request.Header.Get(headerSending)
		script := s.script(sending)
		if script.outcome == 0 {
			return
		}
		message := ""
		for _, i := range script.copies {
			if len(earlier) > 0 {
				message += earlier[i%len(earlier)]
			}
		}
		response := fmt.Sprintf("HTTP/1.1 %d Scripted\r\n%s: %s\r\nContent-Length: %d\r\n", script.outcome, headerSending, sending, len(script.body))
		if id := request.Header.Get("Request-Id"); id != "" {
			response += "Request-Id: " + id + "\r\n"
		}
		response += "\r\n" + script.body
		if _, err := io.WriteString(c, message+response); err != nil {
			return
		}
		earlier = append(earlier, response)
	}
}

// numberedCall returns a sending of the call with the ID.
func numberedCall(id, sending string) *Call {
	return &Call{
		ID: id, Method: http.MethodPost, Target: "/", Host: "a.example", Header: http.Header{"Request-Id": {id}, headerSending: {sending}},
		Matches:   func(h http.Header) bool { return h.Get("Request-Id") == id },
		Anonymous: func(h http.Header) bool { return h.Get("Request-Id") == "" },
	}
}

// Guards against a call that runs twice: a copy of its rejection is taken for the response to its second sending.
func TestCopyOfARejectionIsNotTheResponseToTheNextSending(t *testing.T) {
	is := is.New(t)
	server := &copyingServer{scripts: map[string]copyScript{
		"1": {outcome: http.StatusServiceUnavailable},
		"2": {outcome: http.StatusOK, copies: []int{0}},
	}}
	pool := NewPool(newScriptedServer(t, server.serve))
	for _, sending := range []string{"1", "2"} {
		response, err := pool.Do(context.Background(), numberedCall("call", sending), 1)
		is.NoErr(err)
		is.Equal(response.Header.Get(headerSending), sending)
		response.Close()
	}
}

// Guards against connections that never end, and remember ever more calls.
func TestConnectionServesABoundedNumberOfCalls(t *testing.T) {
	is := is.New(t)
	server := &copyingServer{scripts: map[string]copyScript{"": {outcome: http.StatusOK}}}
	pool := NewPool(newScriptedServer(t, server.serve))
	for i := range maxCarriedCalls + 1 {
		response, err := pool.Do(context.Background(), numberedCall("call-"+strconv.Itoa(i), ""), 1)
		is.NoErr(err)
		response.Close()
	}
	is.Equal(pool.OpenedCount(), int64(2))
}

// copyMachine sends calls with few IDs again and again, some while others are open, through one pool.
type copyMachine struct {
	server *copyingServer
	pool   *Pool
	limit  int
	sent   int
	open   []openSending
	// runs counts the sendings of a call that ran. A call is sent again until one has, or may have.
	runs  map[string]int
	ended map[string]bool
}

// openSending is a sending whose response was received up to its body.
type openSending struct {
	response *Response
	body     string
}

var copyOutcomes = []int{http.StatusOK, http.StatusOK, http.StatusServiceUnavailable, http.StatusServiceUnavailable, http.StatusMisdirectedRequest, 0}

func (m *copyMachine) send(t *rapid.T) {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id")
	if m.ended[id] { // the ID of a caller comes a second time
		m.ended[id], m.runs[id] = false, 0
	}
	m.sent++
	sending := strconv.Itoa(m.sent)
	script := copyScript{
		outcome: rapid.SampledFrom(copyOutcomes).Draw(t, "outcome"),
		copies:  rapid.SliceOfN(rapid.IntRange(0, 9), 0, maxResponsesPerCall-1).Draw(t, "copies"),
		body:    rapid.SampledFrom([]string{"", "body of " + sending}).Draw(t, "body"),
	}
	call := numberedCall(id, sending)
	m.server.mu.Lock()
	m.server.scripts[sending] = script
	m.server.scripts["proof"] = copyScript{outcome: http.StatusOK, copies: script.copies, body: "same"}
	m.server.mu.Unlock()
	if rapid.Bool().Draw(t, "proven") {
		call.Proof = &Proof{
			Call: &Call{Method: http.MethodGet, Target: "/name", Host: "a.example", Header: http.Header{headerSending: {"proof"}},
				Matches: func(h http.Header) bool { return h.Get("Request-Id") == "" }},
			Judge: func(_ int, h http.Header, _ []byte) Judgement {
				if h.Get(headerSending) != "proof" {
					t.Fatalf("the response to sending %q was taken for that to a proof", h.Get(headerSending))
				}
				return Same
			},
		}
	}
	inUse := m.pool.inUse()
	response, err := m.pool.Do(context.Background(), call, m.limit)
	switch {
	case errors.Is(err, ErrConnectionLimit):
		if inUse < m.limit {
			t.Fatalf("no connection for sending %s, though %d of %d are in use", sending, inUse, m.limit)
		}
		return
	case script.outcome == http.StatusOK:
		m.runs[id]++
	}
	switch {
	case err != nil && script.outcome != 0:
		t.Fatalf("sending %s, answered %d, failed: %v", sending, script.outcome, err)
	case err != nil:
		m.ended[id] = m.ended[id] || !errors.Is(err, ErrNotSent)
		return
	case response.Header.Get(headerSending) != sending || response.Status != script.outcome:
		t.Fatalf("sending %s of %q, answered %d, got %d of sending %s", sending, id, script.outcome, response.Status, response.Header.Get(headerSending))
	}
	m.ended[id] = m.ended[id] || response.Status == http.StatusOK
	m.open = append(m.open, openSending{response, script.body})
}

// finish reads the body of an open response, which frees its connection, or gives it up.
func (m *copyMachine) finish(t *rapid.T) {
	if len(m.open) == 0 {
		t.Skip("none is open")
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "open")
	o := m.open[i]
	m.open = slices.Delete(m.open, i, i+1)
	if rapid.IntRange(0, 4).Draw(t, "gives up") > 0 {
		body, err := io.ReadAll(o.response.Body)
		if err != nil || string(body) != o.body {
			t.Fatalf("expected the body %q, found %q, error %v", o.body, body, err)
		}
	}
	o.response.Close()
}

func (m *copyMachine) check(t *rapid.T) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	if m.pool.openCount > m.limit {
		t.Fatalf("%d connections are open where %d are allowed", m.pool.openCount, m.limit)
	}
	for id, n := range m.runs {
		if n > 1 {
			t.Fatalf("call %s ran %d times, though each was sent again only after a rejection", id, n)
		}
	}
}

// Guards against a response that is taken for that to another sending, over orders of rejections, runs, lost connections,
// proofs and copies of all of them: a call would run twice, or be answered by another's response.
func TestEachSendingGetsItsOwnResponse(t *testing.T) {
	server := &copyingServer{}
	address := newScriptedServer(t, server.serve)
	rapid.Check(t, func(rt *rapid.T) {
		server.mu.Lock()
		server.scripts = map[string]copyScript{}
		server.mu.Unlock()
		m := &copyMachine{
			server: server, pool: NewPool(address), limit: rapid.IntRange(1, 3).Draw(rt, "limit"),
			runs: map[string]int{}, ended: map[string]bool{},
		}
		defer m.pool.Close()
		defer func() {
			for _, o := range m.open {
				o.response.Close()
			}
		}()
		rt.Repeat(map[string]func(*rapid.T){"send": m.send, "finish": m.finish, "": m.check})
	})
}
