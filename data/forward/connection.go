// Package forward carries requests to runners and tells exactly what is known of
// their fate: answered, surely not run, or perhaps run.
package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"onyxwell/base/call"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

var errStale = errors.New("forward: the kept connection is too old to be trusted")

// connection counts what was written, so that a request of which nothing was
// written is known not to have run; a kept one that the runner may be closing
// refuses to begin another request.
type connection struct {
	net.Conn
	clock   clock.Clock
	written atomic.Int64
	quiet   atomic.Int64
	host    *host
	// next is what the request that comes next asks of the connection.
	next atomic.Pointer[asking]
}

// asking says by what a connection's age is judged, and idle how old it was.
type asking struct {
	trust *trust
	once  bool
	idle  atomic.Int64
}

// host is what is known of one runner's address.
type host struct{ keep atomic.Int64 }

// Read notes when the runner was last heard.
func (link *connection) Read(buffer []byte) (int, error) {
	size, fault := link.Conn.Read(buffer)
	if size > 0 {
		link.quiet.Store(int64(link.clock.Now()))
	}
	return size, fault
}

// Write refuses to begin on a connection that was idle for too long.
func (link *connection) Write(buffer []byte) (int, error) {
	if quiet := link.quiet.Load(); quiet > 0 {
		idle := link.clock.Now().Since(clock.Instant(quiet))
		next := link.next.Load()
		if keep := link.host.keep.Load(); keep > 0 && idle > clock.Span(keep) {
			return 0, errStale
		}
		if next != nil && !next.trust.allows(idle, next.once) {
			return 0, errStale
		}
		if next != nil {
			next.idle.Store(int64(idle))
		}
		link.quiet.Store(0)
	}
	size, fault := link.Conn.Write(buffer)
	link.written.Add(int64(size))
	return size, fault
}

// Options are what a sender is made from.
type Options struct {
	Clock   clock.Clock
	Dialing call.Dialing
	// Idle is how long a connection is kept where the runner does not say.
	Idle    clock.Span
	PerHost int
}

// Sender sends requests to runners over kept connections.
type Sender struct {
	options   Options
	transport *http.Transport
	lock      sync.Mutex
	hosts     map[string]*host
	trusts    map[ids.Service]*trust
}

// NewSender makes a sender.
//
// Example:
//
//	sender := forward.NewSender(forward.Options{Clock: top.Clock, Dialing: dialing, Idle: 10 * clock.Second, PerHost: 64})
func NewSender(options Options) *Sender {
	sender := &Sender{options: options, hosts: map[string]*host{}, trusts: map[ids.Service]*trust{}}
	sender.transport = &http.Transport{
		DialContext:         sender.dial,
		DisableCompression:  true,
		IdleConnTimeout:     options.Idle,
		MaxIdleConnsPerHost: options.PerHost,
		ReadBufferSize:      4096,
		WriteBufferSize:     8192,
	}
	return sender
}

func (sender *Sender) dial(ctx context.Context, network string, address string) (net.Conn, error) {
	opened, fault := sender.options.Dialing.Dial(ctx, network, address)
	if fault != nil {
		return nil, fault
	}
	return &connection{Conn: opened, clock: sender.options.Clock, host: sender.host(address)}, nil
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

// keep learns from an answer how long the runner keeps an idle connection; the
// last fifth of that time is not relied on.
func (sender *Sender) keep(address string, header http.Header) {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if seconds, fault := strconv.Atoi(text); fault == nil && seconds > 0 {
			sender.host(address).keep.Store(int64(clock.Span(seconds) * clock.Second * 4 / 5))
		}
	}
}

// Forget closes the kept connections that nobody uses.
//
// Example:
//
//	sender.Forget()
func (sender *Sender) Forget() { sender.transport.CloseIdleConnections() }
