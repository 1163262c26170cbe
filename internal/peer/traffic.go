package peer

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
)

// Traffic counts the bytes of TCP payload, HTTP headers included, in both directions.
type Traffic struct {
	In, Out metrics.Counter
}

// newTraffic registers the counters prefix.bytes_in and prefix.bytes_out.
func newTraffic(prefix string, registry metrics.Registry) Traffic {
	return Traffic{
		In:  metrics.GetOrRegisterCounter(prefix+".bytes_in", registry),
		Out: metrics.GetOrRegisterCounter(prefix+".bytes_out", registry),
	}
}

// CountListener returns a listener whose connections count their bytes as
// peer.server.bytes_in and peer.server.bytes_out.
func CountListener(l net.Listener, registry metrics.Registry) net.Listener {
	return countedListener{Listener: l, traffic: newTraffic("peer.server", registry)}
}

type countedListener struct {
	net.Listener
	traffic Traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, traffic: l.traffic}, nil
}

type countedConn struct {
	net.Conn
	traffic Traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.In.Inc(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Out.Inc(int64(n))
	return n, err
}

// countedDialer dials connections that count their bytes.
func countedDialer(d *net.Dialer, traffic Traffic) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: conn, traffic: traffic}, nil
	}
}
