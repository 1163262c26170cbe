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
	// Judge returns what the response shows of its server.
	Judge func(status int, header http.Header, body []byte) Judgement
	// Given is called once the proof has been given and before the call is sent, which may be much later than
	// the call of Do; nil for nothing.
	Given func()
}

// Judgement is what a response to a proof shows.
type Judgement uint8

const (
	// Unclear: nothing. The call may be sent.
	Unclear Judgement = iota
	// Same: the server is the one that is meant.
	Same
	// Other: it is another one.
	Other
)

// maxProofs bounds the connections on which one call is proven, for servers that close them after the proof.
const maxProofs = 3

// acquireProven returns a connection for the call that is proven to lead to the server that is meant, if the call has a
// proof. The proof and the call go over the same connection: the server may start anew between the two.
func (p *Pool) acquireProven(ctx context.Context, call *Call, limit int) (*conn, error) {
	proof := call.Proof
	for range maxProofs {
		c, err := p.acquire(ctx, call.ID, limit)
		if err != nil || proof == nil || c.proven {
			return c, err
		}
		c.beginCall(ctx, proof.Call)
		judgement, reusable, err := c.prove(proof)
		if err == nil && reusable && c.finishCall(c.callCount) {
			c.proven = true
			proof.notifyGiven()
			return c, nil
		}
		c.discard(c.callCount)
		switch {
		case err != nil:
			return nil, err
		case judgement == Unclear:
			proof.notifyGiven()
			return p.acquire(ctx, call.ID, limit)
		}
	}
	return nil, errors.Wrap(ErrNotSent, "the server closes its connections after the proof")
}

func (p *Proof) notifyGiven() {
	if p.Given != nil {
		p.Given()
	}
}

// prove sends the proof and reads its response to the end. The connection stays that of the proof; reusable
// reports whether it can serve the call.
func (c *conn) prove(proof *Proof) (judgement Judgement, reusable bool, err error) {
	response, err := c.exchange(proof.Call)
	if err != nil {
		return Unclear, false, errors.Wrap(ErrNotSent, err.Error())
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxProofBytes+1))
	if err != nil {
		return Unclear, false, errors.Wrap(ErrNotSent, err.Error())
	}
	judgement = proof.Judge(response.StatusCode, response.Header, data)
	if judgement == Other {
		return Other, false, ErrOtherServer
	}
	return judgement, !response.Close && len(data) <= maxProofBytes && c.reader.Buffered() == 0, nil
}
