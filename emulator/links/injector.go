// Package links injects network faults into a daemon's connections and datagrams,
// inside the daemon's process: partitions in one direction or both, delays, lost
// datagrams and responses lost after the request was carried out. Only test
// programs use it; the programs that ship do not contain it.
package links

import (
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"onyxwell/base/clock"
)

// Faults are the faults in force at a daemon.
type Faults struct {
	// BlockFrom are the IP addresses from which nothing arrives, BlockTo those to
	// which nothing leaves. "*" stands for all.
	BlockFrom []string `json:"deaf,omitempty"`
	BlockTo   []string `json:"mute,omitempty"`
	// DelayMS is by how long every read and write is delayed.
	DelayMS int `json:"late_ms,omitempty"`
	// ResponseLoss is the probability that a response is lost once the request was
	// carried out, DatagramLoss that a datagram is.
	ResponseLoss float64 `json:"lost_answers,omitempty"`
	DatagramLoss float64 `json:"lost_datagrams,omitempty"`
}

// Injector holds the faults in force at a daemon. The zero value injects none. It
// is safe for concurrent use.
type Injector struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed by the next Set
}

// Follow sets the faults that it reads, one JSON object after another, until the
// reader ends or an object is invalid.
func (i *Injector) Follow(reader io.Reader) {
	decoder := json.NewDecoder(reader)
	for {
		var faults Faults
		if decoder.Decode(&faults) != nil {
			return
		}
		i.Set(faults)
	}
}

// Set replaces the faults. Whoever waits for a blocked link looks again.
func (i *Injector) Set(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = faults
	if i.changed != nil {
		close(i.changed)
	}
	i.changed = make(chan struct{})
}

// current returns the faults in force, and a channel that is closed when they are
// replaced.
func (i *Injector) current() (Faults, <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return i.faults, i.changed
}

// direction returns the peers that are blocked in one direction, as seen from
// this daemon.
type direction func(Faults) []string

func inbound(faults Faults) []string  { return faults.BlockFrom }
func outbound(faults Faults) []string { return faults.BlockTo }

func (d direction) blocked(faults Faults, peer string) bool {
	peers := d(faults)
	return slices.Contains(peers, "*") || slices.Contains(peers, peer)
}

var (
	errClosed         = errors.New("links: the connection was closed here")
	errUnacknowledged = errors.New("links: the other side confirms nothing")
)

// await waits until a direction to a peer is no longer blocked, and then for the
// delay in force. It returns errClosed once closed is, and errUnacknowledged once
// the direction has been blocked for the timeout; 0 is no timeout.
func (i *Injector) await(dir direction, peer string, closed <-chan struct{}, timeout time.Duration) error {
	var expired <-chan struct{}
	if timeout > 0 {
		expired = clock.NewMonotonic().After(timeout)
	}
	for {
		faults, changed := i.current()
		if !dir.blocked(faults, peer) {
			return delay(faults, closed)
		}
		select {
		case <-changed:
		case <-closed:
			return errClosed
		case <-expired:
			return errUnacknowledged
		}
	}
}

func delay(faults Faults, closed <-chan struct{}) error {
	if faults.DelayMS <= 0 {
		return nil
	}
	select {
	case <-clock.NewMonotonic().After(time.Duration(faults.DelayMS) * time.Millisecond):
		return nil
	case <-closed:
		return errClosed
	}
}

// dropsDatagram decides whether a datagram from or to a peer is lost.
func (i *Injector) dropsDatagram(dir direction, peer string) bool {
	faults, _ := i.current()
	return dir.blocked(faults, peer) || rand.Float64() < faults.DatagramLoss
}

// dropsResponse decides whether the next response is lost.
func (i *Injector) dropsResponse() bool {
	faults, _ := i.current()
	return rand.Float64() < faults.ResponseLoss
}
