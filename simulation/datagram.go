package simulation

import (
	"bytes"
	"fmt"

	"onyxwell/base/ids"
	"onyxwell/control/daemon"
)

// datagram is one that arrived; a place names its sender.
type datagram struct {
	from senderName
	body []byte
}

type senderName string

// String names the place.
func (s senderName) String() string { return string(s) }

// socket takes datagrams.
type socket struct {
	process *process
	inbox   chan datagram
	closed  chan struct{}
}

// Datagrams opens an address for datagrams.
func (p *process) Datagrams(address ids.Address) (daemon.Socket, error) {
	opened := &socket{process: p, inbox: make(chan datagram, 256), closed: make(chan struct{})}
	p.machine.cluster.mu.Lock()
	defer p.machine.cluster.mu.Unlock()
	p.sockets[address] = opened
	return opened, nil
}

// Send sends a datagram, which may be lost, doubled or late.
func (s *socket) Send(to ids.Address, body []byte) {
	world, from := s.process.machine.cluster, s.process.machine.name
	if s.process.isDead() {
		return
	}
	copies := 1
	if world.drawOneIn("datagram lost "+from+string(to), 50) {
		copies = 0
	} else if world.drawOneIn("datagram twice "+from+string(to), 50) {
		copies = 2
	}
	kept := bytes.Clone(body)
	for range copies {
		world.after(world.latency(from, to), func() { world.deliverDatagram(from, to, kept) })
	}
}

// deliverDatagram brings a datagram to its machine.
func (c *Cluster) deliverDatagram(from string, to ids.Address, body []byte) {
	target, _ := c.resolve(to)
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

// Receive waits for the next datagram.
func (s *socket) Receive(buffer []byte) (int, fmt.Stringer, error) {
	select {
	case got := <-s.inbox:
		return copy(buffer, got.body), got.from, nil
	case <-s.closed:
		return 0, nil, errDead
	case <-s.process.dead:
		return 0, nil, errDead
	}
}

// Close ends the socket.
func (s *socket) Close() error {
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	return nil
}
