package httpconn

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrOtherServer is an ErrNotSent: another server than the one that is meant responds at the address.
var ErrOtherServer = errors.Wrap(ErrNotSent, "another server responds at the address")

// maxProofBytes bounds the body of a response to a proof, in bytes.
const maxProofBytes = 64 << 10

// Proof is sent once on a connection, before its first call that has one. A connection leads to one process
// for as long as it lasts, so that it needs no second proof.
type Proof struct {
	Call *Call
	// IsOther reports whether the response shows that it comes from another server than the one that is
	// meant.
	IsOther func(status int, header http.Header, body []byte) bool
	// Given is called once the proof has been given and before the call is sent, which may be much later than
	// the call of Do; nil for nothing.
	Given func()
}

// acquireProven returns a connection that is proven to lead to the server that is meant, if proof is not nil.
func (p *Pool) acquireProven(ctx context.Context, proof *Proof, limit int) (*conn, error) {
	c, err := p.acquire(ctx, limit)
	if err != nil || proof == nil || c.proven {
		return c, err
	}
	c.beginCall(ctx)
	if err := c.prove(proof); err != nil {
		c.discard(c.callCount)
		return nil, err
	}
	// The response released the connection, or closed it if the server asked for that. Another one that is
	// open now leads to the same process, since only one listens at the address.
	if c, err = p.acquire(ctx, limit); err != nil {
		return nil, err
	}
	c.proven = true
	if proof.Given != nil {
		proof.Given()
	}
	return c, nil
}

// prove sends the proof and reads its response to the end.
func (c *conn) prove(proof *Proof) error {
	response, err := c.exchange(proof.Call)
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	defer response.Close() // of effect only if the body is too large or can't be read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProofBytes))
	if err != nil {
		return errors.Wrap(ErrNotSent, err.Error())
	}
	if proof.IsOther(response.Status, response.Header, body) {
		return ErrOtherServer
	}
	return nil
}
