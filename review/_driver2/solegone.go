package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The times of the case, from the beginning of traffic.
const (
	soleFirstDown  = 4 * time.Second
	soleSecondDown = 7 * time.Second
	soleRemoved    = 11 * time.Second
	soleAllBack    = 12 * time.Second
	// soleCounted is when the new machine has had its catch_up_s (4.4), so that the removed one counts no more, and
	// soleRecovered is recovery_s (12) later. soleTries is the beginning of the last 4 s before that.
	soleCounted   = soleAllBack + 4400*time.Millisecond
	soleRecovered = soleCounted + 12*time.Second
	soleTries     = soleRecovered - 4*time.Second
	soleEnd       = soleRecovered + 6*time.Second
	heirs         = 6
)

// shortReplica is a model replica that streams a few events.
func shortReplica(id string, rec *record) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/report" {
			_, _ = io.WriteString(w, `{"stage":"dual","busy":false,"sequence":1,"queued":0,"active":0,"kv_used":0,"kv_total":221282,"handles":0}`)
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		call := request.Header.Get("Request-Id")
		w.Header().Set("Request-Id", call)
		if request.Header.Get("Expect-Instance") != id {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		rec.line("%s runs %s, body: %s", id, call, strings.ReplaceAll(string(body), "\n", "|"))
		w.Header().Set("Response-Signature", id+"."+call)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range 5 {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i+1, call, i+1); err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// keptTurn is a turn that was answered whole.
type keptTurn struct {
	id    string
	ended time.Time
}

// soleGone is the case "the last keeper is removed as the others return": see claim.txt.
func soleGone(s *system, rec *record, trouble bool) (int, error) {
	for i := range 3 {
		id := fmt.Sprintf("i-llm-%d", i+1)
		address, err := serve(shortReplica(id, rec))
		if err != nil {
			return unable, err
		}
		s.store.Put("servers", id, map[string]any{"service": "llm", "address": address, "zone": zones[i], "version": "v1",
			"slots": engineSlots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	}
	s.store.Put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{"name": "chat", "hostname": "a.example", "path_prefix": "/chat/", "route_type": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 250, "gap_target_ms": 400, "attempts": 1, "priority": 1, "service": "llm", "retain": true, "retention_s": 60, "session_affinity": true}},
		"services": []map[string]any{{"name": "llm", "max_connections": engineConns, "engine": map[string]any{"slots": engineSlots, "kv_capacity": 221282, "tokens_per_event": 2}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := s.startAll(3, 3); err != nil {
		return unable, err
	}
	began := time.Now()
	at := func(t time.Duration, f func()) { time.AfterFunc(t, f) }
	if trouble {
		at(soleFirstDown, func() { s.kill("storage-3", rec) })
		at(soleSecondDown, func() { s.kill("storage-2", rec) })
		at(soleRemoved, func() {
			s.kill("storage-1", rec)
			rec.line("storage-1 is removed for good, with its disk")
			_ = os.RemoveAll(filepath.Join(s.folder, "storage-1"))
		})
		at(soleAllBack, func() {
			s.mu.Lock()
			s.instances["storage-4"] = &instance{name: "storage-4", ip: s.host(104), zone: zones[0], keeper: true}
			s.mu.Unlock()
			for _, name := range []string{"storage-2", "storage-3", "storage-4"} {
				s.restart(name, rec)
			}
		})
	}
	front := func() string { return s.front(fmt.Sprintf("edge-%d", 1+rand.IntN(3))) }
	var mu sync.Mutex
	var kept []keptTurn
	first, firstLate := map[int]int{}, map[int]int{}
	var clients sync.WaitGroup
	for n := range 20 {
		clients.Go(func() {
			client := &http.Client{Timeout: 10 * time.Second}
			for k := 0; time.Since(began) < soleEnd; k++ {
				id, sent := fmt.Sprintf("turn-%d-%d", n, k), time.Since(began)
				r := turn(client, front(), id, "program-"+id, "")
				rec.line("client gets %d for the first turn %s, complete %t", r.status, id, r.whole)
				mu.Lock()
				first[r.status]++
				if sent >= soleRecovered {
					firstLate[r.status]++
				}
				if r.status == http.StatusOK && r.whole && time.Since(began) < soleRemoved {
					kept = append(kept, keptTurn{id, time.Now()})
				}
				mu.Unlock()
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	time.Sleep(soleTries - time.Since(began))
	mu.Lock()
	toTry := append([]keptTurn(nil), kept...)
	mu.Unlock()
	rand.Shuffle(len(toTry), func(i, j int) { toTry[i], toTry[j] = toTry[j], toTry[i] })
	toTry = toTry[:min(20, len(toTry))]
	tries, reached, notFound := map[string]int{}, map[string]int{}, 0
	var continued sync.WaitGroup
	for n, t := range toTry {
		for h := range heirs {
			continued.Go(func() {
				client := &http.Client{Timeout: 10 * time.Second}
				for k := 0; time.Since(began) < soleRecovered; k++ {
					id := fmt.Sprintf("next-%d-%d-%d", n, h, k)
					r := turn(client, front(), id, "heir-"+id, t.id)
					rec.line("client gets %d for %s, which continues %s (ended %.1f s ago)", r.status, id, t.id, time.Since(t.ended).Seconds())
					mu.Lock()
					tries[t.id]++
					switch r.status {
					case http.StatusOK:
						reached[t.id]++
					case http.StatusNotFound:
						notFound++
						rec.line("BROKEN LOST: %s was answered 404", t.id)
					}
					mu.Unlock()
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	continued.Wait()
	clients.Wait()
	lost := 0
	for _, t := range toTry {
		if tries[t.id] >= 5 && reached[t.id] == 0 {
			lost++
			rec.line("BROKEN LOST: the turn after %s reached no replica in %d tries", t.id, tries[t.id])
		}
	}
	late := 0
	for _, n := range firstLate {
		late += n
	}
	stopped := 4*firstLate[http.StatusOK] < late
	if stopped {
		rec.line("BROKEN RECOVER: of %d first turns sent later than recovery_s after all were back, %d were served", late, firstLate[http.StatusOK])
	}
	summary := fmt.Sprintf("kept turns tried in the last 4 s before recovery_s: %d, of them answered 404 %d, no replica in five tries or more %d; first turns %v, later than recovery_s %v",
		len(toTry), notFound, lost, first, firstLate)
	rec.line("%s", summary)
	fmt.Println(summary)
	if notFound+lost > 0 || stopped {
		return broken, nil
	}
	return held, nil
}

// kill kills an instance.
func (s *system) kill(name string, rec *record) {
	rec.line("%s is killed (SIGKILL)", name)
	i := s.instance(name)
	_ = i.command.Process.Signal(syscall.SIGKILL)
	_ = i.command.Wait()
}

// restart starts an instance again, or a new one that joins.
func (s *system) restart(name string, rec *record) {
	rec.line("%s starts", name)
	if err := s.start(name, false); err != nil {
		rec.line("%s did not start: %v", name, err)
	}
}
