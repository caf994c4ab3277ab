package simulation

import (
	"bytes"
	"fmt"

	"onyxwell/base/ids"
	"onyxwell/control/daemon"
)

const (
	// datagramOdds is of how many datagrams one is lost, and of how many of the
	// others one is duplicated.
	datagramOdds = 50
	// datagramBuffer is how many datagrams a socket holds; further ones are lost.
	datagramBuffer = 256
)

// datagram is a datagram that arrived.
type datagram struct {
	from senderName
	body []byte
}

// senderName is the name of the host that sent a datagram.
type senderName string

// String implements fmt.Stringer.
func (s senderName) String() string { return string(s) }

// socket implements daemon.Socket.
type socket struct {
	process *process
	inbox   chan datagram
	closed  chan struct{}
}

// Datagrams implements daemon.Network.
func (p *process) Datagrams(address ids.Address) (daemon.Socket, error) {
	opened := &socket{process: p, inbox: make(chan datagram, datagramBuffer), closed: make(chan struct{})}
	p.machine.cluster.mu.Lock()
	defer p.machine.cluster.mu.Unlock()
	p.sockets[address] = opened
	return opened, nil
}

// Send sends a datagram, which may be lost, duplicated or reordered.
func (s *socket) Send(to ids.Address, body []byte) {
	cluster, from := s.process.machine.cluster, s.process.machine.name
	if s.process.isDead() {
		return
	}
	copies := 1
	if cluster.drawOneIn("datagram lost "+from+string(to), datagramOdds) {
		copies = 0
	} else if cluster.drawOneIn("datagram twice "+from+string(to), datagramOdds) {
		copies = 2
	}
	body = bytes.Clone(body)
	for range copies {
		cluster.after(cluster.latency(from, to), func() { cluster.deliverDatagram(from, to, body) })
	}
}

// deliverDatagram brings a datagram to its machine. One on a link that is cut is
// lost.
func (c *Cluster) deliverDatagram(from string, to ids.Address, body []byte) {
	target := c.resolve(to)
	if target == nil || target.poweredOff || target.removed || c.link(from, target.name).cut {
		return
	}
	target.deliver(func() {
		if target.process == nil {
			return
		}
		c.mu.Lock()
		opened := target.process.sockets[to]
		c.mu.Unlock()
		if opened == nil {
			return
		}
		select {
		case opened.inbox <- datagram{from: senderName(from), body: body}:
		default:
		}
	})
}

// Receive implements daemon.Socket.
func (s *socket) Receive(buffer []byte) (int, fmt.Stringer, error) {
	select {
	case received := <-s.inbox:
		return copy(buffer, received.body), received.from, nil
	case <-s.closed:
		return 0, nil, errDead
	case <-s.process.dead:
		return 0, nil, errDead
	}
}

// Close implements daemon.Socket.
func (s *socket) Close() error {
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	return nil
}
