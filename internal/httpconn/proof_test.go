package httpconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// provingServer answers proofs with its name and calls with the number of its connection, and counts both.
type provingServer struct {
	mu             sync.Mutex
	name           string
	closesAfter    bool
	proofs, served int
}

func (p *provingServer) serve(c net.Conn, r *bufio.Reader) {
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		p.mu.Lock()
		body, header := "done", ""
		if request.URL.Path == "/name" {
			p.proofs++
			body = p.name
			if p.closesAfter {
				header = "Connection: close\r\n"
			}
		} else {
			p.served++
		}
		p.mu.Unlock()
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+header+"\r\n"+body); err != nil || header != "" {
			return
		}
	}
}

func proofOfName(name string) *Proof {
	return &Proof{Call: get("/name"), Judge: func(_ int, _ http.Header, body []byte) Judgement {
		switch string(body) {
		case "":
			return Unclear
		case name:
			return Same
		default:
			return Other
		}
	}}
}

func provenCall(name string) *Call {
	call := get("/x")
	call.Proof = proofOfName(name)
	return call
}

// Guards against a call that runs at another server than the one that is meant, and against a proof for each
// call rather than each connection.
func TestCallIsNotSentToAnotherServer(t *testing.T) {
	is := is.New(t)
	server := &provingServer{name: "old."}
	pool := NewPool(newScriptedServer(t, server.serve))
	for range 3 {
		response, err := pool.Do(context.Background(), provenCall("old."), 1)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "done")
	}
	is.Equal(server.proofs, 1)
	is.Equal(server.served, 3)
	is.Equal(pool.OpenedCount(), int64(1))

	server = &provingServer{name: "new."}
	pool = NewPool(newScriptedServer(t, server.serve))
	for range 3 {
		_, err := pool.Do(context.Background(), provenCall("old."), 1)
		is.True(errors.Is(err, ErrOtherServer))
		is.True(errors.Is(err, ErrNotSent))
	}
	is.Equal(server.served, 0)
	is.Equal(pool.inUse(), 0)
}

// Guards against a call that is sent to a later start of the server, which comes between the proof and the call.
func TestServerThatStartsAnewAfterItsProof(t *testing.T) {
	is := is.New(t)
	old, started, served := make(chan struct{}), "old.", make(chan struct{}, 1)
	pool := NewPool(newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if request.URL.Path != "/name" {
				served <- struct{}{}
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"+started) // the client may be gone
			if started == "old." {
				started = "new."
				close(old)
				return
			}
		}
	}))
	call := provenCall("old.")
	call.Proof.Given = func() { <-old }
	_, err := pool.Do(context.Background(), call, 2)
	is.True(err != nil)
	_, err = pool.Do(context.Background(), call, 2)
	is.True(errors.Is(err, ErrOtherServer))
	is.Equal(len(served), 0)
	is.Equal(pool.inUse(), 0)
}

// Guards against connections that are lost, because a server closes each after its proof, or answers a proof
// with too much.
func TestProofThatUsesUpItsConnection(t *testing.T) {
	is := is.New(t)
	server := &provingServer{name: "old.", closesAfter: true}
	pool := NewPool(newScriptedServer(t, server.serve))
	_, err := pool.Do(context.Background(), provenCall("old."), 1)
	is.True(errors.Is(err, ErrNotSent))
	is.Equal(server.proofs, maxProofs)
	is.Equal(server.served, 0)
	is.Equal(pool.inUse(), 0)

	pool = NewPool(newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2*maxProofBytes)) // the client may close first
		}
	}))
	_, err = pool.Do(context.Background(), provenCall("old."), 1)
	is.True(err != nil)
	is.Equal(pool.inUse(), 0)
}

// Guards against a server without the means of a proof, whose response has no body, that gets no call.
func TestServerWithoutProofsGetsCalls(t *testing.T) {
	is := is.New(t)
	for _, header := range []string{"", "Connection: close\r\n"} {
		pool := NewPool(newScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
			for {
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				response := "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n" + header + "\r\n"
				if request.URL.Path != "/name" {
					response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
				}
				if _, err := io.WriteString(c, response); err != nil || header != "" {
					return
				}
			}
		}))
		response, err := pool.Do(context.Background(), provenCall("old."), 1)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "done")
	}
}
