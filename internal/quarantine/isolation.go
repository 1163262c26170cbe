package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxIsolated is the number of isolated contents that an instance runs at a time, and so the number
	// of replicas that they put at risk.
	maxIsolated = 2
	// IsolationWait bounds the wait of a call for another one with the same content, or for one of
	// maxIsolated. Most calls end within it.
	IsolationWait = time.Second
)

// Isolation keeps the runs of suspected contents apart in one instance. It is safe for concurrent use.
type Isolation struct {
	places chan struct{}

	mu sync.Mutex
	// running holds the isolated contents that run or wait.
	running map[Fingerprint]*turnstile
	// replicas counts the runs of suspected contents by replica.
	replicas map[string]int
}

// turnstile lets one call with a content run at a time.
type turnstile struct {
	free    chan struct{}
	waiters int
}

// NewIsolation returns an Isolation in which nothing runs.
func NewIsolation() *Isolation {
	return &Isolation{places: make(chan struct{}, maxIsolated), running: map[Fingerprint]*turnstile{}, replicas: map[string]int{}}
}

// Enter waits until no other call with the content runs here and fewer than maxIsolated contents do. It
// returns false if ctx ends first. leave must be called after the run.
func (i *Isolation) Enter(ctx context.Context, f Fingerprint) (leave func(), ok bool) {
	turn := i.wait(f)
	select {
	case <-turn.free:
	case <-ctx.Done():
		i.leave(f, turn)
		return nil, false
	}
	select {
	case i.places <- struct{}{}:
	case <-ctx.Done():
		turn.free <- struct{}{}
		i.leave(f, turn)
		return nil, false
	}
	return func() {
		<-i.places
		turn.free <- struct{}{}
		i.leave(f, turn)
	}, true
}

func (i *Isolation) wait(f Fingerprint) *turnstile {
	i.mu.Lock()
	defer i.mu.Unlock()
	turn := i.running[f]
	if turn == nil {
		turn = &turnstile{free: make(chan struct{}, 1)}
		turn.free <- struct{}{}
		i.running[f] = turn
	}
	turn.waiters++
	return turn
}

func (i *Isolation) leave(f Fingerprint, turn *turnstile) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if turn.waiters--; turn.waiters == 0 {
		delete(i.running, f)
	}
}

// Place records that a suspected content runs at a replica, until done is called.
func (i *Isolation) Place(replica string) (done func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.replicas[replica]++
	return func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		if i.replicas[replica]--; i.replicas[replica] == 0 {
			delete(i.replicas, replica)
		}
	}
}

// Replicas returns the replicas at which suspected contents run.
func (i *Isolation) Replicas() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.replicas) == 0 {
		return nil
	}
	names := make([]string, 0, len(i.replicas))
	for name := range i.replicas {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
