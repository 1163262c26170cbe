package standin

import (
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Network is an in-memory network whose links can be cut. With it instances
// and stand-ins run in one process, also on the virtual time of testing/synctest,
// which real sockets do not keep to.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	// down holds the links that carry nothing, by prefixes of the names of both ends.
	cutLinks map[link]bool
	killed   map[string]bool
	conns    map[*memConn]struct{}
	lastPort int
}

type link struct{ from, to string }

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*memListener{}, cutLinks: map[link]bool{}, killed: map[string]bool{}, conns: map[*memConn]struct{}{}, lastPort: 1024}
}

// Cut stops everything from the hosts whose names start with from to those
// whose names start with to; the other way stays open unless it is cut too.
// What is sent into a cut is lost without an error, as on a real network, and
// connections that lost bytes never carry any again.
func (n *Network) Cut(from, to string) { n.setCut(from, to, true) }

// Heal opens a cut link for new connections.
func (n *Network) Heal(from, to string) { n.setCut(from, to, false) }

func (n *Network) setCut(from, to string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !down {
		delete(n.cutLinks, link{from, to})
		return
	}
	n.cutLinks[link{from, to}] = true
}

func (n *Network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed[from] || n.killed[to] {
		return true
	}
	for l := range n.cutLinks {
		if strings.HasPrefix(from, l.from) && strings.HasPrefix(to, l.to) {
			return true
		}
	}
	return false
}

// Host returns the network as the named host sees it.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Kill breaks every connection and listener of the host for good, as the death
// of its process does. What still runs in its name reaches nobody.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	n.killed[name] = true
	var closing []io.Closer
	for _, l := range n.listeners {
		if l.host == name {
			closing = append(closing, l)
		}
	}
	for c := range n.conns {
		if c.from == name || c.to == name {
			closing = append(closing, c.Conn)
		}
	}
	n.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

// dialTimeout bounds a dial into a cut, where the caller's context does not.
const dialTimeout = 2 * time.Second

// Host is one host on a Network.
type Host struct {
	network *Network
	name    string
}

// Listen opens a listener; port 0 stands for any free port. Addresses belong
// to the network, not to the host, so that a test may use loopback numbers.
func (h *Host) Listen(_, address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		n.lastPort++
		port = strconv.Itoa(n.lastPort)
	}
	address = net.JoinHostPort(host, port)
	if n.listeners[address] != nil {
		return nil, errors.Errorf("standin: %s is in use", address)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, err
	}
	l := &memListener{
		network: n, host: h.name, accepted: make(chan net.Conn), closed: make(chan struct{}),
		address: &net.TCPAddr{IP: net.ParseIP(host), Port: number},
	}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to a listener. Towards a cut host it waits until ctx
// ends; where nobody listens it is refused at once.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if n.isBlocked(h.name, l.host) || n.isBlocked(l.host, h.name) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- n.newConn(far, l.host, h.name, l.address):
		return n.newConn(near, h.name, l.host, l.address), nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

func (n *Network) newConn(c net.Conn, from, to string, address net.Addr) *memConn {
	m := &memConn{Conn: c, network: n, from: from, to: to, address: address}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[m] = struct{}{}
	return m
}

type memListener struct {
	network  *Network
	host     string
	address  net.Addr
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if key := l.address.String(); l.network.listeners[key] == l {
			delete(l.network.listeners, key)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *memListener) Addr() net.Addr { return l.address }

// memConn is one end of a connection.
type memConn struct {
	net.Conn
	network  *Network
	from, to string
	address  net.Addr

	mu     sync.Mutex
	broken bool
}

// Write implements net.Conn. Bytes sent into a cut are lost; so is all that
// follows, since a stream with a hole is no stream.
func (c *memConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.broken = c.broken || c.network.isBlocked(c.from, c.to)
	lost := c.broken
	c.mu.Unlock()
	if lost {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *memConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// LocalAddr and RemoteAddr implement net.Conn; both give the listener's address.
func (c *memConn) LocalAddr() net.Addr { return c.address }

// RemoteAddr implements net.Conn.
func (c *memConn) RemoteAddr() net.Addr { return c.address }
