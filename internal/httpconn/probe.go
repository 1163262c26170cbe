package httpconn

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"foxhall/internal/netdial"
)

// IsBroken reports whether a call or the reading of its response's body failed because the server closed
// or reset the connection.
func IsBroken(err error) bool {
	return errors.Is(err, ErrBroken) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// responseLost returns the error of a call that was sent and whose response can't be read.
func responseLost(err error) error {
	if netdial.IsUnresponsive(err) {
		return errors.Wrap(ErrUnresponsive, err.Error())
	}
	if IsBroken(err) {
		return errors.Wrap(ErrBroken, err.Error())
	}
	return errors.Wrap(ErrResponseLost, err.Error())
}

// Liveness is what a new connection shows about a server.
type Liveness uint8

const (
	// LivenessUnknown: the server accepted no connection and refused none, or none may be opened.
	LivenessUnknown Liveness = iota
	// Listening: something listens at the address. It may be a later start of the server.
	Listening
	// Refused: nothing listens at the address.
	Refused
)

// String returns the name in log lines.
func (l Liveness) String() string { return [...]string{"unknown", "listening", "refused"}[l] }

// probeTimeout bounds a probe. It is a few times the round trip between distant data centres.
const probeTimeout = 60 * time.Millisecond

// Probe opens a new connection, if fewer than limit are open, and keeps it for the next call.
func (p *Pool) Probe(ctx context.Context, limit int) Liveness {
	if !p.reserve(limit) {
		return LivenessUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c, err := p.dial(ctx, false)
	if err != nil {
		return livenessOf(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.publishLocked()
	if p.closed || p.openCount > p.limit {
		p.openCount--
		c.netConn.Close()
		return Listening
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	return Listening
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ProbeAddress opens a connection by dial and closes it.
func ProbeAddress(ctx context.Context, dial dialFunc, address string) Liveness {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := dial(ctx, "tcp", address)
	if err == nil {
		conn.Close()
	}
	return livenessOf(err)
}

// livenessOf returns what the outcome of an attempt to connect shows.
func livenessOf(err error) Liveness {
	switch {
	case err == nil:
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	default:
		return LivenessUnknown
	}
}

// reserve reserves a new connection, unless limit are open.
func (p *Pool) reserve(limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.publishLocked()
	p.setLimitLocked(limit)
	if p.openCount >= limit {
		return false
	}
	p.reserveLocked()
	return true
}
