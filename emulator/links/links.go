// Package links stands between a daemon and the machine's network, inside the
// daemon's process, and breaks its links as it is told: cuts in one direction or
// both, late bytes, lost datagrams, answers that are lost after the act. It is
// for programs that try daemons out; those that ship do not contain it.
package links

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"sync"

	"onyxwell/base/clock"
)

// Order is what links are told: from now on exactly this is broken.
type Order struct {
	// Deaf are the addresses from which nothing arrives here, Mute those to
	// which nothing leaves. "*" stands for all.
	Deaf []string `json:"deaf,omitempty"`
	Mute []string `json:"mute,omitempty"`
	// LateMS holds all bytes up for so long.
	LateMS int `json:"late_ms,omitempty"`
	// LostAnswers is the part of the answers, 0 to 1, that are lost after the act;
	// LostDatagrams the part of the datagrams.
	LostAnswers   float64 `json:"lost_answers,omitempty"`
	LostDatagrams float64 `json:"lost_datagrams,omitempty"`
}

// Links are the links of one daemon. The zero value is whole.
type Links struct {
	mu      sync.Mutex
	order   Order
	changed chan struct{}
}

// Obey takes orders, one JSON object after another, until they end.
func (l *Links) Obey(orders io.Reader) {
	decoder := json.NewDecoder(orders)
	for {
		var order Order
		if decoder.Decode(&order) != nil {
			return
		}
		l.Set(order)
	}
}

// Set replaces what is broken.
func (l *Links) Set(order Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.order = order
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

func named(list []string, peer string) bool {
	for _, name := range list {
		if name == "*" || name == peer {
			return true
		}
	}
	return false
}

// now gives what is broken, and a channel that is closed when that changes.
func (l *Links) now() (Order, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.order, l.changed
}

// direction is a way that bytes go, as seen from here.
type direction func(Order) []string

func inward(order Order) []string  { return order.Deaf }
func outward(order Order) []string { return order.Mute }

var (
	errClosed = errors.New("links: the connection was closed here")
	errSilent = errors.New("links: the other side confirms nothing")
)

// pass waits until a way to a peer is whole. It gives up when the connection is
// closed, or, where there is a limit, after that.
func (l *Links) pass(way direction, peer string, closed <-chan struct{}, limit clock.Span) error {
	var over <-chan struct{}
	if limit > 0 {
		over = clock.NewMonotonic().After(limit)
	}
	for {
		order, changed := l.now()
		if !named(way(order), peer) {
			return l.late(order, closed)
		}
		select {
		case <-changed:
		case <-closed:
			return errClosed
		case <-over:
			return errSilent
		}
	}
}

func (l *Links) late(order Order, closed <-chan struct{}) error {
	if order.LateMS <= 0 {
		return nil
	}
	select {
	case <-clock.NewMonotonic().After(clock.Span(order.LateMS) * clock.Millisecond):
		return nil
	case <-closed:
		return errClosed
	}
}

// drops tells whether a datagram on a way to a peer is lost.
func (l *Links) drops(way direction, peer string) bool {
	order, _ := l.now()
	return named(way(order), peer) || rand.Float64() < order.LostDatagrams
}

// losesAnswer tells whether the next answer is lost.
func (l *Links) losesAnswer() bool {
	order, _ := l.now()
	return rand.Float64() < order.LostAnswers
}
