package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The dose of the disruption: reset_conns, as the site file has it at most (share 0.437, x 0.671): one entry of three
// has half of its callers' connections reset, once a round.
const (
	resetPart      = 0.5
	resetRounds    = 6
	resetEvery     = 4 * time.Second
	resumedEvents  = 11
	resumedPause   = 80 * time.Millisecond
	resumedClients = 12
)

// resumedReplica is a model replica that resumes streams.
type resumedReplica struct {
	id  string
	rec *record

	mu sync.Mutex
	// bodies are the bodies of the calls that ran, by their ids.
	bodies map[string]string
}

// ServeHTTP implements http.Handler.
func (r *resumedReplica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("Request-Id")
	if request.URL.Path == "/report" {
		_, _ = io.WriteString(w, `{"stage":"dual","busy":false,"sequence":1,"queued":0,"active":0,"kv_used":0,"kv_total":221282,"handles":0}`)
		return
	}
	w.Header().Set("Request-Id", id)
	if request.Header.Get("Expect-Instance") != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last := 0
	_, _ = fmt.Sscanf(request.Header.Get("Last-Event-Id"), "%d", &last)
	r.mu.Lock()
	r.bodies[id] = string(body)
	r.mu.Unlock()
	r.rec.line("%s runs %s from event %d on, body: %s", r.id, id, last+1, strings.ReplaceAll(string(body), "\n", "|"))
	w.Header().Set("Response-Signature", r.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= resumedEvents; i++ {
		time.Sleep(resumedPause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, eventOf(string(body), i)); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// eventOf returns the data of an event: the same for the same input, so that a resumed stream goes on.
func eventOf(body string, i int) string {
	input := body[strings.LastIndex(body, "ask ")+len("ask "):]
	return fmt.Sprintf("word%d-of-%s", i, strings.TrimSuffix(input, ". "))
}

// resettingProxy passes connections on to an entry, and resets some of them on demand.
type resettingProxy struct {
	listener net.Listener

	mu    sync.Mutex
	conns map[*net.TCPConn]struct{}
}

func newResettingProxy(target string) (*resettingProxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &resettingProxy{listener: l, conns: map[*net.TCPConn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c.(*net.TCPConn), target)
		}
	}()
	return p, nil
}

func (p *resettingProxy) pass(caller *net.TCPConn, target string) {
	defer caller.Close()
	entry, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer entry.Close()
	p.mu.Lock()
	p.conns[caller] = struct{}{}
	p.mu.Unlock()
	go func() {
		_, _ = io.Copy(entry, caller)
		entry.Close()
	}()
	_, _ = io.Copy(caller, entry)
	p.mu.Lock()
	delete(p.conns, caller)
	p.mu.Unlock()
}

// reset resets a part of the connections.
func (p *resettingProxy) reset(part float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := int(part * float64(len(p.conns)))
	n := 0
	for c := range p.conns {
		if n == left {
			break
		}
		_ = c.SetLinger(0)
		c.Close()
		n++
	}
	return n
}

// streamed is what a client has of a turn.
type streamed struct {
	status int
	// data is that of the events so far, last the id of the last one.
	data  []string
	last  string
	whole bool
}

// read sends one attempt at a turn and adds what comes to what the client has.
func (s *streamed) read(front, id, program, previous, input string) {
	client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+front+"/chat/x", strings.NewReader(input))
	if err != nil {
		return
	}
	request.Host = "a.example"
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "6000", "Program-Id": program, "Session-Id": program,
		"Program-Deadline-Ms": "20000", "Token-Budget": "5000", "Token-Usage": "100,40", "Prompt-Prefix": "a1:100", "Model": "m",
		"Previous-Turn": previous, "Last-Event-Id": s.last} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	scanner := bufio.NewScanner(response.Body)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if event += line + "\n"; line != "" {
			continue
		}
		for part := range strings.SplitSeq(event, "\n") {
			if value, ok := strings.CutPrefix(part, "id: "); ok {
				s.last = value
			}
			if value, ok := strings.CutPrefix(part, "data: "); ok {
				s.data = append(s.data, value)
			}
		}
		event = ""
	}
	s.whole = scanner.Err() == nil && s.status == http.StatusOK
}

// resumedTurn is the case "a kept turn that its client resumed": see claim.txt.
func resumedTurn(s *system, rec *record, trouble bool) (int, error) {
	var replicas []*resumedReplica
	for i := range 3 {
		r := &resumedReplica{id: fmt.Sprintf("i-llm-%d", i+1), rec: rec, bodies: map[string]string{}}
		address, err := serve(r)
		if err != nil {
			return unable, err
		}
		replicas = append(replicas, r)
		s.store.Put("servers", r.id, map[string]any{"service": "llm", "address": address, "zone": zones[i], "version": "v1",
			"slots": engineSlots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	}
	s.store.Put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{"name": "chat", "hostname": "a.example", "path_prefix": "/chat/", "route_type": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 250, "gap_target_ms": 400, "attempts": 2, "priority": 1, "service": "llm", "retain": true, "retention_s": 60, "resumable": true, "session_affinity": true}},
		"services": []map[string]any{{"name": "llm", "max_connections": engineConns, "engine": map[string]any{"slots": engineSlots, "kv_capacity": 221282, "tokens_per_event": 2}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := s.startAll(3, 3); err != nil {
		return unable, err
	}
	proxy, err := newResettingProxy(s.front("edge-1"))
	if err != nil {
		return unable, err
	}
	fronts := []string{proxy.listener.Addr().String(), s.front("edge-2"), s.front("edge-3")}
	began := time.Now()
	end := began.Add((resetRounds + 1) * resetEvery)
	if trouble {
		go func() {
			for range resetRounds {
				time.Sleep(resetEvery)
				rec.line("%d connections between callers and edge-1 are reset", proxy.reset(resetPart))
			}
		}()
	}
	var mu sync.Mutex
	wrong, resumed, turns := 0, 0, 0
	var clients sync.WaitGroup
	for n := range resumedClients {
		clients.Go(func() {
			time.Sleep(time.Duration(rand.IntN(900)) * time.Millisecond)
			for k := 0; time.Now().Before(end); k++ {
				program, previous, prompt := fmt.Sprintf("program-%d-%d", n, k), "", ""
				for t := range 3 {
					input := fmt.Sprintf("ask %s-turn-%d. ", program, t)
					got, id := &streamed{}, ""
					for attempt := 0; attempt < 2 && !got.whole; attempt++ { // one retry, as the site's clients
						id = fmt.Sprintf("%s-turn-%d-try-%d", program, t, attempt)
						had := got.last
						got.read(fronts[(n+attempt)%len(fronts)], id, program, previous, input)
						rec.line("client %d, %s (after %q, Last-Event-Id %q): %d, complete %t, has %d events now", n, id, previous, had, got.status, got.whole, len(got.data))
						if had != "" && got.whole {
							mu.Lock()
							resumed++
							mu.Unlock()
						}
					}
					if !got.whole {
						break
					}
					mu.Lock()
					turns++
					for _, r := range replicas {
						r.mu.Lock()
						if body, ran := r.bodies[id]; ran && body != prompt+input {
							wrong++
							rec.line("BROKEN UNASKED: %s ran with the body %q, expected %q", id, body, prompt+input)
						}
						r.mu.Unlock()
					}
					mu.Unlock()
					previous, prompt = id, prompt+input+strings.Join(got.data, "\n")+"\n"
				}
			}
		})
	}
	clients.Wait()
	summary := fmt.Sprintf("turns %d, resumed by their clients %d; turns that ran with another body than the chain's %d", turns, resumed, wrong)
	rec.line("%s", summary)
	fmt.Println(summary)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
