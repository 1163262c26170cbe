package history

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/history/historypb"
)

// questionsMost is the number of questions under way to one keeper: the last one
// into a cut must not delay the first after it.
const questionsMost = 2

// runViews asks the other keepers how they stand.
func (k *Keeper) runViews(ctx context.Context) {
	ticker := time.NewTicker(statusEvery)
	defer ticker.Stop()
	asking := newFewEach(questionsMost)
	for {
		for _, c := range k.settings.Keepers() {
			if c.Name != k.settings.Name {
				asking.start(c.Name, func() { k.ask(ctx, c.Name) })
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) ask(ctx context.Context, name string) {
	k.mu.Lock()
	if k.views[name] == nil {
		k.views[name] = &view{heard: time.Now()}
	}
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, statusTime)
	defer cancel()
	status, err := k.peers.Status(ctx, name, &historypb.StatusRequest{From: k.settings.Name})
	k.mu.Lock()
	defer k.mu.Unlock()
	v := k.views[name]
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			v.refused++
		}
		return
	}
	v.noteHeard(time.Now())
	v.status, v.refused = status, 0
	notify(k.wakeRoles)
}

// fewEach runs a few functions at a time for each name. It is used by one goroutine.
type fewEach struct {
	most    int
	running map[string]chan struct{}
}

func newFewEach(most int) *fewEach {
	return &fewEach{most: most, running: map[string]chan struct{}{}}
}

// start runs f in the background, unless as many of that name run as may.
func (e *fewEach) start(name string, f func()) {
	if e.running[name] == nil {
		e.running[name] = make(chan struct{}, e.most)
	}
	running := e.running[name]
	select {
	case running <- struct{}{}:
		go func() {
			defer func() { <-running }()
			f()
		}()
	default:
	}
}
