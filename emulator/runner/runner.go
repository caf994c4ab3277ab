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

	lock   sync.Mutex
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
func (runner *Runner) Address() string { return runner.listener.Addr().String() }

// Life tells who has the address now.
func (runner *Runner) Life() Life {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	return runner.life
}

// Met tells how often each trouble befell a request.
func (runner *Runner) Met() map[string]int {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	met := map[string]int{}
	for name, count := range runner.met {
		met[name] = count
	}
	return met
}

// Open tells how many connections are open.
func (runner *Runner) Open() int {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	return len(runner.links)
}

// Become gives the address to a new life; its connections are reset, or stay
// with the new life as though nothing had been.
func (runner *Runner) Become(service string, reset bool) {
	runner.lock.Lock()
	runner.lives++
	runner.life = Life{ID: fmt.Sprintf("%s.%d", runner.settings.ID, runner.lives), Service: service}
	runner.began, runner.fallen = runner.options.Scope.Now(), false
	var ended []*link
	for link := range runner.links {
		ended = append(ended, link)
	}
	runner.lock.Unlock()
	for _, link := range ended {
		if reset {
			link.reset()
		}
	}
}

// Close ends the runner and its connections.
func (runner *Runner) Close() {
	_ = runner.listener.Close()
	runner.lock.Lock()
	defer runner.lock.Unlock()
	for link := range runner.links {
		link.reset()
	}
}

func (runner *Runner) accept() {
	for {
		opened, err := runner.listener.Accept()
		if err != nil {
			return
		}
		made := newLink(runner, opened.(*net.TCPConn))
		if !runner.enter(made) {
			made.reset()
			continue
		}
		go made.serve()
	}
}

// enter counts a connection; one too many is not taken.
func (runner *Runner) enter(made *link) bool {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	if most := runner.settings.Connections; most > 0 && len(runner.links) >= most {
		return false
	}
	runner.links[made] = true
	return true
}

func (runner *Runner) leave(made *link) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	delete(runner.links, made)
}

// count notes which troubles befell a request.
func (runner *Runner) count(names []string) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	for _, name := range names {
		runner.met[name]++
	}
}

// coldLeft is how much longer this life is cold.
func (runner *Runner) coldLeft() clock.Span {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	return max(0, runner.settings.Cold-runner.options.Scope.Now().Since(runner.began))
}

// bear counts a request against what a cold runner bears; false says that it
// has fallen over.
func (runner *Runner) bear() bool {
	if runner.settings.ColdPerS == 0 || runner.coldLeft() == 0 {
		return true
	}
	runner.lock.Lock()
	defer runner.lock.Unlock()
	now := runner.options.Scope.Now()
	if now.Since(runner.second) >= clock.Second {
		runner.second, runner.burden = now, 0
	}
	runner.burden++
	runner.fallen = runner.fallen || runner.burden > 2*runner.settings.ColdPerS
	return !runner.fallen
}

// seal gives the stamp of a new run, and who runs it.
func (runner *Runner) seal() (string, Life) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.runs++
	return fmt.Sprintf("%s.%d", runner.settings.ID, runner.runs), runner.life
}

// swapForeign gives an earlier attempt, never the same one, and remembers this one.
func (runner *Runner) swapForeign(attempt string) string {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	if runner.foreign[0] != attempt {
		runner.foreign = [2]string{attempt, runner.foreign[0]}
	}
	return runner.foreign[1]
}
