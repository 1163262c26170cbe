package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	engineSlots   = 64
	engineConns   = 370
	streamEvents  = 17
	eventPause    = 60 * time.Millisecond
	streamClients = 390
	streamSeconds = 50
	streamCrashes = 7
	streamEvery   = 6500 * time.Millisecond
	streamDown    = 5 * time.Second
)

// serveStreams serves a connection of a model replica.
func serveStreams(c net.Conn, replica string, u *unframed) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/report" {
			report := `{"stage":"dual","busy":false,"sequence":1,"queued":0,"active":0,"kv_used":0,"kv_total":221282,"handles":0}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			continue
		}
		if misdirected(c, request, replica) {
			continue
		}
		id := request.Header.Get("Request-Id")
		noLength := u.draw()
		fmt.Fprintf(os.Stderr, "%s runs %s, answer without a length: %t, body: %s\n", replica, id, noLength, strings.ReplaceAll(string(body), "\n", "|"))
		if err := stream(c, replica, id, noLength); err != nil || noLength {
			return
		}
	}
}

// stream writes the events of an answer, in chunks or without a length.
func stream(c net.Conn, replica, id string, noLength bool) error {
	framing, chunk := "Transfer-Encoding: chunked\r\n", func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	if noLength {
		framing, chunk = "Connection: close\r\n", func(s string) string { return s }
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nContent-Type: text/event-stream\r\n%s\r\n", id, replica, id, framing); err != nil {
		return err
	}
	for i := range streamEvents {
		time.Sleep(eventPause)
		if _, err := io.WriteString(c, chunk(fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i+1, id, i+1))); err != nil {
			return err
		}
	}
	if noLength {
		return nil
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// turn sends one turn of a program on the retained route.
func turn(client *http.Client, front, id, program, previous string) callResult {
	header := map[string]string{"Deadline-Ms": "6000", "Program-Id": program, "Session-Id": program, "Program-Deadline-Ms": "20000",
		"Token-Budget": "5000", "Token-Usage": "100,40", "Prompt-Prefix": "a1:100", "Model": "m"}
	if previous != "" {
		header["Previous-Turn"] = previous
	}
	return send(client, http.MethodPost, front, "/chat/x", id, "ask "+id+". ", header)
}

// cutStream is the case "a stream without a length whose replica is killed": see claim.txt.
func cutStream(s *system, rec *record, trouble bool) (int, error) {
	replicas := &replicaSet{system: s, rec: rec, kind: "engine", service: "llm", slots: engineSlots}
	defer replicas.stop()
	if err := replicas.startAll(); err != nil {
		return unable, err
	}
	s.store.Put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{"name": "chat", "hostname": "a.example", "path_prefix": "/chat/", "route_type": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 250, "gap_target_ms": 400, "attempts": 1, "priority": 1, "service": "llm", "retain": true, "retention_s": 60, "session_affinity": true}},
		"services": []map[string]any{{"name": "llm", "max_connections": engineConns, "engine": map[string]any{"slots": engineSlots, "kv_capacity": 221282, "tokens_per_event": 2}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := s.startAll(9, 3); err != nil {
		return unable, err
	}
	began := time.Now()
	if trouble {
		go replicas.crash(streamCrashes, streamEvery, streamDown)
	}
	var mu sync.Mutex
	cut, statuses, turns := []string{}, map[int]int{}, 0
	var clients sync.WaitGroup
	for n := range streamClients {
		front := s.front(fmt.Sprintf("edge-%d", 1+n%9))
		clients.Go(func() {
			client := &http.Client{Timeout: 10 * time.Second}
			time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
			previous := ""
			for k := 0; time.Since(began) < streamSeconds*time.Second; k++ {
				id := fmt.Sprintf("turn-%d-%d", n, k)
				r := turn(client, front, id, fmt.Sprintf("program-%d-%d", n, k/4), previous)
				events := strings.Count(r.body, "data: ")
				rec.line("client %d gets %d for %s (after %q): %d of %d events, complete %t", n, r.status, id, previous, events, streamEvents, r.whole)
				mu.Lock()
				turns++
				statuses[r.status]++
				if r.status == http.StatusOK && r.whole && events < streamEvents {
					cut = append(cut, id)
				}
				mu.Unlock()
				if previous = ""; r.status == http.StatusOK && r.whole && k%4 != 3 {
					previous = id
				}
				if r.status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	for _, id := range cut {
		rec.line("BROKEN ORDER: the stream of %s ended as complete before its last event", id)
	}
	summary := fmt.Sprintf("turns %d, answers %v; streams that ended as complete before their last event %d", turns, statuses, len(cut))
	rec.line("%s", summary)
	fmt.Println(summary)
	if len(cut) > 0 {
		return broken, nil
	}
	return held, nil
}
