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
	// Tell is told of every request that arrived whole, before a byte of its
	// answer is written; nil tells nobody.
	Tell func(run oracle.Run)
	// Rest is told the digest of each body that was read whole after its answer;
	// nil tells nobody.
	Rest func(attempt string, body uint64)
}

// Life is who has the address.
type Life struct {
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

	mu     sync.Mutex
	life   Life
	lives  int
	began  clock.Instant
	fallen bool
	// second is the second in which burden requests came while cold.
	second clock.Instant
	burden float64
	links  map[*link]bool
	met    map[string]int
	asked  int
	runs   int
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
		slots: slots{capacity: settings.Capacity, queue: settings.Queue},
		cache: cache{limit: settings.CacheTokens},
		life:  Life{ID: settings.ID, Service: settings.Services[0]},
		began: options.Scope.Now(), links: map[*link]bool{}, met: map[string]int{},
		foreign: [2]string{"0000000000000000", "0000000000000000"},
	}
	go made.accept()
	return made, nil
}

// Address is where the runner listens.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// Life tells who has the address now.
func (r *Runner) Life() Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life
}

// Met tells how often each trouble befell a request.
func (r *Runner) Met() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	met := map[string]int{}
	for name, count := range r.met {
		met[name] = count
	}
	return met
}

// Open tells how many connections are open.
func (r *Runner) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Become gives the address to a new life; its connections are reset, or stay
// with the new life as though nothing had been.
func (r *Runner) Become(service string, reset bool) {
	r.mu.Lock()
	r.lives++
	r.life = Life{ID: fmt.Sprintf("%s.%d", r.settings.ID, r.lives), Service: service}
	r.began, r.fallen = r.options.Scope.Now(), false
	var ended []*link
	for link := range r.links {
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
	for link := range r.links {
		link.reset()
	}
}

func (r *Runner) accept() {
	for {
		opened, err := r.listener.Accept()
		if err != nil {
			return
		}
		made := newLink(r, opened.(*net.TCPConn))
		if !r.enter(made) {
			made.reset()
			continue
		}
		go made.serve()
	}
}

// enter counts a connection; one too many is not taken.
func (r *Runner) enter(made *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if most := r.settings.Connections; most > 0 && len(r.links) >= most {
		return false
	}
	r.links[made] = true
	return true
}

func (r *Runner) leave(made *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, made)
}

// count notes which troubles befell a request.
func (r *Runner) count(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range names {
		r.met[name]++
	}
}

// coldLeft is how much longer this life is cold.
func (r *Runner) coldLeft() clock.Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(0, r.settings.Cold-r.options.Scope.Now().Since(r.began))
}

// bear counts a request against what a cold runner bears; false says that it
// has fallen over.
func (r *Runner) bear() bool {
	if r.settings.ColdPerS == 0 || r.coldLeft() == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Scope.Now()
	if now.Since(r.second) >= clock.Second {
		r.second, r.burden = now, 0
	}
	r.burden++
	r.fallen = r.fallen || r.burden > 2*r.settings.ColdPerS
	return !r.fallen
}

// seal gives the stamp of a new run, and who runs it.
func (r *Runner) seal() (string, Life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
	return fmt.Sprintf("%s.%d", r.settings.ID, r.runs), r.life
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
