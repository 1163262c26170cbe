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

	"foxhall/internal/peer"
	"foxhall/internal/program"
	"foxhall/internal/step"
)

// HeaderHops counts how often a call has been relayed.
const HeaderHops = "Foxhall-Hops"

// maxHops bounds relaying: one hop reaches the owner, a second one an owner
// that has just changed. A call that would need more is told to come back, so
// two instances that each take the other for the owner can't loop.
const maxHops = 2

// relayDialTimeout bounds how long an unreachable owner is waited for.
const relayDialTimeout = 2 * time.Second

// relayBuffer is the size of the copies from owner to caller, in bytes.
const relayBufferSize = 16 << 10

// relayMargin is how much longer than its deadline a relayed call is waited
// for, so that the owner's own answer about the deadline comes first.
const relayMargin = time.Second

// movedRetry is when a caller should come back while a program changes owner.
const movedRetryAfter = time.Second

func newRelayClient(dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: relayDialTimeout}).DialContext
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 256,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// route relays the call if another instance owns the program. It reports
// whether the caller has been answered.
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
	if owner.Local {
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

// relay is one call on its way to the owner.
type relayedCall struct {
	id    program.ID
	owner Owner
	// deadline is when the caller gives up.
	deadline time.Time
	body     []byte
	hops     int
}

// forward sends the call to the owner and copies its answer back as it comes.
// The request's context ends when the caller goes, which cancels the call
// at the owner too. It ends soon after the deadline as well: an owner that is
// frozen keeps its connections, and callers would wait for it for ever.
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

// ownerRequest returns the request that carries a call to its owner. The time
// that the caller still waits goes on with it, not the time it gave at first:
// that would begin anew at each hop.
func (s *Server) ownerRequest(ctx context.Context, incoming *http.Request, r relayedCall) (*http.Request, error) {
	target := "http://" + r.owner.Address + incoming.URL.RequestURI()
	if !strings.HasPrefix(incoming.URL.Path, RelayPrefix+"/") {
		target = "http://" + r.owner.Address + RelayPrefix + incoming.URL.RequestURI()
	}
	outgoing, err := http.NewRequestWithContext(ctx, incoming.Method, target, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http does not resend a call's body when a reused
	// connection breaks. A call without a body it may resend; the owner tells
	// it from a new one by its number or key.
	outgoing.GetBody = nil
	copyHeaders(outgoing.Header, incoming.Header)
	outgoing.Header.Set(peer.HeaderSecret, s.opt.PeerSecret)
	outgoing.Header.Set(HeaderHops, strconv.Itoa(r.hops))
	outgoing.Header.Set(HeaderDeadline, time.Until(r.deadline).String())
	return outgoing, nil
}

// relayFailure tells a caller truthfully what a broken relay means: before a
// connection stood nothing was sent; after it the owner may have the call.
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

// hopByHop are the headers that belong to one connection (RFC 9110, 7.6.1).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Te": true, "Transfer-Encoding": true, "Upgrade": true,
	"Proxy-Authorization": true, "Proxy-Authenticate": true, "Content-Length": true, "Trailer": true,
}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if !hopByHopHeaders[name] {
			to[name] = values
		}
	}
}

func copyResponse(c echo.Context, resp *http.Response) error {
	out := c.Response()
	copyHeaders(out.Header(), resp.Header)
	for name := range resp.Trailer {
		out.Header().Add("Trailer", name)
	}
	out.WriteHeader(resp.StatusCode)
	control := http.NewResponseController(out)
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := out.Write(buffer[:n]); writeErr != nil {
				return nil
			}
			_ = control.Flush()
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			// The connection is broken off, so that the caller sees an answer
			// that ends early and not one that looks whole.
			panic(http.ErrAbortHandler)
		}
	}
	for name, values := range resp.Trailer {
		out.Header()[name] = values
	}
	return nil
}
