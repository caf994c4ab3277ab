package httpcall

import (
	"net"
	"sync/atomic"
)

// Traffic counts the messages and bytes between daemons, over TCP and UDP, headers
// included.
type Traffic struct{ Messages, BytesIn, BytesOut atomic.Int64 }

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read reads and counts.
func (c countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.traffic.BytesIn.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countedConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.traffic.BytesOut.Add(int64(n))
	return n, err
}

// CountConn returns a connection that adds its bytes to traffic, or the
// connection itself if traffic is nil.
func CountConn(conn net.Conn, traffic *Traffic) net.Conn {
	if traffic == nil {
		return conn
	}
	return countedConn{Conn: conn, traffic: traffic}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept returns a connection whose bytes are counted.
func (c countedListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return CountConn(conn, c.traffic), nil
}

// CountListener returns a listener whose connections add their bytes to traffic,
// or the listener itself if traffic is nil.
func CountListener(listener net.Listener, traffic *Traffic) net.Listener {
	if traffic == nil {
		return listener
	}
	return countedListener{Listener: listener, traffic: traffic}
}
