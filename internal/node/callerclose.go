package node

import (
	"io"
	"time"
)

const (
	// headerRefusal is sent when a call's header finds no room in the memory budget, or is not whole when
	// the instance stops. The call has not run, and a call of usual size ends within the time to return.
	headerRefusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n"
	// headerRefusalTimeout bounds the sending of the refusal; it fits into the socket's buffer.
	headerRefusalTimeout = 100 * time.Millisecond
	// headerDiscardTimeout bounds the reading of the rest of a refused header. A header of the largest
	// size takes less over a slow connection.
	headerDiscardTimeout = time.Second
)

// refuseHeader sends the refusal, and reads what the caller still sends into a buffer whose contents are
// lost. Closing the connection at once would reset it, and the caller would not see the refusal.
func (c *callerConn) refuseHeader(discarded []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(headerRefusalTimeout))
	if _, err := io.WriteString(c.Conn, headerRefusal); err != nil {
		return // the caller is gone
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // a connection that has failed ends the loop below
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(headerDiscardTimeout))
	for left := maxHeaderBytes; left > 0; {
		n, err := c.Conn.Read(discarded)
		if err != nil {
			return
		}
		left -= n
	}
}

// lingerTimeout bounds the wait for a caller that still sends to receive its response.
const lingerTimeout = 500 * time.Millisecond

// linger ends the sending of responses and reads what the caller still sends. To close a connection with
// unread bytes resets it, and a response that the caller has yet to receive would be lost.
func (c *callerConn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return // the connection has failed
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	// The end of the time, or of the connection, ends the copying.
	_, _ = io.Copy(io.Discard, c.Conn)
}
