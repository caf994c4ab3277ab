package upstream

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
	mu   sync.Mutex
	idle []*connection
}

// pop takes the connection that was used last.
func (h *host) pop() *connection {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.idle) - 1
	if last < 0 {
		return nil
	}
	link := h.idle[last]
	h.idle[last] = nil
	h.idle = h.idle[:last]
	return link
}

// lapsed tells whether an idle age is more than the runner allows.
func (h *host) lapsed(idle clock.Span) bool {
	keep := clock.Span(h.keep.Load())
	return keep > 0 && idle > keep
}

// clear closes the idle connections of more than an age; it counts the others.
func (h *host) clear(now clock.Instant, age clock.Span) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idle = slices.DeleteFunc(h.idle, func(link *connection) bool {
		idle := now.Since(link.heard)
		if idle < age && !h.lapsed(idle) {
			return false
		}
		_ = link.Conn.Close()
		return true
	})
	return len(h.idle)
}

// take gives a connection on which nothing of this or another request can still
// come: a kept one, or a new one where there is none. An attempt that went to
// the address before always gets a new one.
func (s *Sender) take(ctx scope.Scope, trip Trip) (*connection, sign, error) {
	host, now := s.host(string(trip.Address)), s.options.Clock.Now()
	trust, old := s.trustOf(trip.Service), false
	for !trip.Request.went(trip.Address) {
		link := host.pop()
		if link == nil {
			break
		}
		link.idle = now.Since(link.heard)
		tooOld := host.lapsed(link.idle) || !trust.allows(link.idle, trip.Once)
		if !tooOld && link.idle < s.options.Idle && !link.bore(trip.Request.Attempt) && !link.disturbed() {
			return link, proper, nil
		}
		_ = link.Conn.Close()
		old = old || tooOld
	}
	if old {
		return nil, stale, nil
	}
	opened, err := s.dial(ctx, "tcp", string(trip.Address))
	if err != nil {
		return nil, dialSign(err), err
	}
	return newConnection(opened, s.options.Clock, host), proper, nil
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
func (s *Sender) put(link *connection) {
	host := link.host
	host.mu.Lock()
	full := len(host.idle) >= max(fewestKept, s.options.PerHost)
	if !full {
		host.idle = append(host.idle, link)
	}
	host.mu.Unlock()
	if full {
		_ = link.Conn.Close()
	}
	if s.options.Idle > 0 && s.sweeping.CompareAndSwap(false, true) {
		go s.sweep()
	}
}

// sweeps is how many times in the longest idle age all hosts are swept.
const sweeps = 4

// sweep closes what was idle for too long, as long as there is anything idle.
func (s *Sender) sweep() {
	for {
		<-s.options.Clock.After(s.options.Idle / sweeps)
		if s.clear(s.options.Clock.Now(), s.options.Idle) == 0 {
			s.sweeping.Store(false)
			return
		}
	}
}

// Forget closes the kept connections that nobody uses.
func (s *Sender) Forget() { _ = s.clear(s.options.Clock.Now(), 0) }

// clear closes the idle connections of more than an age; it counts the others.
func (s *Sender) clear(now clock.Instant, age clock.Span) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := 0
	for _, host := range s.hosts {
		left += host.clear(now, age)
	}
	return left
}

func (s *Sender) host(address string) *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.hosts[address]
	if known == nil {
		known = &host{}
		s.hosts[address] = known
	}
	return known
}

// learn takes from an answer how long the runner keeps an idle connection; the
// last fifth of that time is not relied on.
func (h *host) learn(header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil && seconds > 0 {
			h.keep.Store(int64(clock.Span(min(seconds, longestKept)) * clock.Second * 4 / 5))
		}
	}
}

// longestKept, in seconds, is the most of a runner's word that is remembered.
const longestKept = 24 * 60 * 60

// went tells whether the request was sent to an address before.
func (r *Request) went(address ids.Address) bool {
	return slices.Contains(r.sent, address)
}
