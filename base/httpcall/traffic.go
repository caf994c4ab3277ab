package httpcall

import (
	"net"
	"sync/atomic"
)

// Traffic counts what a daemon's own calls and datagrams carry, heads included.
type Traffic struct{ Messages, BytesIn, BytesOut atomic.Int64 }

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read counts what comes in.
func (c countedConn) Read(buffer []byte) (int, error) {
	size, err := c.Conn.Read(buffer)
	c.traffic.BytesIn.Add(int64(size))
	return size, err
}

// Write counts what goes out.
func (c countedConn) Write(buffer []byte) (int, error) {
	size, err := c.Conn.Write(buffer)
	c.traffic.BytesOut.Add(int64(size))
	return size, err
}

// CountConn counts the bytes of a connection; without a count it stays as it is.
func CountConn(link net.Conn, traffic *Traffic) net.Conn {
	if traffic == nil {
		return link
	}
	return countedConn{Conn: link, traffic: traffic}
}

type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept counts the bytes of what it accepts.
func (c countedListener) Accept() (net.Conn, error) {
	link, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return CountConn(link, c.traffic), nil
}

// CountListener counts the bytes of all connections that it accepts.
func CountListener(listener net.Listener, traffic *Traffic) net.Listener {
	if traffic == nil {
		return listener
	}
	return countedListener{Listener: listener, traffic: traffic}
}
