package instance

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"foxhall/internal/settings"
)

// Network opens the listeners and connections of an instance.
type Network interface {
	Listen(network, address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// tcp implements Network with the operating system's network. It is the default.
type tcp struct{ net.Dialer }

// Listen implements Network.
func (tcp) Listen(network, address string) (net.Listener, error) { return net.Listen(network, address) }

// DialContext implements Network.
func (t tcp) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return t.Dialer.DialContext(ctx, network, address)
}

// listener is an HTTP server on a listening socket.
type listener struct {
	listener net.Listener
	server   *http.Server
}

// newListener opens the socket. Its port is thereby known before the parts that announce it are
// built. The handler must be set before serve is called.
func newListener(network Network, address string, limits settings.Callers) (*listener, error) {
	l, err := network.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &listener{listener: l, server: &http.Server{
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ReadHeaderTimeout: limits.ReadTimeout.Std(),
		IdleTimeout:       limits.IdleTimeout.Std(),
	}}, nil
}

// address returns the listener's address as host:port.
func (l *listener) address() string { return l.listener.Addr().String() }

func (l *listener) serve() error {
	if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// shutdown waits for the calls in flight, and aborts them when ctx ends.
func (l *listener) shutdown(ctx context.Context) error {
	if err := l.server.Shutdown(ctx); err != nil {
		_ = l.server.Close()
		return err
	}
	return nil
}
