package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in for a runner of label-desk: it works for workTime on each request.
type runner struct {
	id, zone, address, version string
	server                     *http.Server
	workTime                   time.Duration
	// bad says that half of the answers on badRoute are failures.
	bad bool

	mu sync.Mutex
	// condition is what the platform lists; "" is not listed.
	condition string
	runs      []executed
	// badRequests counts the requests on badRoute.
	badRequests int
}

// executed is a request that a runner ran.
type executed struct {
	attempt string
	at      time.Time
	failed  bool
}

// runnerWork is how long a runner works on a request; the site file allows 450 ms.
const runnerWork = 400 * time.Millisecond

// startRunner starts a runner of a zone, which is listed at once.
func (c *cluster) startRunner(zone int, id, version string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r := &runner{id: id, zone: zones[zone].name, address: listener.Addr().String(), version: version, workTime: runnerWork, condition: "ready"}
	if c.rollouts {
		r.workTime = rolloutWork
		r.bad = version == badVersion && c.trouble
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runners = append(c.runners, r)
	return nil
}

// ServeHTTP answers as the protocol page says.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Onyxwell-Server-Id", r.id)
	if req.URL.Path == "/health" {
		return
	}
	attempt := req.Header.Get("Onyxwell-Attempt-Id")
	w.Header().Set("Onyxwell-Attempt-Id", attempt)
	if target := req.Header.Get("Onyxwell-Target-Server"); target != "" && target != r.id {
		w.Header().Set("Onyxwell-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	failed := false
	if r.bad && strings.HasPrefix(req.URL.Path, badRoute) {
		r.badRequests++
		failed = r.badRequests%2 == 0
	}
	r.runs = append(r.runs, executed{attempt: attempt, at: time.Now(), failed: failed})
	r.mu.Unlock()
	time.Sleep(r.workTime)
	w.Header().Set("Onyxwell-Server-Seal", "seal."+r.id+"."+attempt)
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "label for %s\n", attempt)
}

// executions returns what the runner ran so far.
func (r *runner) executions() []executed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]executed(nil), r.runs...)
}

// setCondition sets what the platform lists of all runners of a version.
func (c *cluster) setCondition(version, condition string) {
	for _, r := range c.allRunners() {
		if r.version == version {
			r.mu.Lock()
			r.condition = condition
			r.mu.Unlock()
		}
	}
	c.printf("platform: the runners of %s are listed as %q", version, condition)
}

// allRunners returns all runners that were started.
func (c *cluster) allRunners() []*runner {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*runner(nil), c.runners...)
}

// printExecutions records what all runners ran.
func (c *cluster) printExecutions() {
	for _, r := range c.allRunners() {
		for _, ran := range r.executions() {
			c.printf("runner %s of %s ran %s at %.3f", r.id, r.zone, ran.attempt, ran.at.Sub(c.start).Seconds())
		}
	}
}

// startPlatform starts the platform's API, which lists all runners as ready.
func (c *cluster) startPlatform() error {
	listener, err := net.Listen("tcp", c.platformAddress())
	if err != nil {
		return err
	}
	type entry struct {
		ID        string  `json:"id"`
		Service   string  `json:"service"`
		Address   string  `json:"address"`
		Zone      string  `json:"zone"`
		Version   string  `json:"config_version"`
		Capacity  int     `json:"capacity"`
		Condition string  `json:"condition"`
		ColdLeft  float64 `json:"cold_left_ms"`
	}
	c.platform = &http.Server{ReadHeaderTimeout: 5 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var list struct {
			Servers []entry `json:"servers"`
			Next    *string `json:"next_token"`
		}
		zone := req.URL.Query().Get("zone")
		for _, r := range c.allRunners() {
			r.mu.Lock()
			condition := r.condition
			r.mu.Unlock()
			if condition != "" && (zone == "" || zone == r.zone) {
				list.Servers = append(list.Servers, entry{ID: r.id, Service: c.service(), Address: r.address, Zone: r.zone, Version: r.version, Capacity: c.slots(), Condition: condition})
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(list)
	})}
	go func() { _ = c.platform.Serve(listener) }()
	return nil
}

// versionedRun is a run with the version of its runner.
type versionedRun struct {
	executed
	version string
}

// sortedExecutions returns what all runners ran, by time.
func (c *cluster) sortedExecutions() []versionedRun {
	var runs []versionedRun
	for _, r := range c.allRunners() {
		for _, ran := range r.executions() {
			runs = append(runs, versionedRun{executed: ran, version: r.version})
		}
	}
	slices.SortFunc(runs, func(a, b versionedRun) int { return a.at.Compare(b.at) })
	return runs
}
