// Package runner emulates a model runner over real connections. It answers as the
// protocol between routers and runners asks, and injects faults at set rates. What
// is injected into an attempt is drawn from the seed, the runner's id and the
// attempt's id alone, so the same attempt meets the same faults again.
package runner

import (
	"context"
	"fmt"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/emulator/oracle"
)

// Options are what a runner is started with.
type Options struct {
	// Scope gives the clock. Its end ends all pauses, but not the runner.
	Scope    scope.Scope
	Settings Settings
	// Address is where it listens; 127.0.0.1:0 chooses a port.
	Address string
	// OnRequest is called with every request that arrived whole, or whose response
	// comes before its body, before a byte of the response is written. It may be
	// nil, and has to be safe for concurrent use.
	OnRequest func(run oracle.Run)
	// OnLateBody is called with the hash of each body that was read after the
	// response. It may be nil, and has to be safe for concurrent use.
	OnLateBody func(attempt string, body uint64)
}

// Incarnation is the server that has the runner's address. A takeover begins
// another.
type Incarnation struct {
	ID      string
	Service string
}

// Runner is an emulated runner. It is safe for concurrent use.
type Runner struct {
	options  Options
	settings Settings
	ctx      context.Context // of all pauses
	clock    clock.Clock
	listener net.Listener
	slots    slots
	cache    cache
	// faultsStopped says that no fault is drawn any more.
	faultsStopped atomic.Bool

	mu          sync.Mutex
	incarnation Incarnation
	takeovers   int
	startedAt   clock.Instant // of the incarnation
	failed      bool          // the incarnation was overloaded during its warm-up
	// coldRequests came since coldSince while the incarnation was warming up.
	coldSince    clock.Instant
	coldRequests float64
	conns        map[*serverConn]bool
	faultCounts  map[string]int
	healthProbes int
	runs         int
	// foreign are the last two different attempts, the newest first, for responses
	// that belong to another attempt.
	foreign [2]string
}

// noAttempt stands for an attempt that no client has sent.
const noAttempt = "0000000000000000"

// coldWindow is how long requests during warm-up are counted together.
const coldWindow = time.Second

// overloadFactor is at how many times WarmupRate an incarnation fails.
const overloadFactor = 2

// Start checks the settings and starts a runner. The caller has to close it.
func Start(options Options) (*Runner, error) {
	settings := options.Settings
	if err := settings.Check(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("runner: %w", err)
	}
	r := &Runner{
		options: options, settings: settings, ctx: options.Scope, clock: options.Scope.Clock, listener: listener,
		slots:       slots{capacity: settings.Capacity, queue: settings.Queue},
		cache:       cache{limit: settings.CacheTokens},
		incarnation: Incarnation{ID: settings.ID, Service: settings.Services[0]},
		startedAt:   options.Scope.Now(), conns: map[*serverConn]bool{}, faultCounts: map[string]int{},
		foreign: [2]string{noAttempt, noAttempt},
	}
	go r.accept()
	return r, nil
}

// Address returns the address on which the runner listens.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Incarnation returns the present incarnation.
func (r *Runner) Incarnation() Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// FaultCounts returns how often each fault was injected, by name.
func (r *Runner) FaultCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.faultCounts)
}

// OpenConns returns how many connections are served. After Close it falls to 0
// once all requests were reported.
func (r *Runner) OpenConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// TakeOver begins another incarnation at the address. Connections are reset, or
// stay open and are served by the new incarnation.
func (r *Runner) TakeOver(service string, reset bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeovers++
	r.incarnation = Incarnation{ID: fmt.Sprintf("%s.%d", r.settings.ID, r.takeovers), Service: service}
	r.startedAt, r.failed = r.clock.Now(), false
	if reset {
		r.resetConns()
	}
}

// StopFaults ends the faults of the settings: none is drawn any more, and the
// bytes that an earlier one left with a connection are not written.
func (r *Runner) StopFaults() { r.faultsStopped.Store(true) }

// drawFaults draws the faults of an attempt.
func (r *Runner) drawFaults(attempt string) *faultDraw {
	rates := r.settings.Faults
	if r.faultsStopped.Load() {
		rates = nil
	}
	return rates.draw(r.settings.Seed, r.settings.ID, attempt)
}

// Close closes the listener and resets all connections. It doesn't wait for the
// requests that are running; see OpenConns.
func (r *Runner) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetConns()
}

// resetConns requires r.mu.
func (r *Runner) resetConns() {
	for conn := range r.conns {
		conn.reset()
	}
}

// accept serves connections until the listener is closed.
func (r *Runner) accept() {
	for {
		tcp, err := r.listener.Accept()
		if err != nil {
			return
		}
		conn := newServerConn(r, tcp.(*net.TCPConn))
		if !r.register(conn) {
			conn.reset()
			continue
		}
		go conn.serve()
	}
}

// register adds a connection, and reports whether MaxConns allows it.
func (r *Runner) register(conn *serverConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if limit := r.settings.MaxConns; limit > 0 && len(r.conns) >= limit {
		return false
	}
	r.conns[conn] = true
	return true
}

func (r *Runner) unregister(conn *serverConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// withTimeout returns a context that ends after a time-out on the runner's clock.
func (r *Runner) withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	return r.clock.WithTimeout(r.ctx, timeout)
}

func (r *Runner) countFaults(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		r.faultCounts[name]++
	}
}

// loadText returns the value of the load header: running, queued, capacity.
func (r *Runner) loadText() string {
	running, queued, _ := r.slots.load()
	return fmt.Sprintf("%d,%d,%d", running, queued, r.settings.Capacity)
}

// warmupLeft returns how much longer the incarnation is warming up.
func (r *Runner) warmupLeft() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.settings.Warmup-r.clock.Now().Since(r.startedAt))
}

// admitWhileCold counts a request during warm-up. It returns false from the
// request on that overloads the incarnation.
func (r *Runner) admitWhileCold() bool {
	if r.settings.WarmupRate == 0 || r.warmupLeft() == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if now.Since(r.coldSince) >= coldWindow {
		r.coldSince, r.coldRequests = now, 0
	}
	r.coldRequests++
	r.failed = r.failed || r.coldRequests > overloadFactor*r.settings.WarmupRate
	return !r.failed
}

// newSeal returns the seal of a new run, and the incarnation that runs it.
func (r *Runner) newSeal() (string, Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	return fmt.Sprintf("%s.%d", r.settings.ID, r.runs), r.incarnation
}

// swapForeign remembers an attempt and returns the last one that differs from it.
func (r *Runner) swapForeign(attempt string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.foreign[0] != attempt {
		r.foreign = [2]string{attempt, r.foreign[0]}
	}
	return r.foreign[1]
}
