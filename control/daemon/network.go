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

// Timeouts of the HTTP servers of HostNetwork.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
)

// Network connects a daemon to other daemons. HostNetwork uses the host's network;
// simulations and fault injection have other implementations.
type Network interface {
	// Serve serves calls at an address until ctx is done. It counts the bytes in traffic
	// unless that is nil.
	Serve(ctx context.Context, address ids.Address, handler http.Handler, traffic *httpcall.Traffic) error
	// Client returns a client with its own connections.
	Client(options httpcall.ClientOptions) *http.Client
	// Datagrams opens a datagram socket at an address.
	Datagrams(address ids.Address) (Socket, error)
}

// Socket sends and receives datagrams, which may be lost, duplicated or reordered.
type Socket interface {
	// Send sends a datagram. It returns no error, because a datagram may be lost anyway.
	Send(to ids.Address, body []byte)
	// Receive waits for the next datagram and returns its length and its sender. It
	// fails once the socket is closed.
	Receive(buffer []byte) (int, fmt.Stringer, error)
	Close() error
}

// HostNetwork is the network of the host: HTTP over TCP, and UDP datagrams.
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
