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

// Faults is what links are told: from now on exactly this is broken.
type Faults struct {
	// BlockFrom are the addresses from which nothing arrives here, Mute those to
	// which nothing leaves. "*" stands for all.
	BlockFrom []string `json:"deaf,omitempty"`
	BlockTo   []string `json:"mute,omitempty"`
	// DelayMS holds all bytes up for so long.
	DelayMS int `json:"late_ms,omitempty"`
	// ResponseLoss is the part of the answers, 0 to 1, that are lost after the act;
	// DatagramLoss the part of the datagrams.
	ResponseLoss float64 `json:"lost_answers,omitempty"`
	DatagramLoss float64 `json:"lost_datagrams,omitempty"`
}

// Injector are the links of one daemon. The zero value is whole.
type Injector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

// Follow takes orders, one JSON object after another, until they end.
func (i *Injector) Follow(orders io.Reader) {
	decoder := json.NewDecoder(orders)
	for {
		var order Faults
		if decoder.Decode(&order) != nil {
			return
		}
		i.Set(order)
	}
}

// Set replaces what is broken.
func (i *Injector) Set(order Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = order
	if i.changed != nil {
		close(i.changed)
	}
	i.changed = make(chan struct{})
}

func matches(list []string, peer string) bool {
	for _, name := range list {
		if name == "*" || name == peer {
			return true
		}
	}
	return false
}

// current gives what is broken, and a channel that is closed when that changes.
func (i *Injector) current() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return i.faults, i.changed
}

// direction is a way that bytes go, as seen from here.
type direction func(Faults) []string

func inbound(order Faults) []string  { return order.BlockFrom }
func outbound(order Faults) []string { return order.BlockTo }

var (
	errClosed         = errors.New("links: the connection was closed here")
	errUnacknowledged = errors.New("links: the other side confirms nothing")
)

// await waits until a way to a peer is whole. It gives up when the connection is
// closed, or, where there is a limit, after that.
func (i *Injector) await(way direction, peer string, closed <-chan struct{}, limit clock.Span) error {
	var over <-chan struct{}
	if limit > 0 {
		over = clock.NewMonotonic().After(limit)
	}
	for {
		order, changed := i.current()
		if !matches(way(order), peer) {
			return i.delay(order, closed)
		}
		select {
		case <-changed:
		case <-closed:
			return errClosed
		case <-over:
			return errUnacknowledged
		}
	}
}

func (i *Injector) delay(order Faults, closed <-chan struct{}) error {
	if order.DelayMS <= 0 {
		return nil
	}
	select {
	case <-clock.NewMonotonic().After(clock.Span(order.DelayMS) * clock.Millisecond):
		return nil
	case <-closed:
		return errClosed
	}
}

// dropsDatagram tells whether a datagram on a way to a peer is lost.
func (i *Injector) dropsDatagram(way direction, peer string) bool {
	order, _ := i.current()
	return matches(way(order), peer) || rand.Float64() < order.DatagramLoss
}

// dropsResponse tells whether the next answer is lost.
func (i *Injector) dropsResponse() bool {
	order, _ := i.current()
	return rand.Float64() < order.ResponseLoss
}
