package httpconn

import (
	"context"
	"net"
	"sync"

	"foxhall/internal/netdial"
)

const (
	// kernelFactor times the receive buffer that is asked for is what Linux holds at most.
	kernelFactor = 2
	// receiveDivisor sets the part of the free budget that a new connection gets: each of the first hundred
	// gets at least half of what the first one gets.
	receiveDivisor = 128
	// minReceiveBuffer is the receive buffer, in bytes, that a connection gets beyond the budget. It holds a
	// few segments, so that small responses arrive without a pause.
	minReceiveBuffer = 4 << 10
)

// ReceiveBudget bounds the bytes that wait in the kernel for all connections of its pools together: those of
// idle connections and of ones whose reader waits are read by nobody.
//
// It prevents the following failure: many servers send bytes without end, on connections that are idle or
// read slowly, and the unread bytes of all connections together exceed the instance's memory.
type ReceiveBudget struct {
	mu sync.Mutex
	// free is the number of bytes that no connection has; negative once connections got minReceiveBuffer
	// beyond the budget.
	free int64
}

// NewReceiveBudget returns a budget of limit bytes.
func NewReceiveBudget(limit int64) *ReceiveBudget { return &ReceiveBudget{free: limit} }

// NewPool returns a pool without connections whose connections share the budget.
func (b *ReceiveBudget) NewPool(address string) *Pool { return newPool(address, b) }

// take returns the receive buffer of a new connection.
func (b *ReceiveBudget) take() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	size := min(receiveBuffer, max(minReceiveBuffer, int(b.free/(kernelFactor*receiveDivisor))))
	b.free -= kernelFactor * int64(size)
	return size
}

func (b *ReceiveBudget) giveBack(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += kernelFactor * int64(size)
}

// dial opens a connection whose receive buffer is bounded; if there is a budget, by a part of it that is given
// back when the connection is closed.
func (b *ReceiveBudget) dial(ctx context.Context, dialer netdial.Dialer, address string) (net.Conn, error) {
	if b == nil {
		dialer.ReceiveBuffer = receiveBuffer
		return dialer.DialContext(ctx, "tcp", address)
	}
	size := b.take()
	dialer.ReceiveBuffer = size
	n, err := dialer.DialContext(ctx, "tcp", address)
	tcp, ok := n.(*net.TCPConn)
	if err != nil || !ok {
		b.giveBack(size)
		return n, err
	}
	return &budgetedConn{TCPConn: tcp, giveBack: sync.OnceFunc(func() { b.giveBack(size) })}, nil
}

// budgetedConn gives its part of a budget back when it is closed.
type budgetedConn struct {
	*net.TCPConn
	giveBack func()
}

// Close implements net.Conn.
func (c *budgetedConn) Close() error {
	err := c.TCPConn.Close()
	c.giveBack()
	return err
}
