package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// serveMixed serves calls as their path says: it names each in its response, and ends no connection unless told to.
func serveMixed(c net.Conn, r *bufio.Reader) {
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		kind := strings.Split(request.URL.Path, "/")[1]
		if kind != "early" {
			_, _ = io.Copy(io.Discard, request.Body) // the client may be gone
		}
		id := request.Header.Get("Request-Id")
		head, body := "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n", request.URL.Path
		length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
		switch kind {
		case "slow":
			_, _ = io.WriteString(c, head+length+body[:3])
			time.Sleep(2 * time.Millisecond)
			_, _ = io.WriteString(c, body[3:])
		case "empty":
			_, _ = io.WriteString(c, head+"Content-Length: 0\r\n\r\n")
		case "chunked":
			_, _ = io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n")
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		case "unframed":
			_, _ = io.WriteString(c, head+"\r\n"+body)
			return
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case "cut":
			_, _ = io.WriteString(c, head+length+body[:3])
			return
		case "name":
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsame")
		case "bare":
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		default:
			_, _ = io.WriteString(c, head+length+body)
		}
		if kind == "early" {
			_, _ = io.Copy(io.Discard, request.Body) // the client may be gone
		}
	}
}

const (
	mixedWorkers, callsPerWorker = 16, 100
	maxCancelDelay               = 1500 * time.Microsecond
)

// mixedProof returns a proof whose response has a body or not. Others may take a connection that is free meanwhile.
func mixedProof(target string) *Proof {
	return &Proof{
		Call: &Call{Method: http.MethodGet, Target: target, Host: "a.example", Header: http.Header{}},
		Judge: func(status int, _ http.Header, _ []byte) Judgement {
			time.Sleep(time.Millisecond)
			if status == http.StatusOK {
				return Same
			}
			return Unclear
		},
	}
}

// mixedCall returns a call of a kind, with a long body or a proof at times.
func mixedCall(kind, id string, random *rand.Rand) *Call {
	call := &Call{
		Method: http.MethodPost, Target: "/" + kind + "/" + id, Host: "a.example", Header: http.Header{"Request-Id": {id}},
		Matches:   func(h http.Header) bool { return h.Get("Request-Id") == id },
		Anonymous: func(h http.Header) bool { return h.Get("Request-Id") == "" },
	}
	if random.IntN(3) == 0 || kind == "early" {
		call.Body = bytes.Repeat([]byte("x"), random.IntN(300<<10))
	}
	if random.IntN(3) == 0 {
		call.Proof = mixedProof([]string{"/name", "/bare"}[random.IntN(2)])
	}
	return call
}

// callMixed makes one call, cancelled at times, and returns an error unless it ended as its kind says.
func callMixed(pool *Pool, kind, id string, random *rand.Rand) error {
	call := mixedCall(kind, id, random)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ends := kind == "reset" || kind == "cut"
	if random.IntN(3) == 0 {
		ends = true
		time.AfterFunc(time.Duration(random.Int64N(int64(maxCancelDelay))), cancel)
	}
	response, err := pool.Do(ctx, call, 4*mixedWorkers)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		go response.Close()
	}
	whole := string(body) == call.Target || kind == "empty" && len(body) == 0
	if err == nil && whole || err != nil && ends {
		return nil
	}
	return errors.Errorf("%s: %q, %v", call.Target, body, err)
}

// Guards against calls that are cut, or read another one's response, through the end of one on the same connections.
func TestCallsOnSharedConnectionsEndOnlyThemselves(t *testing.T) {
	pool := NewPool(newScriptedServer(t, serveMixed))
	kinds := []string{"ok", "ok", "slow", "empty", "chunked", "unframed", "reset", "cut", "early"}
	var group sync.WaitGroup
	for worker := range mixedWorkers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(worker)))
			for n := range callsPerWorker {
				if err := callMixed(pool, kinds[random.IntN(len(kinds))], fmt.Sprintf("%d-%d", worker, n), random); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
}
