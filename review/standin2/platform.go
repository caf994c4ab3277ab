package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// listedRunner is an entry of the platform's list.
type listedRunner struct {
	ID        string  `json:"id"`
	Service   string  `json:"service"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Version   string  `json:"config_version"`
	Capacity  int     `json:"capacity"`
	Condition string  `json:"condition"`
	ColdLeft  float64 `json:"cold_left_ms"`
}

// listLag is how far the list is behind: max_lag_ms of the settings.
const listLag = 800 * time.Millisecond

// platform serves the list of runners as it was listLag ago.
type platform struct {
	list func() []listedRunner

	mu       sync.Mutex
	versions []listVersion
}

type listVersion struct {
	at      time.Time
	runners []listedRunner
}

// startPlatform serves the list at an address.
func startPlatform(address string, list func() []listedRunner) (*platform, error) {
	p := &platform{list: list}
	p.observe()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			p.observe()
		}
	}()
	return p, serve(address, p)
}

// serve serves a handler at an address until the process ends.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return nil
}

// observe records the present list.
func (p *platform) observe() {
	runners := p.list()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions = append(p.versions, listVersion{at: time.Now(), runners: runners})
	for len(p.versions) > 1 && time.Since(p.versions[1].at) > listLag {
		p.versions = p.versions[1:]
	}
}

// ServeHTTP answers GET /servers with one page.
func (p *platform) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet || req.URL.Path != "/servers" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	p.mu.Lock()
	listed := p.versions[0].runners
	p.mu.Unlock()
	zone, selected := req.URL.Query().Get("zone"), []listedRunner{}
	for _, runner := range listed {
		if zone == "" || runner.Zone == zone {
			selected = append(selected, runner)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"servers": selected, "next_token": nil})
}
