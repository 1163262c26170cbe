package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"foxhall/internal/httpconn"
)

// Target is the replica that a call is sent to.
type Target struct {
	ID      string
	Address string
}

// Attempt is one transmission of a call to a replica.
type Attempt struct {
	Call   *Call
	Target Target
	// Body is the request body.
	Body []byte
	// Timeout is the time that the replica may take.
	Timeout time.Duration
	// Priority is the call's rank at an engine; 0 is the most urgent.
	Priority int
	// Customer is the name of the customer that the call belongs to; empty for none.
	Customer string
	// ResumeAfter is the ID of the last event that the caller received; empty for none.
	ResumeAfter string
	// MaxConnections is the number of connections that this instance may open to the replica.
	MaxConnections int
	// ProvesIdentity is set if the replica must first prove that it is the start that is listed. If it is
	// another one, it is not sent the call, and the response is one of a misdirected call.
	ProvesIdentity bool
}

// Response is a replica's response whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length in bytes, or -1 if unknown.
	Length int64
	Body   io.Reader
	// FramedByClose is set if only the orderly end of the connection ends the body.
	FramedByClose bool
	// Verified is set if the response has the replica's signature.
	Verified bool
	// Executed is false if the replica states that it did not run the call.
	Executed bool
	// Misdirected is set if another replica responded at the address.
	Misdirected bool
	// BodyAltered is set if the body was changed in transit.
	BodyAltered bool
	// Draining is set if the replica takes no new work.
	Draining bool
	close    func()
}

// NewResponse returns a response whose Close calls end.
func NewResponse(r Response, end func()) *Response {
	r.close = end
	return &r
}

// Close ends the response. If the body was not read to its end, the replica is told to stop.
func (r *Response) Close() { r.close() }

// Replicas sends calls to replicas. An error that wraps httpconn.ErrNotSent indicates that no byte
// of the call was sent.
type Replicas interface {
	Send(ctx context.Context, a *Attempt) (*Response, error)
	// Probe opens a connection to a target, if fewer than maxConnections are open.
	Probe(ctx context.Context, t Target, maxConnections int) httpconn.Liveness
}
