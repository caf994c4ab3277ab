package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that a runner has begun to work on.
type arrival struct {
	id     string
	at     time.Time
	cold   bool
	lost   bool
	runner string
}

// fallOverPerS is the number of requests in a second at which a cold runner falls over:
// well above what it bears (coldPerS) and above the bound of the rule.
const fallOverPerS = 2.2 * coldPerS

// runner is a stand-in of a model runner. It answers each request after some work, and
// falls over when it is cold and gets far too many requests.
type runner struct {
	id, zone, address string
	work              time.Duration
	server            *http.Server

	mu        sync.Mutex
	coldUntil time.Time
	darkUntil time.Time
	fellAt    time.Time
	arrivals  []*arrival
	running   map[*arrival]bool
}

// startRunner starts a runner on an address.
func startRunner(id string, zone string, address string, work time.Duration) (*runner, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, zone: zone, address: address, work: work, running: map[*arrival]bool{}}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// turnCold makes the runner cold for its warm-up time.
func (r *runner) turnCold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldUntil = time.Now().Add(warmup)
}

// turnDark makes the runner silent: it takes connections and answers nothing for a while.
func (r *runner) turnDark(duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.darkUntil = time.Now().Add(duration)
}

// listed returns the runner's entry in the platform's list.
func (r *runner) listed() listedRunner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return listedRunner{
		ID: r.id, Service: modelService, Address: r.address, Zone: r.zone, Version: "v1", Capacity: capacity, Condition: "ready",
		ColdLeft: float64(max(0, time.Until(r.coldUntil)).Milliseconds()),
	}
}

// ServeHTTP answers requests and health checks.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	dark := time.Until(r.darkUntil)
	r.mu.Unlock()
	if dark > 0 {
		r.dark(req, dark)
		return
	}
	if req.URL.Path == "/health" {
		w.Header().Set("Onyxwell-Server-Id", r.id)
		r.mu.Lock()
		cold := max(0, time.Until(r.coldUntil))
		r.mu.Unlock()
		w.Header().Set("Onyxwell-Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		return
	}
	id := req.Header.Get("Onyxwell-Attempt-Id")
	w.Header().Set("Onyxwell-Attempt-Id", id)
	if target := req.Header.Get("Onyxwell-Target-Server"); target != "" && target != r.id {
		w.Header().Set("Onyxwell-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a, running := r.begin(id)
	if a == nil {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(r.work)
	r.mu.Lock()
	delete(r.running, a)
	r.mu.Unlock()
	w.Header().Set("Onyxwell-Server-Seal", "seal-"+id)
	w.Header().Set("Onyxwell-Server-Load", fmt.Sprintf("%d,0,%d", running, capacity))
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

// dark records a request that comes while the runner is dark, and ends it unanswered.
func (r *runner) dark(req *http.Request, left time.Duration) {
	if id := req.Header.Get("Onyxwell-Attempt-Id"); id != "" {
		r.mu.Lock()
		r.arrivals = append(r.arrivals, &arrival{id: id, at: time.Now(), runner: r.id})
		r.mu.Unlock()
	}
	select {
	case <-req.Context().Done():
	case <-time.After(left):
	}
	panic(http.ErrAbortHandler)
}

// begin records an arrival. It returns nil if the runner has fallen over.
func (r *runner) begin(id string) (*arrival, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.fellAt.IsZero() {
		return nil, 0
	}
	now := time.Now()
	a := &arrival{id: id, at: now, cold: now.Before(r.coldUntil), runner: r.id}
	r.arrivals = append(r.arrivals, a)
	r.running[a] = true
	recent := 0
	for index := len(r.arrivals) - 1; index >= 0 && now.Sub(r.arrivals[index].at) < time.Second; index-- {
		if r.arrivals[index].cold {
			recent++
		}
	}
	if float64(recent) > fallOverPerS {
		r.fellAt = now
		for lost := range r.running {
			lost.lost = true
		}
		go func() { _ = r.server.Close() }()
	}
	return a, len(r.running)
}
