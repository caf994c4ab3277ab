package forward

import (
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// host is what is known of one runner's address, and its idle connections.
type host struct {
	keep atomic.Int64
	lock sync.Mutex
	idle []*connection
}

// pop takes the connection that was used last.
func (host *host) pop() *connection {
	host.lock.Lock()
	defer host.lock.Unlock()
	last := len(host.idle) - 1
	if last < 0 {
		return nil
	}
	link := host.idle[last]
	host.idle[last] = nil
	host.idle = host.idle[:last]
	return link
}

// lapsed tells whether an idle age is more than the runner allows.
func (host *host) lapsed(idle clock.Span) bool {
	keep := clock.Span(host.keep.Load())
	return keep > 0 && idle > keep
}

// clear closes the idle connections of more than an age; it counts the others.
func (host *host) clear(now clock.Instant, age clock.Span) int {
	host.lock.Lock()
	defer host.lock.Unlock()
	host.idle = slices.DeleteFunc(host.idle, func(link *connection) bool {
		idle := now.Since(link.heard)
		if idle < age && !host.lapsed(idle) {
			return false
		}
		_ = link.Conn.Close()
		return true
	})
	return len(host.idle)
}

// take gives a connection on which nothing of this or another request can still
// come: a kept one, or a new one where there is none. An attempt that went to
// the address before always gets a new one.
func (sender *Sender) take(inner scope.Scope, trip Trip) (*connection, sign, error) {
	host, now := sender.host(string(trip.Address)), sender.options.Clock.Now()
	trust, old := sender.trustOf(trip.Service), false
	for !trip.Request.went(trip.Address) {
		link := host.pop()
		if link == nil {
			break
		}
		link.idle = now.Since(link.heard)
		tooOld := host.lapsed(link.idle) || !trust.allows(link.idle, trip.Once)
		if !tooOld && link.idle < sender.options.Idle && !link.bore(trip.Request.Attempt) && !link.disturbed() {
			return link, proper, nil
		}
		_ = link.Conn.Close()
		old = old || tooOld
	}
	if old {
		return nil, stale, nil
	}
	opened, err := sender.dial(inner, "tcp", string(trip.Address))
	if err != nil {
		return nil, dialSign(err), err
	}
	return newConnection(opened, sender.options.Clock, host), proper, nil
}

// shortages are errors of this machine: it has no descriptor, port or memory left.
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM}

// dialSign tells by which sign a failed dial is known.
func dialSign(err error) sign {
	for _, shortage := range shortages {
		if errors.Is(err, shortage) {
			return starved
		}
	}
	return undialed
}

// fewestKept is how many idle connections to one runner are kept at least.
const fewestKept = 2

// put keeps a connection for the next request.
func (sender *Sender) put(link *connection) {
	host := link.host
	host.lock.Lock()
	full := len(host.idle) >= max(fewestKept, sender.options.PerHost)
	if !full {
		host.idle = append(host.idle, link)
	}
	host.lock.Unlock()
	if full {
		_ = link.Conn.Close()
	}
	if sender.options.Idle > 0 && sender.sweeping.CompareAndSwap(false, true) {
		go sender.sweep()
	}
}

// sweeps is how many times in the longest idle age all hosts are swept.
const sweeps = 4

// sweep closes what was idle for too long, as long as there is anything idle.
func (sender *Sender) sweep() {
	for {
		<-sender.options.Clock.After(sender.options.Idle / sweeps)
		if sender.clear(sender.options.Clock.Now(), sender.options.Idle) == 0 {
			sender.sweeping.Store(false)
			return
		}
	}
}

// Forget closes the kept connections that nobody uses.
func (sender *Sender) Forget() { _ = sender.clear(sender.options.Clock.Now(), 0) }

// clear closes the idle connections of more than an age; it counts the others.
func (sender *Sender) clear(now clock.Instant, age clock.Span) int {
	sender.lock.Lock()
	defer sender.lock.Unlock()
	left := 0
	for _, host := range sender.hosts {
		left += host.clear(now, age)
	}
	return left
}

func (sender *Sender) host(address string) *host {
	sender.lock.Lock()
	defer sender.lock.Unlock()
	known := sender.hosts[address]
	if known == nil {
		known = &host{}
		sender.hosts[address] = known
	}
	return known
}

// learn takes from an answer how long the runner keeps an idle connection; the
// last fifth of that time is not relied on.
func (host *host) learn(header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			host.keep.Store(int64(clock.Span(min(seconds, longestKept)) * clock.Second * 4 / 5))
		}
	}
}

// longestKept, in seconds, is the most of a runner's word that is remembered.
const longestKept = 24 * 60 * 60

// went tells whether the request was sent to an address before.
func (request *Request) went(address ids.Address) bool {
	return slices.Contains(request.sent, address)
}
