package gateway

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Target is the replica that a call is sent to.
type Target struct {
	ID      string
	Address string
}

// Send is one sending of a call.
type Attempt struct {
	Call   *Call
	Target Target
	// Body is what the replica is to receive.
	Body []byte
	// Left is the time that the replica may take.
	Timeout time.Duration
	// Priority is the rank at an engine, 0 the first.
	Priority int
	// Customer names the client account whose call it is; empty for none.
	Customer string
	// ResumeAfter is the last event of an earlier run that was passed on; empty for none.
	ResumeAfter string
	// Limit is the number of connections that this instance may have there.
	MaxConnections int
}

// Answer is a replica's answer, its body still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1.
	Length int64
	Body   io.Reader
	// Verified says that the answer bears the replica's signature.
	Verified bool
	// Run is false where the replica says that it did not run the call.
	Executed bool
	// Misdirected says that another replica has the address.
	Misdirected bool
	// Encoded says that the body was changed on the way.
	BodyAltered bool
	// Leaving says that the replica drains.
	Draining bool
	close    func()
}

// NewAnswer returns an answer that is ended by the function.
func NewResponse(r Response, end func()) *Response {
	r.close = end
	return &r
}

// Close ends the answer; a body not read to its end tells the replica to stop.
func (r *Response) Close() { r.close() }

// Replicas sends calls to replicas. An error that is httpconn.ErrNotSent says
// that no byte of the call left.
type Replicas interface {
	Send(ctx context.Context, s *Attempt) (*Response, error)
}
