package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
)

// Time-outs of HostNetwork's servers.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
)

// Network is how a daemon reaches others and is reached by them. HostNetwork is
// the machine's own; simulations and fault injection bring others.
type Network interface {
	// Serve answers calls at an address until ctx ends, and counts the bytes where
	// traffic is not nil.
	Serve(ctx context.Context, address ids.Address, handler http.Handler, traffic *httpcall.Traffic) error
	// Client makes a client with connections of its own.
	Client(options httpcall.ClientOptions) *http.Client
	// Datagrams opens a socket at an address.
	Datagrams(address ids.Address) (Socket, error)
}

// Socket sends and receives datagrams. It may lose, repeat and reorder them.
type Socket interface {
	// Send sends a datagram; there is no error, since it may be lost in any case.
	Send(to ids.Address, body []byte)
	// Receive blocks for the next datagram and gives its length and its sender. It
	// fails once the socket is closed.
	Receive(buffer []byte) (int, fmt.Stringer, error)
	Close() error
}

// HostNetwork is the machine's network: HTTP over TCP, and UDP.
type HostNetwork struct{}

// Serve implements Network.
func (HostNetwork) Serve(ctx context.Context, address ids.Address, handler http.Handler, traffic *httpcall.Traffic) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return err
	}
	server := httpcall.NewServer(handler, readHeaderTimeout, idleTimeout)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(httpcall.CountListener(listener, traffic)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Client implements Network.
func (HostNetwork) Client(options httpcall.ClientOptions) *http.Client {
	return httpcall.NewClient(options)
}

// Datagrams implements Network.
func (HostNetwork) Datagrams(address ids.Address) (Socket, error) {
	local, err := net.ResolveUDPAddr("udp", string(address))
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", local)
	if err != nil {
		return nil, err
	}
	return udpSocket{conn}, nil
}

type udpSocket struct{ conn *net.UDPConn }

func (u udpSocket) Send(to ids.Address, body []byte) {
	if remote, err := net.ResolveUDPAddr("udp", string(to)); err == nil {
		_, _ = u.conn.WriteToUDP(body, remote)
	}
}

func (u udpSocket) Receive(buffer []byte) (int, fmt.Stringer, error) {
	return u.conn.ReadFromUDP(buffer)
}

func (u udpSocket) Close() error { return u.conn.Close() }
