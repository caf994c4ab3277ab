package proxy

import (
	"net"
	"sync"
)

const (
	// reservedFiles are the descriptors that the machine keeps for files.
	reservedFiles = 200
	// clientsPart is the part of the others, one in so many, that clients'
	// connections may take; requests to runners need as many.
	clientsPart = 2
	// crowdedPart is the part of the places, in quarters, from which connections
	// end with their answers, so that others get their turn.
	crowdedPart = 3
)

// places are those for clients' connections. A nil one has places for all.
type places struct {
	taken  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// placesOf makes the places of a process that may open so many files; 0 is no
// bound.
func placesOf(openFiles int) *places {
	if openFiles <= 0 {
		return nil
	}
	count := max(1, (openFiles-reservedFiles)/clientsPart)
	return &places{taken: make(chan struct{}, count), closed: make(chan struct{})}
}

// take waits for a place.
func (p *places) take() error {
	if p == nil {
		return nil
	}
	select {
	case p.taken <- struct{}{}:
		return nil
	case <-p.closed:
		return net.ErrClosed
	}
}

// leave gives a place back.
func (p *places) leave() {
	if p != nil {
		<-p.taken
	}
}

// close has nobody wait any more.
func (p *places) close() {
	if p != nil {
		p.once.Do(func() { close(p.closed) })
	}
}

// crowded tells whether few places are left.
func (p *places) crowded() bool {
	return p != nil && len(p.taken) >= max(1, cap(p.taken)*crowdedPart/4)
}
