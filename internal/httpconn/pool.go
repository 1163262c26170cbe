package httpconn

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/netdial"
)

// Pool holds the connections to one address.
type Pool struct {
	address string
	// receive bounds the unread bytes of the connections; nil for a bound of each one alone.
	receive *ReceiveBudget
	meters  *Meters

	mu        sync.Mutex
	idle      []*conn
	openCount int
	// openedCount counts the connections opened since the pool was created.
	openedCount int64
	// limit is the limit that was stated last.
	limit  int
	closed bool

	// usedCount is the number of connections that are in use or being opened, and idleUntil when the idle
	// connection that was used last reaches its idle timeout, in Unix nanoseconds; 0 if none is idle. They
	// are set under mu, and read without it by each placement decision.
	usedCount, idleUntil atomic.Int64
}

// NewPool returns a pool without connections.
func NewPool(address string) *Pool { return newPool(address, nil) }

func newPool(address string, receive *ReceiveBudget) *Pool {
	return &Pool{address: address, receive: receive, meters: unregistered}
}

// SetMeters sets the meters. It must be called before the first call.
func (p *Pool) SetMeters(m *Meters) { p.meters = m }

// OpenedCount returns the number of connections opened so far.
func (p *Pool) OpenedCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openedCount
}

// HasIdleConnection reports whether the pool has an idle connection that has not reached its idle timeout.
func (p *Pool) HasIdleConnection() bool {
	until := p.idleUntil.Load()
	return until != 0 && time.Now().UnixNano() < until
}

// HasRoom reports whether Do would get a connection: an idle one, or a new one if fewer than limit are in use.
func (p *Pool) HasRoom(limit int) bool { return p.usedCount.Load() < int64(limit) }

// publishLocked sets what is read without the lock, which is held.
func (p *Pool) publishLocked() {
	p.usedCount.Store(int64(p.openCount - len(p.idle)))
	if n := len(p.idle); n > 0 {
		p.idleUntil.Store(p.idle[n-1].idleSince.Add(p.idle[n-1].idleTimeout).UnixNano())
		return
	}
	p.idleUntil.Store(0)
}

// setLimitLocked sets the limit and closes the idle connections above it, those that have been idle for
// longest first; the lock is held.
func (p *Pool) setLimitLocked(limit int) {
	p.limit = limit
	p.closeIdleLocked(min(len(p.idle), max(0, p.openCount-limit)))
}

// Close closes idle connections; those in use are closed when their calls end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.openCount--
		c.netConn.Close()
	}
	p.idle = nil
	p.publishLocked()
}

// CloseIfUnused closes the connections that have reached their idle timeout, and the idle ones above
// limit. If none is left, it closes the pool and returns true. Without it, a connection that its server
// closed would be kept until the next call to the same address.
func (p *Pool) CloseIfUnused(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.publishLocked()
	p.setLimitLocked(limit)
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if time.Since(c.idleSince) < c.idleTimeout {
			return false
		}
		p.openCount--
		c.netConn.Close()
		return true
	})
	p.closed = p.closed || p.openCount == 0
	return p.closed
}

// Do sends the call over an idle connection that has not carried a call of its ID, or over a new one if fewer than limit
// are in use. When ctx ends, the connection is closed immediately, which tells the server to stop its work.
func (p *Pool) Do(ctx context.Context, call *Call, limit int) (*Response, error) {
	c, err := p.acquireProven(ctx, call, limit)
	if err != nil {
		return nil, err
	}
	c.beginCall(ctx, call)
	response, err := c.exchange(call)
	if err != nil {
		c.discard(c.callCount)
		return nil, err
	}
	return c.newResponse(response), nil
}

// acquire returns a connection for a call with the ID.
func (p *Pool) acquire(ctx context.Context, id string, limit int) (*conn, error) {
	for {
		c, dial := p.takeIdleOrReserve(id, limit)
		switch {
		case c == nil && !dial:
			return nil, ErrConnectionLimit
		case dial:
			c, err := p.dial(ctx, true)
			if err != nil {
				return nil, errors.Wrap(ErrNotSent, err.Error())
			}
			return c, nil
		case c.prepareForCall():
			return c, nil
		}
		p.closeConn(c)
	}
}

// takeIdleOrReserve returns the idle connection that was used last of those that may carry a call with the ID. If there
// is none and fewer than limit are in use, it reserves a new connection and returns dial, for the caller to open it. If
// limit are open, it closes the idle connection that was used least recently in favor of the new one.
func (p *Pool) takeIdleOrReserve(id string, limit int) (c *conn, dial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.publishLocked()
	p.setLimitLocked(limit)
	for i, c := range slices.Backward(p.idle) {
		if c.carried.mayCarry(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, false
		}
	}
	if p.openCount >= limit {
		if len(p.idle) == 0 {
			return nil, false
		}
		p.closeIdleLocked(1)
	}
	p.reserveLocked()
	return nil, true
}

// closeIdleLocked closes the n idle connections that were used least recently; the lock is held.
func (p *Pool) closeIdleLocked(n int) {
	for _, c := range p.idle[:n] {
		c.netConn.Close()
	}
	p.openCount -= n
	p.idle = slices.Delete(p.idle, 0, n)
}

// reserveLocked counts a new connection, which the caller opens; the lock is held.
func (p *Pool) reserveLocked() {
	p.openCount++
	p.openedCount++
	p.meters.opened.Inc(1)
}

// dial opens the connection that takeIdleOrReserve reserved. forCall is set if a call is sent over it at once.
func (p *Pool) dial(ctx context.Context, forCall bool) (*conn, error) {
	n, err := p.receive.dial(ctx, netdial.Dialer{ForCall: forCall}, p.address)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.openCount--
		p.publishLocked()
		return nil, err
	}
	return newConn(p, n), nil
}

func newConn(p *Pool, n net.Conn) *conn {
	limited := &limitedReader{reader: netdial.ReportResets(n)}
	return &conn{pool: p, netConn: n, limited: limited, reader: bufio.NewReaderSize(limited, readBufferSize), idleTimeout: defaultIdleTimeout}
}

func (p *Pool) closeConn(c *conn) {
	c.netConn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openCount--
	p.publishLocked()
}
