package simulation

import (
	"bytes"
	"fmt"

	"onyxwell/base/ids"
	"onyxwell/control/daemon"
)

// datagram is one that arrived; a place names its sender.
type datagram struct {
	from place
	body []byte
}

type place string

// String names the place.
func (p place) String() string { return string(p) }

// socket takes datagrams.
type socket struct {
	life   *life
	inbox  chan datagram
	closed chan struct{}
}

// Datagrams opens an address for datagrams.
func (l *life) Datagrams(address ids.Address) (daemon.Socket, error) {
	opened := &socket{life: l, inbox: make(chan datagram, 256), closed: make(chan struct{})}
	l.machine.world.mu.Lock()
	defer l.machine.world.mu.Unlock()
	l.sockets[address] = opened
	return opened, nil
}

// Send sends a datagram, which may be lost, doubled or late.
func (s *socket) Send(to ids.Address, body []byte) {
	world, from := s.life.machine.world, s.life.machine.name
	if s.life.over() {
		return
	}
	copies := 1
	if world.once("datagram lost "+from+string(to), 50) {
		copies = 0
	} else if world.once("datagram twice "+from+string(to), 50) {
		copies = 2
	}
	kept := bytes.Clone(body)
	for range copies {
		world.after(world.latency(from, to), func() { world.drop(from, to, kept) })
	}
}

// drop brings a datagram to its machine.
func (w *World) drop(from string, to ids.Address, body []byte) {
	target, _ := w.at(to)
	if target == nil || target.dark || target.gone || w.link(from, target.name).cut {
		return
	}
	target.deliver(func() {
		if target.life == nil {
			return
		}
		w.mu.Lock()
		opened := target.life.sockets[to]
		w.mu.Unlock()
		if opened == nil {
			return
		}
		select {
		case opened.inbox <- datagram{from: place(from), body: body}:
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
	case <-s.life.dead:
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
