package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/gateway"
)

const (
	// balancerDelay is how long a stopping entry still accepts connections: the load balancer
	// probes every second and removes an instance after two failed probes. It is at most
	// maxBalancerShare of the grace period.
	balancerDelay    = 2600 * time.Millisecond
	maxBalancerShare = 1.0 / 3
	// shutdownMargin is the part of the grace period left once connections are closed, at most a tenth of it.
	// responseMargin is the part before that for the answers to calls in flight, at most a fifteenth of the
	// grace period: in its last sixth, calls in flight may be ended.
	shutdownMargin = 400 * time.Millisecond
	responseMargin = 150 * time.Millisecond
	// exitMargin is the part of the shutdownMargin left once turns are settled.
	exitMargin = 100 * time.Millisecond
	// drainInterval is the time between two looks at the connections that are left.
	drainInterval = 20 * time.Millisecond
	// drainIdleTime is how long a connection must have waited for a call before a stop closes it. A
	// caller that has just connected, or received an answer, may be about to send.
	drainIdleTime = 500 * time.Millisecond
	// acceptDrainTime is how long a stopping listener waits for one more connection in its queue,
	// maxAcceptDrains how often in a row it does so while the process runs late, and maxAcceptDrainTotal how often
	// in all: callers may go on connecting.
	acceptDrainTime     = 50 * time.Millisecond
	maxAcceptDrains     = 10
	maxAcceptDrainTotal = 3 * maxAcceptDrains
	// closeTimeout bounds the wait for calls whose connections were closed, closeCheckInterval is the time
	// between two looks at them.
	closeTimeout       = 150 * time.Millisecond
	closeCheckInterval = 5 * time.Millisecond
)

// stopPlan is the timetable of a planned stop.
type stopPlan struct {
	calls gateway.Shutdown
	// closed is when the connections of callers that are left are closed, settled until when the turns of
	// ended calls may be settled.
	closed, settled time.Time
}

// planStop returns the timetable of a stop within the grace period.
func planStop(began time.Time, grace time.Duration) stopPlan {
	margin := min(shutdownMargin, grace/10)
	closed := began.Add(grace - margin)
	return stopPlan{
		calls: gateway.Shutdown{
			Began:    began,
			Diverted: began.Add(min(balancerDelay, time.Duration(maxBalancerShare*float64(grace)))),
			End:      closed.Add(-min(responseMargin, grace/15)),
		},
		closed:  closed,
		settled: closed.Add(margin - min(exitMargin, margin/4)),
	}
}

// drain stops a server for callers: it accepts the connections that are queued, closes the listener,
// and then each connection once it waits for a call that has not come. It returns an error if calls
// are left when ctx ends; their connections are closed.
//
// It prevents the following failure: http.Server.Shutdown drops the calls that it reads from then on,
// and closes connections on which a call has arrived that the process has yet to read.
func drain(ctx context.Context, server *http.Server, l *callerListener) error {
	defer server.Close()
	l.stop()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		if l.isClosed() && l.conns.closeWaiting() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			// A process that runs late may just have begun to answer the calls in flight.
			l.conns.awaitEnd(responseMargin)
			left := l.conns.count()
			if left == 0 {
				return nil
			}
			l.conns.cutting.Store(true)
			server.Close()
			l.conns.awaitEnd(closeTimeout)
			return errors.Wrapf(ctx.Err(), "%d connections of callers are left", left)
		}
	}
}

// awaitEnd waits until the calls of closed connections have ended, so that their ends are logged.
func (s *callerConns) awaitEnd(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); s.count() > 0 && time.Now().Before(deadline); {
		time.Sleep(closeCheckInterval)
	}
}

// stop ends the accepting of connections once those in the queue are accepted.
func (l *callerListener) stop() {
	l.stopping.Store(true)
	l.allowAccept()
}

// allowAccept lets Accept wait for one more connection.
func (l *callerListener) allowAccept() {
	deadline := time.Now().Add(acceptDrainTime)
	l.drainDeadline.Store(deadline.UnixNano())
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && d.SetDeadline(deadline) == nil {
		return
	}
	l.Close()
}

// acceptStopped handles an error of a call of Accept that began at a time. It returns true if the stopping
// listener is to try again: a process that runs late finds the deadline passed before it has looked at the queue,
// either while it waits, or before it has begun to, since the connection before took it long.
func (l *callerListener) acceptStopped(err error, began time.Time) bool {
	if !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	isLate := time.Since(began) > 2*acceptDrainTime || began.Add(acceptDrainTime/2).UnixNano() > l.drainDeadline.Load()
	l.drains++
	l.drainTotal++
	if isLate && l.drains <= maxAcceptDrains && l.drainTotal <= maxAcceptDrainTotal {
		l.allowAccept()
		return true
	}
	l.Close()
	return false
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

func (l *callerListener) isClosed() bool { return l.closed.Load() }

// closeWaiting closes the connections that have waited for a call for drainIdleTime, and returns the
// number of connections that are left.
func (s *callerConns) closeWaiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		c.expireIfWaiting(drainIdleTime)
	}
	return len(s.all)
}

// refuseHeaders refuses the calls of whose header only a part has arrived.
func (s *callerConns) refuseHeaders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.all {
		c.refuseIfInHeader()
	}
}

// refuseIfInHeader ends the wait for the rest of a call's header.
func (c *callerConn) refuseIfInHeader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseHeader {
		c.refused = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // a closed connection needs no deadline
	}
}

// isRefused reports whether the call whose header is being read is refused.
func (c *callerConn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused && c.phase == phaseHeader
}

// count returns the number of open connections.
func (s *callerConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

var _ net.Listener = (*callerListener)(nil)
