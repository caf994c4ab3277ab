package runner

import (
	"fmt"
	"net"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/emulator/oracle"
)

// Options are what a runner is started with.
type Options struct {
	Scope    scope.Scope
	Settings Settings
	// Address is where it listens; 127.0.0.1:0 draws a port.
	Address string
	// OnRequest is told of every request that arrived whole, before a byte of its
	// answer is written; nil tells nobody.
	OnRequest func(run oracle.Run)
	// OnLateBody is told the digest of each body that was read whole after its answer;
	// nil tells nobody.
	OnLateBody func(attempt string, body uint64)
}

// Incarnation is who has the address.
type Incarnation struct {
	ID      string
	Service string
}

// Runner is a runner that listens.
type Runner struct {
	options  Options
	settings Settings
	listener net.Listener
	slots    slots
	cache    cache

	mu          sync.Mutex
	incarnation Incarnation
	takeovers   int
	startedAt   clock.Instant
	failed      bool
	// second is the second in which burden requests came while cold.
	second       clock.Instant
	coldRequests float64
	conns        map[*serverConn]bool
	faultCounts  map[string]int
	healthProbes int
	runs         int
	// foreign are the two last attempts that were swapped, for answers that come
	// where they don't belong.
	foreign [2]string
}

// Start checks the settings and begins to listen.
func Start(options Options) (*Runner, error) {
	if err := options.Settings.Check(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("runner: %w", err)
	}
	settings := options.Settings
	made := &Runner{
		options: options, settings: settings, listener: listener,
		slots:       slots{capacity: settings.Capacity, queue: settings.Queue},
		cache:       cache{limit: settings.CacheTokens},
		incarnation: Incarnation{ID: settings.ID, Service: settings.Services[0]},
		startedAt:   options.Scope.Now(), conns: map[*serverConn]bool{}, faultCounts: map[string]int{},
		foreign: [2]string{"0000000000000000", "0000000000000000"},
	}
	go made.accept()
	return made, nil
}

// Address is where the runner listens.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Incarnation tells who has the address now.
func (r *Runner) Incarnation() Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.incarnation
}

// FaultCounts tells how often each trouble befell a request.
func (r *Runner) FaultCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	met := map[string]int{}
	for name, count := range r.faultCounts {
		met[name] = count
	}
	return met
}

// OpenConns tells how many connections are open.
func (r *Runner) OpenConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// TakeOver gives the address to a new life; its connections are reset, or stay
// with the new life as though nothing had been.
func (r *Runner) TakeOver(service string, reset bool) {
	r.mu.Lock()
	r.takeovers++
	r.incarnation = Incarnation{ID: fmt.Sprintf("%s.%d", r.settings.ID, r.takeovers), Service: service}
	r.startedAt, r.failed = r.options.Scope.Now(), false
	var ended []*serverConn
	for link := range r.conns {
		ended = append(ended, link)
	}
	r.mu.Unlock()
	for _, link := range ended {
		if reset {
			link.reset()
		}
	}
}

// Close ends the runner and its connections.
func (r *Runner) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for link := range r.conns {
		link.reset()
	}
}

func (r *Runner) accept() {
	for {
		opened, err := r.listener.Accept()
		if err != nil {
			return
		}
		made := newServerConn(r, opened.(*net.TCPConn))
		if !r.register(made) {
			made.reset()
			continue
		}
		go made.serve()
	}
}

// register counts a connection; one too many is not taken.
func (r *Runner) register(made *serverConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if most := r.settings.MaxConns; most > 0 && len(r.conns) >= most {
		return false
	}
	r.conns[made] = true
	return true
}

func (r *Runner) unregister(made *serverConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, made)
}

// countFaults notes which troubles befell a request.
func (r *Runner) countFaults(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		r.faultCounts[name]++
	}
}

// warmupLeft is how much longer this life is cold.
func (r *Runner) warmupLeft() clock.Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.settings.Warmup-r.options.Scope.Now().Since(r.startedAt))
}

// admitWhileCold counts a request against what a cold runner bears; false says that it
// has fallen over.
func (r *Runner) admitWhileCold() bool {
	if r.settings.WarmupRate == 0 || r.warmupLeft() == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Scope.Now()
	if now.Since(r.second) >= clock.Second {
		r.second, r.coldRequests = now, 0
	}
	r.coldRequests++
	r.failed = r.failed || r.coldRequests > 2*r.settings.WarmupRate
	return !r.failed
}

// newSeal gives the stamp of a new run, and who runs it.
func (r *Runner) newSeal() (string, Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	return fmt.Sprintf("%s.%d", r.settings.ID, r.runs), r.incarnation
}

// swapForeign gives an earlier attempt, never the same one, and remembers this one.
func (r *Runner) swapForeign(attempt string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.foreign[0] != attempt {
		r.foreign = [2]string{attempt, r.foreign[0]}
	}
	return r.foreign[1]
}
