package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The dose of the disruption: garble, how "extra late", as the site file has it at most (share 0.6, x 0.03, for_s 5).
const (
	garbleShare  = 0.03
	garbleFor    = 5 * time.Second
	garblePause  = 5 * time.Second
	garbleRounds = 6
)

// plainReplica is a replica of a plain service. It runs slots calls at once, queues a few more and rejects the rest with
// 503 and Not-Executed. While garbling, it sends a few of its answers a second time, where the next answer on the
// connection is expected.
type plainReplica struct {
	id           string
	slots, queue int
	work         time.Duration
	rec          *record
	listener     net.Listener

	mu       sync.Mutex
	active   int
	waiting  int
	freed    *sync.Cond
	garbling bool
	// answers and extras are the numbers of answers in this round, and of those that are sent twice.
	answers, extras int
	runs            map[string]int
	refusals        int
}

func newPlainReplica(id string, slots, queue int, work time.Duration, rec *record) (*plainReplica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &plainReplica{id: id, slots: slots, queue: queue, work: work, rec: rec, listener: l, runs: map[string]int{}}
	r.freed = sync.NewCond(&r.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *plainReplica) garble(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.garbling, r.answers, r.extras = on, 0, 0
}

// sendsTwice tells whether an answer is one of the few that are sent twice: rejections only, and no more than the
// dose of all answers of the round.
func (r *plainReplica) sendsTwice(answer string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	if !r.garbling || !strings.HasPrefix(answer, "HTTP/1.1 503") || float64(r.extras+1) > garbleShare*float64(r.answers) {
		return false
	}
	r.extras++
	return true
}

func (r *plainReplica) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	extra, extraOf := "", ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		if extra != "" {
			r.rec.line("%s sends its answer to %s a second time, as %s has arrived on that connection", r.id, extraOf, id)
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
			extra = ""
		}
		answer := r.answer(request, id)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if r.sendsTwice(answer) {
			extra, extraOf = answer, id
		}
	}
}

// answer runs or rejects a call, and returns the bytes of the answer.
func (r *plainReplica) answer(request *http.Request, id string) string {
	if request.URL.Path == "/health" {
		return "HTTP/1.1 200 OK\r\nInstance-Id: " + r.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	head := "Request-Id: " + id + "\r\n"
	if request.Header.Get("Expect-Instance") != r.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	if !r.begin(id) {
		r.rec.line("%s rejects %s: 503, Not-Executed", r.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + head + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	time.Sleep(pause(r.work))
	r.end()
	body := "done " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sResponse-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", head, r.id, id, len(body), body)
}

func (r *plainReplica) begin(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.active >= r.slots {
		if r.waiting >= r.queue {
			r.refusals++
			return false
		}
		r.waiting++
		for r.active >= r.slots {
			r.freed.Wait()
		}
		r.waiting--
	}
	r.active++
	r.runs[id]++
	r.rec.line("%s runs %s", r.id, id)
	return true
}

func (r *plainReplica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
	r.freed.Signal()
}

// twinRefusal is the case "a rejection that arrives twice": see claim.txt.
func twinRefusal(s *system, rec *record, trouble bool) (int, error) {
	var replicas []*plainReplica
	for i := range 2 {
		r, err := newPlainReplica(fmt.Sprintf("i-app-%d", i+1), 6, 3, 139*time.Millisecond, rec)
		if err != nil {
			return unable, err
		}
		replicas = append(replicas, r)
		s.store.Put("servers", r.id, map[string]any{"service": "app", "address": r.listener.Addr().String(), "zone": zones[i], "version": "v1",
			"slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	}
	s.store.Put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{{"name": "bid", "hostname": "a.example", "path_prefix": "/bid/", "route_type": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "attempts": 1, "priority": 2, "service": "app"}},
		"services": []map[string]any{{"name": "app", "max_connections": 100}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := s.startAll(9, 3); err != nil {
		return unable, err
	}
	var mu sync.Mutex
	results := map[string]callResult{}
	var calls sync.WaitGroup
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	end := time.Now().Add(garbleRounds * (garbleFor + garblePause))
	go func() {
		for range garbleRounds {
			time.Sleep(garblePause)
			if trouble {
				rec.line("garble begins at %s", replicas[0].id)
				replicas[0].garble(true)
			}
			time.Sleep(garbleFor)
			replicas[0].garble(false)
			rec.line("garble ends")
		}
	}()
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("call-%05d", n)
		front := s.front(fmt.Sprintf("edge-%d", 1+rand.IntN(9)))
		calls.Go(func() {
			rec.line("client sends %s", id)
			result := send(client, http.MethodPost, front, "/bid/x", id, "order "+id, map[string]string{"Deadline-Ms": "3000"})
			rec.line("client gets %d for %s, whole %t", result.status, id, result.whole)
			mu.Lock()
			defer mu.Unlock()
			results[id] = result
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / 86))
	}
	calls.Wait()
	time.Sleep(time.Second)
	twice, refusedAndRun, refusals, statuses := 0, 0, 0, map[int]int{}
	runs := map[string]int{}
	for _, r := range replicas {
		r.mu.Lock()
		refusals += r.refusals
		for id, n := range r.runs {
			runs[id] += n
		}
		r.mu.Unlock()
	}
	for id, n := range runs {
		if n > 1 {
			twice++
			rec.line("BROKEN TWICE: %s ran %d times", id, n)
		}
		if st := results[id].status; st == 429 || st == 503 {
			refusedAndRun++
			rec.line("BROKEN REFUSED: %s was answered %d and ran", id, st)
		}
	}
	for _, r := range results {
		statuses[r.status]++
	}
	summary := fmt.Sprintf("calls %d, answers %v, rejections by replicas %d; ran twice %d, refused though run %d", len(results), statuses, refusals, twice, refusedAndRun)
	rec.line("%s", summary)
	fmt.Println(summary)
	if twice+refusedAndRun > 0 {
		return broken, nil
	}
	return held, nil
}
