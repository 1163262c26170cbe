package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// The doses of the disruptions. Garble, how "unframed", is held to the largest dose of garble in the site file: share
// 0.6, x 0.03, for_s 5. One replica of seven crashes at a time (srv_crash, share 0.15 by default).
const (
	unframedShare  = 0.03
	unframedFor    = 5 * time.Second
	unframedBefore = 4500 * time.Millisecond
	garbled        = 4 // of seven replicas
	serviceSize    = 7
	// expiry is how long the entry of a replica stays in the list that has crashed: three heartbeats.
	expiry = 3600 * time.Millisecond
)

// unframed draws which answers of a replica's process have no length. Its input says when the garbling begins and ends.
type unframed struct {
	mu             sync.Mutex
	on             bool
	answers, drawn int
}

func (u *unframed) listen() {
	for scanner := bufio.NewScanner(os.Stdin); scanner.Scan(); {
		u.mu.Lock()
		u.on, u.answers, u.drawn = scanner.Text() == "garble", 0, 0
		u.mu.Unlock()
	}
	os.Exit(0) // the driver has ended
}

// draw reports whether the next answer has no length. Of the answers of a round no more than the dose have none.
func (u *unframed) draw() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers++
	if !u.on || float64(u.drawn+1) > unframedShare*float64(u.answers) || rand.Float64() > 2*unframedShare {
		return false
	}
	u.drawn++
	return true
}

// replicaProcess is a replica that runs as a process of its own.
type replicaProcess struct {
	id      string
	command *exec.Cmd
	input   io.Writer
}

// startReplica starts a replica's process, registers it, and hands its lines to note.
func (s *system) startReplica(kind, id, service, zone string, slots int, note func(string)) (*replicaProcess, error) {
	p := &replicaProcess{id: id, command: exec.Command(os.Args[0], kind, id)}
	var out, lines io.Reader
	var err error
	if p.input, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	if out, err = p.command.StdoutPipe(); err != nil {
		return nil, err
	}
	if lines, err = p.command.StderrPipe(); err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		for scanner := bufio.NewScanner(lines); scanner.Scan(); {
			note(scanner.Text())
		}
	}()
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return p, err
	}
	s.store.Put("servers", id, map[string]any{"service": service, "address": strings.TrimSpace(address), "zone": zone, "version": "v1",
		"slots": slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli()})
	return p, nil
}

func (p *replicaProcess) kill() {
	if p != nil && p.command.Process != nil {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	}
}

// replicaSet is the processes of a service, of which one after the other crashes.
type replicaSet struct {
	system        *system
	rec           *record
	kind, service string
	slots         int
	processes     []*replicaProcess
}

func (r *replicaSet) start(n int) error {
	p, err := r.system.startReplica(r.kind, fmt.Sprintf("i-%s-%d", r.service, n+1), r.service, zones[n%len(zones)], r.slots, func(line string) { r.rec.line("%s", line) })
	if err == nil {
		r.processes[n] = p
	}
	return err
}

func (r *replicaSet) startAll() error {
	r.processes = make([]*replicaProcess, serviceSize)
	for n := range r.processes {
		if err := r.start(n); err != nil {
			return err
		}
	}
	return nil
}

func (r *replicaSet) stop() {
	for _, p := range r.processes {
		p.kill()
	}
}

// crash garbles the answers of four replicas and kills one of them meanwhile, as often as it is told. Each comes back
// after downFor, with a new start under its id.
func (r *replicaSet) crash(times int, every, downFor time.Duration) {
	time.Sleep(every - unframedBefore)
	for k := range times {
		began := time.Now()
		for i := range garbled {
			fmt.Fprintln(r.processes[(k+i)%serviceSize].input, "garble")
		}
		time.Sleep(unframedBefore)
		victim := k % serviceSize
		r.rec.line("%s is killed (SIGKILL)", r.processes[victim].id)
		r.processes[victim].kill()
		go r.startAgain(victim, downFor)
		time.Sleep(unframedFor - unframedBefore)
		for i := 1; i < garbled; i++ {
			fmt.Fprintln(r.processes[(k+i)%serviceSize].input, "sound")
		}
		time.Sleep(every - time.Since(began))
	}
}

// startAgain starts a replica that was killed; its entry expires in between.
func (r *replicaSet) startAgain(victim int, downFor time.Duration) {
	time.Sleep(expiry)
	r.system.store.Remove("servers", r.processes[victim].id)
	time.Sleep(downFor - expiry)
	if err := r.start(victim); err != nil {
		r.rec.line("replica %d did not start again: %v", victim+1, err)
	}
}

// serveConns is the main function of a replica's process.
func serveConns(id string, serve func(c net.Conn, replica string, u *unframed)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(unable)
	}
	fmt.Println(l.Addr().String())
	u := &unframed{}
	go u.listen()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serve(c, id, u)
	}
}

// misdirected answers a call for another replica, and reports whether it is one.
func misdirected(c net.Conn, request *http.Request, replica string) bool {
	if request.Header.Get("Expect-Instance") == replica {
		return false
	}
	fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Request-Id"))
	return true
}

// callResult is what a client got.
type callResult struct {
	id     string
	status int
	whole  bool
	body   string
}

// send sends a call and reads its answer to the end.
func send(client *http.Client, method, front, path, id, body string, header map[string]string) callResult {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return callResult{id: id}
	}
	request.Host = "a.example"
	request.Header.Set("Request-Id", id)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return callResult{id: id}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callResult{id: id, status: response.StatusCode, whole: err == nil, body: string(data)}
}

// pause returns a random time with a mean, at most four times as long.
func pause(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * min(4, rand.ExpFloat64()))
}
