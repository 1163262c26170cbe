package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// link is a TCP proxy to an address that a test can take down.
type link struct {
	address string

	mu    sync.Mutex
	down  bool
	conns []net.Conn
}

// newLink starts a link to the address. The link is closed at the end of the test.
func newLink(t *testing.T, to string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	k := &link{address: l.Addr().String()}
	t.Cleanup(func() { l.Close(); k.setDown(true) })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			go k.forward(near, to)
		}
	}()
	return k
}

func (k *link) forward(near net.Conn, to string) {
	far, err := net.Dial("tcp", to)
	k.mu.Lock()
	if err != nil || k.down {
		k.mu.Unlock()
		near.Close()
		if far != nil {
			far.Close()
		}
		return
	}
	k.conns = append(k.conns, near, far)
	k.mu.Unlock()
	go func() { _, _ = io.Copy(far, near); far.Close() }()
	_, _ = io.Copy(near, far)
	near.Close()
}

// setDown takes the link down and closes all its connections, or lets it accept new ones again.
func (k *link) setDown(down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down = down
	if !down {
		return
	}
	for _, c := range k.conns {
		c.Close()
	}
	k.conns = nil
}
