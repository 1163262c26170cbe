package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"

	"foxhall/internal/httpconn"
	"foxhall/internal/peer"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

// HeaderHops counts how often a call has been relayed.
const HeaderHops = "Foxhall-Hops"

// maxHops limits how often a call is relayed: one hop reaches the owner, a second one the new owner
// if the program has just moved. A call that would need more is refused with a retry time, so that
// it can't loop between two instances that each take the other for the owner.
const maxHops = 2

// relayDialTimeout is the timeout for connecting to an owner.
const relayDialTimeout = 2 * time.Second

// relayBufferSize is the size, in bytes, of the buffer for copying a response to the caller.
const relayBufferSize = 16 << 10

// relayMargin is the time that a relayed call is waited for beyond its deadline, so that the owner's
// own response to the passed deadline arrives first.
const relayMargin = time.Second

// movedRetryAfter is the time after which a caller should retry while a program changes its owner.
const movedRetryAfter = time.Second

// newRelayClient returns the HTTP client for relayed calls. It does not follow redirects. If dial is
// nil, it connects by TCP.
func newRelayClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: relayDialTimeout}).DialContext
	}
	return &http.Client{
		Transport: httpconn.NewTransport(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// relayIfRemote relays the call if another instance owns the program. It reports whether it has
// responded to the caller, by the owner's response or by a refusal.
func (s *Server) relayIfRemote(c echo.Context, id program.ID, deadline time.Time, body []byte, relayed bool) (bool, error) {
	if id == "" {
		return false, nil
	}
	owner, err := s.opt.Directory.Locate(c.Request().Context(), id)
	if err != nil {
		r := step.Refuse(http.StatusServiceUnavailable, step.CodeOwnerUnreachable, "the owner of the program is not known at present")
		r.Program, r.RetryAfter = id, movedRetryAfter
		return true, s.respond(c, r)
	}
	if owner.IsSelf {
		return false, nil
	}
	hops, _ := strconv.Atoi(c.Request().Header.Get(HeaderHops))
	log.WithFields(log.Fields{"program": id, "owner": owner.Instance, "address": owner.Address, "hops": hops}).Info("step routed to the owner")
	if relayed && hops >= maxHops || owner.Address == "" {
		r := step.Refuse(http.StatusServiceUnavailable, step.CodeMoved, "the program is changing its owner")
		r.Program, r.Owner, r.RetryAfter = id, owner.Instance, movedRetryAfter
		return true, s.respond(c, r)
	}
	return true, s.relayCall(c, relayedCall{id: id, owner: owner, deadline: deadline, body: body, hops: hops + 1})
}

// relayedCall is a call that is relayed to the owner of its program.
type relayedCall struct {
	id    program.ID
	owner Owner
	// deadline is the time until which the caller waits.
	deadline time.Time
	body     []byte
	// hops counts how often the call has been relayed, this time included.
	hops int
}

// relayCall sends the call to the owner and copies the response to the caller as it arrives. The
// request's context ends when the caller disconnects, which cancels the call at the owner too, or
// relayMargin after the deadline: an owner whose process is paused keeps its connections open, and
// callers would otherwise wait without limit.
func (s *Server) relayCall(c echo.Context, r relayedCall) error {
	s.relayed.Inc(1)
	ctx, cancel := context.WithDeadline(c.Request().Context(), r.deadline.Add(relayMargin))
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	outgoing, err := s.ownerRequest(httptrace.WithClientTrace(ctx, trace), c.Request(), r)
	if err != nil {
		return s.respond(c, step.Refuse(http.StatusBadRequest, step.CodeBadRequest, "the path can't be relayed"))
	}
	resp, err := s.relayClient.Do(outgoing)
	if err != nil {
		return s.respond(c, relayFailure(ctx, r.id, connected.Load()))
	}
	defer resp.Body.Close()
	return copyResponse(c, resp)
}

// ownerRequest returns the request by which a call is relayed to the owner. Its deadline header is
// the time that remains, not the original value, which would start again at each hop.
func (s *Server) ownerRequest(ctx context.Context, incoming *http.Request, r relayedCall) (*http.Request, error) {
	target := "http://" + r.owner.Address + incoming.URL.RequestURI()
	if !strings.HasPrefix(incoming.URL.Path, RelayPrefix+"/") {
		target = "http://" + r.owner.Address + RelayPrefix + incoming.URL.RequestURI()
	}
	outgoing, err := http.NewRequestWithContext(ctx, incoming.Method, target, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http does not resend a call's body if a reused connection breaks. It may
	// resend a call without a body; the owner recognises the repeat by its number or key.
	outgoing.GetBody = nil
	copyHeaders(outgoing.Header, incoming.Header)
	outgoing.Header.Set(peer.HeaderSecret, s.opt.PeerSecret)
	outgoing.Header.Set(HeaderHops, strconv.Itoa(r.hops))
	outgoing.Header.Set(HeaderDeadline, time.Until(r.deadline).String())
	return outgoing, nil
}

// relayFailure returns the result of a call that could not be relayed. Without a connection nothing
// was sent, so the call was not run. Otherwise the owner may have received it, and the outcome is
// unknown.
func relayFailure(ctx context.Context, id program.ID, connected bool) step.Result {
	r := step.Refuse(http.StatusServiceUnavailable, step.CodeOwnerUnreachable, "the owner of the program can't be reached")
	if ctx.Err() == context.DeadlineExceeded {
		r.Status, r.Code = http.StatusGatewayTimeout, step.CodeDeadline
	}
	if connected {
		r.Outcome = step.Unknown
		r.Message = "the owner of the program broke off; ask again with the same step number to learn the outcome"
	}
	r.Program, r.RetryAfter = id, movedRetryAfter
	return r
}

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Te": true, "Transfer-Encoding": true, "Upgrade": true,
	"Proxy-Authorization": true, "Proxy-Authenticate": true, "Content-Length": true, "Trailer": true,
}

// copyHeaders copies all headers but hopByHopHeaders.
func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if !hopByHopHeaders[name] {
			to[name] = values
		}
	}
}

// copyResponse copies the owner's response to the caller and flushes after each read.
func copyResponse(c echo.Context, resp *http.Response) error {
	w := c.Response()
	copyHeaders(w.Header(), resp.Header)
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(w)
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return nil
			}
			_ = control.Flush()
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			// Abort the connection, so that the caller can tell a truncated response from a
			// complete one.
			panic(http.ErrAbortHandler)
		}
	}
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
	return nil
}
