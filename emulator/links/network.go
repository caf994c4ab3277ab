package links

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/control/daemon"
)

const (
	serverHeaderTimeout = 5 * time.Second
	serverIdleTimeout   = 60 * time.Second
)

// Network is the host's network with faults injected; it is a daemon.Network.
// Connections are dialed from the daemon's own address, by which the peer's
// injector knows the daemon.
type Network struct {
	Injector *Injector
	// IP is the daemon's own address.
	IP string
}

var _ daemon.Network = Network{}

// conn is a connection with faults injected.
type conn struct {
	net.Conn
	injector     *Injector
	peer         string
	writeTimeout time.Duration // how long a blocked write waits; 0 is for ever
	closed       chan struct{}
	closeOnce    sync.Once
}

func (n Network) wrap(opened net.Conn, writeTimeout time.Duration) net.Conn {
	return &conn{
		Conn: opened, injector: n.Injector, peer: hostOf(opened.RemoteAddr().String()), writeTimeout: writeTimeout, closed: make(chan struct{}),
	}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// Read reads from the connection and returns once the inbound direction is not
// blocked.
func (c *conn) Read(buffer []byte) (int, error) {
	size, err := c.Conn.Read(buffer)
	if blockErr := c.injector.await(inbound, c.peer, c.closed, 0); blockErr != nil {
		return 0, blockErr
	}
	return size, err
}

// Write writes once the outbound direction is not blocked. Like a connection
// whose bytes are not acknowledged, it is closed after the write time-out.
func (c *conn) Write(buffer []byte) (int, error) {
	if err := c.injector.await(outbound, c.peer, c.closed, c.writeTimeout); err != nil {
		_ = c.Close()
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// Close closes the connection and ends blocked reads and writes.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

type listener struct {
	net.Listener
	network Network
}

// Accept returns the next connection, with faults injected.
func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(accepted, 0), nil
}

// Serve serves calls at an address until the context ends. Where a response is
// lost, the handler runs to its end and the connection is closed instead.
func (n Network) Serve(ctx context.Context, address ids.Address, handler http.Handler, traffic *httpcall.Traffic) error {
	opened, err := net.Listen("tcp", string(address))
	if err != nil {
		return err
	}
	lossy := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if n.Injector.dropsResponse() {
			handler.ServeHTTP(&discardWriter{header: http.Header{}}, req)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, req)
	})
	server := httpcall.NewServer(lossy, serverHeaderTimeout, serverIdleTimeout)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(httpcall.CountListener(listener{Listener: opened, network: n}, traffic))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// discardWriter takes a response that nobody receives.
type discardWriter struct{ header http.Header }

// Header returns the response's headers.
func (d *discardWriter) Header() http.Header { return d.header }

// Write discards a part of the body.
func (d *discardWriter) Write(body []byte) (int, error) { return len(body), nil }

// WriteHeader discards the status.
func (d *discardWriter) WriteHeader(int) {}

// Client returns a client with its own connections. A dial waits, for as long as
// the dialer's time-out, until both directions are not blocked.
func (n Network) Client(options httpcall.ClientOptions) *http.Client {
	client := httpcall.NewClient(options)
	dialer := options.Dialer
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network string, address string) (net.Conn, error) {
		peer, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, dialer.Timeout)
		defer cancel()
		for _, dir := range []direction{outbound, inbound} {
			if err := n.Injector.await(dir, peer, ctx.Done(), 0); err != nil {
				return nil, fmt.Errorf("dial %s: %w", address, err)
			}
		}
		local := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.IP)}}
		opened, err := local.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := n.wrap(opened, dialer.UserTimeout)
		if dialer.Wrap != nil {
			conn = dialer.Wrap(conn)
		}
		return httpcall.CountConn(conn, dialer.Traffic), nil
	}
	return client
}

// socket is a datagram socket with faults injected.
type socket struct {
	daemon.Socket
	injector *Injector
}

// Datagrams opens a datagram socket at an address.
func (n Network) Datagrams(address ids.Address) (daemon.Socket, error) {
	opened, err := daemon.HostNetwork{}.Datagrams(address)
	if err != nil {
		return nil, err
	}
	return socket{Socket: opened, injector: n.Injector}, nil
}

// Send sends a datagram, or loses it.
func (s socket) Send(to ids.Address, body []byte) {
	if !s.injector.dropsDatagram(outbound, hostOf(string(to))) {
		s.Socket.Send(to, body)
	}
}

// Receive returns the next datagram that is not lost.
func (s socket) Receive(buffer []byte) (int, fmt.Stringer, error) {
	for {
		size, sender, err := s.Socket.Receive(buffer)
		if err != nil {
			return 0, sender, err
		}
		if !s.injector.dropsDatagram(inbound, hostOf(sender.String())) {
			return size, sender, nil
		}
	}
}
