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

// Network is an in-memory network whose links can be cut. It connects instances and stand-ins in one
// process and, unlike real sockets, works with the virtual time of testing/synctest.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	// cutLinks holds the cut links; each end is a prefix of host names.
	cutLinks map[hostLink]bool
	killed   map[string]bool
	conns    map[*memConn]struct{}
	lastPort int
}

type hostLink struct{ from, to string }

// NewNetwork returns a network without listeners and without cut links.
func NewNetwork() *Network {
	return &Network{listeners: map[string]*memListener{}, cutLinks: map[hostLink]bool{}, killed: map[string]bool{}, conns: map[*memConn]struct{}{}, lastPort: 1024}
}

// Cut blocks all traffic from hosts whose names start with from to hosts whose names start with to.
// The opposite direction stays open unless it is cut too. As on a real network, bytes sent over a cut
// link are lost without an error. A connection that has lost bytes in one direction carries no more
// in that direction, also after Heal.
func (n *Network) Cut(from, to string) { n.setCut(from, to, true) }

// Heal reopens a cut link. Connections that lost bytes over it stay broken.
func (n *Network) Heal(from, to string) { n.setCut(from, to, false) }

func (n *Network) setCut(from, to string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !down {
		delete(n.cutLinks, hostLink{from, to})
		return
	}
	n.cutLinks[hostLink{from, to}] = true
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

// Host returns the named host's access to the network.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Kill permanently closes all connections and listeners of the host, like the death of its process.
// Code that still runs as this host can reach no other host.
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

// dialTimeout limits a dial over a cut link if the caller's context has no earlier deadline.
const dialTimeout = 2 * time.Second

// Host is one host on a Network.
type Host struct {
	network *Network
	name    string
}

// Listen opens a listener; port 0 selects a free port. Addresses are unique in the whole network and
// not bound to a host, so that tests can use loopback addresses.
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

// DialContext connects to a listener. If a link between the hosts is cut in either direction, it
// blocks until ctx ends or dialTimeout has passed. Without a listener the connection is refused at
// once.
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

// Write implements net.Conn. Bytes sent over a cut link are lost, and so are all later ones, since a
// byte stream must not have gaps.
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

// LocalAddr implements net.Conn. Both ends return the listener's address.
func (c *memConn) LocalAddr() net.Addr { return c.address }

// RemoteAddr implements net.Conn. Both ends return the listener's address.
func (c *memConn) RemoteAddr() net.Addr { return c.address }
