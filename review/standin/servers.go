package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a stand-in for a runner of label-desk: it works for runnerWork on each request.
type runner struct {
	id, zone, address string
	server            *http.Server

	mu   sync.Mutex
	runs []executed
}

// executed is a request that a runner ran.
type executed struct {
	attempt string
	at      time.Time
}

// runnerWork is how long a runner works on a request; the site file allows 450 ms.
const runnerWork = 400 * time.Millisecond

// startRunner starts a runner of a zone.
func (c *cluster) startRunner(zone int, id string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r := &runner{id: id, zone: zones[zone].name, address: listener.Addr().String()}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = r.server.Serve(listener) }()
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
	r.runs = append(r.runs, executed{attempt: attempt, at: time.Now()})
	r.mu.Unlock()
	time.Sleep(runnerWork)
	w.Header().Set("Onyxwell-Server-Seal", "seal."+r.id+"."+attempt)
	_, _ = fmt.Fprintf(w, "label for %s\n", attempt)
}

// executions returns what the runner ran so far.
func (r *runner) executions() []executed {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]executed(nil), r.runs...)
}

// printExecutions records what all runners ran.
func (c *cluster) printExecutions() {
	for _, r := range c.runners {
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
		for _, r := range c.runners {
			if zone == "" || zone == r.zone {
				list.Servers = append(list.Servers, entry{ID: r.id, Service: "label-desk", Address: r.address, Zone: r.zone, Version: "v1", Capacity: 6, Condition: "ready"})
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(list)
	})}
	go func() { _ = c.platform.Serve(listener) }()
	return nil
}
