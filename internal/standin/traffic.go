package standin

import (
	"context"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
)

// Flow is the number of requests and of bytes received and sent, on connections that an instance
// opened, for one kind of request.
type Flow struct{ Calls, BytesReceived, BytesSent int64 }

// TrafficCounter sums flows by kind of request.
type TrafficCounter struct {
	mu    sync.Mutex
	flows map[string]Flow
}

// NewTrafficCounter returns an empty tally.
func NewTrafficCounter() *TrafficCounter { return &TrafficCounter{flows: map[string]Flow{}} }

func (t *TrafficCounter) add(kind string, f Flow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.flows[kind]
	t.flows[kind] = Flow{sum.Calls + f.Calls, sum.BytesReceived + f.BytesReceived, sum.BytesSent + f.BytesSent}
}

// Flows returns the sums so far by kind of request.
func (t *TrafficCounter) Flows() map[string]Flow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.flows)
}

// CountedHost is a Host that counts the traffic of the connections it opens.
type CountedHost struct {
	*Host
	Traffic *TrafficCounter
}

// DialContext calls Host.DialContext and counts the traffic of the connection.
func (h CountedHost) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := h.Host.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, tally: h.Traffic}, nil
}

// countedConn counts bytes under the kind of the latest request sent; a connection carries one
// request at a time.
type countedConn struct {
	net.Conn
	tally *TrafficCounter

	mu   sync.Mutex
	kind string
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	f := Flow{BytesSent: int64(len(p))}
	c.mu.Lock()
	if kind, ok := requestKind(p); ok {
		c.kind, f.Calls = kind, 1
	}
	kind := c.kind
	c.mu.Unlock()
	c.tally.add(kind, f)
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	kind := c.kind
	c.mu.Unlock()
	c.tally.add(kind, Flow{BytesReceived: int64(n)})
	return n, err
}

// requestKind returns the method and the first three path segments from the first bytes of a request,
// so that names of single objects are left out. It returns false for other data.
func requestKind(p []byte) (string, bool) {
	line, _, _ := strings.Cut(string(p[:min(len(p), 200)]), "\r\n")
	method, rest, ok := strings.Cut(line, " ")
	if !ok || !slices.Contains([]string{"GET", "POST", "PUT", "DELETE"}, method) {
		return "", false
	}
	path, _, _ := strings.Cut(rest, " ")
	path, _, _ = strings.Cut(path, "?")
	parts := strings.Split(path, "/")
	return method + " " + strings.Join(parts[:min(len(parts), 4)], "/"), true
}
