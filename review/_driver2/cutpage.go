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
	pageSlots   = 6
	pageRows    = 200
	pagePieces  = 8
	piecePause  = 25 * time.Millisecond
	pageRate    = 180
	pageSeconds = 76
	pageCrashes = 14
	pageEvery   = 5200 * time.Millisecond
	pageDown    = 5 * time.Second
)

// pageOf returns the whole body of the answer to a call.
func pageOf(id string) string {
	var b strings.Builder
	for i := range pageRows {
		fmt.Fprintf(&b, "row %03d of the page for %s\n", i, id)
	}
	return b.String()
}

// servePages serves a connection of a replica of a plain service.
func servePages(c net.Conn, replica string, u *unframed) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if misdirected(c, request, replica) {
			continue
		}
		id := request.Header.Get("Request-Id")
		noLength, body := u.draw(), pageOf(id)
		framing := fmt.Sprintf("Content-Length: %d", len(body))
		if noLength {
			framing = "Connection: close"
		}
		fmt.Fprintf(os.Stderr, "%s runs %s, answer without a length: %t\n", replica, id, noLength)
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\n%s\r\n\r\n", id, replica, id, framing); err != nil {
			return
		}
		for piece := range pagePieces {
			time.Sleep(piecePause)
			if _, err := io.WriteString(c, body[piece*len(body)/pagePieces:(piece+1)*len(body)/pagePieces]); err != nil {
				return
			}
		}
		if noLength {
			return
		}
	}
}

// cutPage is the case "an answer without a length whose replica is killed": see claim.txt.
func cutPage(s *system, rec *record, trouble bool) (int, error) {
	replicas := &replicaSet{system: s, rec: rec, kind: "app", service: "app", slots: pageSlots}
	defer replicas.stop()
	if err := replicas.startAll(); err != nil {
		return unable, err
	}
	s.store.Put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{"name": "page", "hostname": "a.example", "path_prefix": "/page/", "route_type": "idempotent", "timeout_ms": 1500,
			"target_latency_ms": 250, "attempts": 2, "priority": 2, "service": "app"}},
		"services": []map[string]any{{"name": "app", "max_connections": 110}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := s.startAll(3, 3); err != nil {
		return unable, err
	}
	var mu sync.Mutex
	cut, statuses, sent := []string{}, map[int]int{}, 0
	var calls sync.WaitGroup
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	if trouble {
		go replicas.crash(pageCrashes, pageEvery, pageDown)
	}
	for began := time.Now(); time.Since(began) < pageSeconds*time.Second; sent++ {
		id := fmt.Sprintf("call-%05d", sent)
		front := s.front(fmt.Sprintf("edge-%d", 1+rand.IntN(3)))
		calls.Go(func() {
			rec.line("client sends %s", id)
			r := send(client, http.MethodGet, front, "/page/x", id, "", map[string]string{"Deadline-Ms": "1500"})
			rec.line("client gets %d for %s, complete %t, %d of %d bytes", r.status, id, r.whole, len(r.body), len(pageOf(id)))
			mu.Lock()
			defer mu.Unlock()
			statuses[r.status]++
			if r.status == http.StatusOK && r.whole && r.body != pageOf(id) {
				cut = append(cut, id)
			}
		})
		time.Sleep(pause(time.Second / pageRate))
	}
	calls.Wait()
	for _, id := range cut {
		rec.line("BROKEN MIXED: %s got 200 and a complete answer that is a part of its replica's body", id)
	}
	summary := fmt.Sprintf("calls %d, answers %v; successes with a part of the body %d", sent, statuses, len(cut))
	rec.line("%s", summary)
	fmt.Println(summary)
	if len(cut) > 0 {
		return broken, nil
	}
	return held, nil
}
