package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Network is how a daemon reaches others and is reached by them. The machine's
// own is the default; a simulation gives another.
type Network interface {
	// Serve answers calls at an address until the scope ends; what is carried is
	// counted where there is a count.
	Serve(inner scope.Scope, address ids.Address, handler http.Handler, count *httpcall.Traffic) error
	// Client makes a client with connections of its own.
	Client(pooling httpcall.ClientOptions) *http.Client
	// Datagrams opens an address for datagrams.
	Datagrams(address ids.Address) (Socket, error)
}

// Socket sends and receives datagrams; what is lost is lost.
type Socket interface {
	Send(to ids.Address, body []byte)
	// Receive waits for the next datagram and gives its length and its sender.
	Receive(buffer []byte) (int, fmt.Stringer, error)
	Close() error
}

// HostNetwork is the network of the machine.
type HostNetwork struct{}

// Serve listens at the address and answers calls there.
func (HostNetwork) Serve(ctx scope.Scope, address ids.Address, handler http.Handler, count *httpcall.Traffic) error {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return err
	}
	server := httpcall.NewServer(handler, 5*clock.Second, 60*clock.Second)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(httpcall.CountListener(listener, count)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Client makes a client over TCP.
func (HostNetwork) Client(pooling httpcall.ClientOptions) *http.Client {
	return httpcall.NewClient(pooling)
}

// Datagrams opens a UDP socket.
func (HostNetwork) Datagrams(address ids.Address) (Socket, error) {
	place, err := net.ResolveUDPAddr("udp", string(address))
	if err != nil {
		return nil, err
	}
	opened, err := net.ListenUDP("udp", place)
	if err != nil {
		return nil, err
	}
	return udpSocket{opened}, nil
}

type udpSocket struct{ conn *net.UDPConn }

func (u udpSocket) Send(to ids.Address, body []byte) {
	if address, err := net.ResolveUDPAddr("udp", string(to)); err == nil {
		_, _ = u.conn.WriteToUDP(body, address)
	}
}

func (u udpSocket) Receive(buffer []byte) (int, fmt.Stringer, error) {
	return u.conn.ReadFromUDP(buffer)
}

func (u udpSocket) Close() error { return u.conn.Close() }
