package links

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/daemon"
)

// Network is the machine's network as seen through links; it is a
// daemon.Network. Connections leave from the daemon's own address, so that the
// other side knows who it is.
type Network struct {
	Injector *Injector
	// IP is the daemon's own address.
	IP string
}

// conn is a connection whose bytes go through the links.
type conn struct {
	net.Conn
	injector     *Injector
	peer         string
	writeTimeout clock.Span
	closed       chan struct{}
	closeOnce    sync.Once
}

func (n Network) wrap(opened net.Conn, silence clock.Span) net.Conn {
	peer, _, _ := net.SplitHostPort(opened.RemoteAddr().String())
	return &conn{Conn: opened, injector: n.Injector, peer: peer, writeTimeout: silence, closed: make(chan struct{})}
}

// Read hands bytes over once the way in is whole.
func (c *conn) Read(buffer []byte) (int, error) {
	size, err := c.Conn.Read(buffer)
	if held := c.injector.await(inbound, c.peer, c.closed, 0); held != nil {
		return 0, held
	}
	return size, err
}

// Write takes bytes once the way out is whole; like a connection whose bytes
// nobody confirms, it breaks after a while.
func (c *conn) Write(buffer []byte) (int, error) {
	if err := c.injector.await(outbound, c.peer, c.closed, c.writeTimeout); err != nil {
		_ = c.Close()
		return 0, err
	}
	return c.Conn.Write(buffer)
}

// Close ends the connection and whoever waits in it.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

type listener struct {
	net.Listener
	network Network
}

// Accept gives the next connection.
func (l listener) Accept() (net.Conn, error) {
	opened, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(opened, 0), nil
}

// Serve answers calls at an address until the scope ends. An answer that is
// lost is made in full, and its connection ends in its place.
func (n Network) Serve(ctx scope.Scope, address ids.Address, handler http.Handler, count *httpcall.Traffic) error {
	opened, err := net.Listen("tcp", string(address))
	if err != nil {
		return err
	}
	losing := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if n.Injector.dropsResponse() {
			handler.ServeHTTP(&discardWriter{header: http.Header{}}, request)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(writer, request)
	})
	server := httpcall.NewServer(losing, 5*clock.Second, 60*clock.Second)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(httpcall.CountListener(listener{Listener: opened, network: n}, count))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// discardWriter takes an answer that nobody gets.
type discardWriter struct{ header http.Header }

// Header gives the answer's heads.
func (d *discardWriter) Header() http.Header { return d.header }

// Write takes a part of the body.
func (d *discardWriter) Write(body []byte) (int, error) { return len(body), nil }

// WriteHeader takes the status.
func (d *discardWriter) WriteHeader(int) {}

// Client makes a client with connections of its own.
func (n Network) Client(pooling httpcall.ClientOptions) *http.Client {
	client := httpcall.NewClient(pooling)
	dialing := pooling.Dialer
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network string, address string) (net.Conn, error) {
		peer, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		limited, release := context.WithTimeout(ctx, dialing.Timeout)
		defer release()
		for _, way := range []direction{outbound, inbound} {
			if err := n.Injector.await(way, peer, limited.Done(), 0); err != nil {
				return nil, fmt.Errorf("dial %s: %w", address, err)
			}
		}
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(n.IP)}}
		opened, err := dialer.DialContext(limited, network, address)
		if err != nil {
			return nil, err
		}
		return httpcall.CountConn(n.wrap(opened, dialing.UserTimeout), dialing.Traffic), nil
	}
	return client
}

// socket is a datagram socket whose datagrams go through the links.
type socket struct {
	daemon.Socket
	injector *Injector
}

// Datagrams opens an address for datagrams.
func (n Network) Datagrams(address ids.Address) (daemon.Socket, error) {
	opened, err := daemon.HostNetwork{}.Datagrams(address)
	if err != nil {
		return nil, err
	}
	return socket{Socket: opened, injector: n.Injector}, nil
}

// Send sends a datagram, or loses it.
func (s socket) Send(to ids.Address, body []byte) {
	peer, _, _ := net.SplitHostPort(string(to))
	if !s.injector.dropsDatagram(outbound, peer) {
		s.Socket.Send(to, body)
	}
}

// Receive gives the next datagram that arrives.
func (s socket) Receive(buffer []byte) (int, fmt.Stringer, error) {
	for {
		size, sender, err := s.Socket.Receive(buffer)
		if err != nil {
			return 0, sender, err
		}
		peer, _, _ := net.SplitHostPort(sender.String())
		if !s.injector.dropsDatagram(inbound, peer) {
			return size, sender, nil
		}
	}
}
