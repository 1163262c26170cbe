// The driver of the review cases 4 and up: it starts the project's programs as the deploy file does, and stands in
// for the platform's store, for clients and for replicas.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"foxhall/platform/standin"
)

// instance is a process of the system under test.
type instance struct {
	name    string
	ip      string
	zone    string
	keeper  bool
	command *exec.Cmd
}

// system is a small deployment: entries and keepers in three zones, and the platform's store.
type system struct {
	folder       string
	store        *standin.Store
	storeAddress string
	portBase     int
	network      int

	mu        sync.Mutex
	instances map[string]*instance
}

func (s *system) instance(name string) *instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[name]
}

var zones = []string{"sul-a", "sul-b", "sul-c"}

func newSystem() (*system, error) {
	folder, err := os.MkdirTemp("", "foxhall-review-")
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder, store: standin.NewStore(), network: os.Getpid(), instances: map[string]*instance{}}
	if s.storeAddress, err = serve(s.store); err != nil {
		return nil, err
	}
	s.portBase, err = freePorts(s.host(1))
	return s, err
}

// serve serves a handler on a free port of the loopback interface.
func serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, h) }()
	return listener.Addr().String(), nil
}

// freePorts returns the first of 40 ports that are free at an address.
func freePorts(ip string) (int, error) {
	for base := 21000; base < 31000; base += 40 {
		free := true
		for port := base; port < base+40 && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// host returns the loopback address of an instance.
func (s *system) host(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+s.network%250, 1+s.network/250%250, number)
}

func (s *system) front(name string) string {
	return fmt.Sprintf("%s:%d", s.instance(name).ip, s.portBase)
}

// startAll starts entries and keepers for the first time, and waits until the entries are ready.
func (s *system) startAll(entries, keepers int) error {
	for i := range entries {
		s.instances[fmt.Sprintf("edge-%d", i+1)] = &instance{name: fmt.Sprintf("edge-%d", i+1), ip: s.host(1 + i), zone: zones[i%len(zones)]}
	}
	for i := range keepers {
		s.instances[fmt.Sprintf("storage-%d", i+1)] = &instance{name: fmt.Sprintf("storage-%d", i+1), ip: s.host(101 + i), zone: zones[i%len(zones)], keeper: true}
	}
	for name := range s.instances {
		if err := s.start(name, true); err != nil {
			return err
		}
	}
	for name, i := range s.instances {
		if !i.keeper {
			if err := s.awaitReady(name); err != nil {
				return err
			}
		}
	}
	time.Sleep(4 * time.Second) // longer than contact_ms
	return nil
}

func (s *system) start(name string, first bool) error {
	i := s.instance(name)
	settings := map[string]any{
		"node": name, "role": "entry", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
		"ip": i.ip, "zone": i.zone, "region": "sul", "zones": map[string]string{"sul-a": "sul", "sul-b": "sul", "sul-c": "sul"},
		"listen":     map[string]string{"front": fmt.Sprintf("%s:%d", i.ip, s.portBase), "ready": fmt.Sprintf("%s:%d", i.ip, s.portBase+1), "control": fmt.Sprintf("%s:%d", i.ip, s.portBase+2)},
		"port_range": []int{s.portBase + 10, s.portBase + 25},
		"seeds":      []string{fmt.Sprintf("%s:%d", s.host(1), s.portBase+2), fmt.Sprintf("%s:%d", s.host(2), s.portBase+2)},
		"bootstrap":  first, "in_tolerance": i.keeper,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"},
		"fault_tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4.4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12,
			"pass_ms": 120, "retry_after_s": 0, "deadline_s": 10, "settle_ms": 1000},
		"platform": map[string]any{"address": s.storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	if i.keeper {
		settings["role"], settings["machine_class"], settings["serves"] = "keeper", "storage", []string{"storage"}
		settings["listen"], settings["data_dir"] = map[string]string{}, filepath.Join(s.folder, name)
		settings["limits"] = map[string]any{"cpu_share": 0.8, "cores": 1, "memory_mb": 154, "max_fds": 8200, "link_mbps": 600.0, "disk_mb": 370}
		if err := os.MkdirAll(filepath.Join(s.folder, name), 0o755); err != nil {
			return err
		}
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(s.folder, name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	i.command = exec.Command("target/foxhall", "run")
	i.command.Env = append(os.Environ(), "FOXHALL_CONFIG="+path)
	i.command.Stdout, i.command.Stderr = log, log
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the driver
	return i.command.Start()
}

func (s *system) awaitReady(name string) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get(fmt.Sprintf("http://%s:%d/ready", s.instance(name).ip, s.portBase+1))
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s not ready in time", name)
}

// stop ends all processes. With KEEP_LOGS set, the folder with the logs stays.
func (s *system) stop() {
	for _, i := range s.instances {
		if i.command != nil && i.command.Process != nil {
			_ = i.command.Process.Kill()
			_ = i.command.Wait()
		}
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs in", s.folder)
	}
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
