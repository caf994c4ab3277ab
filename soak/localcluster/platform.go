package localcluster

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
)

// ListedRunner is a runner as the platform lists it.
type ListedRunner struct {
	ID              string  `json:"id"`
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Version         string  `json:"config_version"`
	Capacity        int     `json:"capacity"`
	Condition       string  `json:"condition"`
	SlowStartLeftMS float64 `json:"cold_left_ms"`
}

// pageSize is how many runners a page of the list holds.
const pageSize = 100

type page struct {
	Servers []ListedRunner `json:"servers"`
	Next    *string        `json:"next_token"`
}

// Platform is the platform's API: it lists the runners, page by page.
type Platform struct {
	// ListRunners returns the current runners. It is called concurrently.
	ListRunners func() []ListedRunner
	// Unavailable has every request answered with 503.
	Unavailable atomic.Bool
}

// ServeHTTP answers GET /servers; zone and page_token are its parameters.
func (p *Platform) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if p.Unavailable.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	runners := p.ListRunners()
	if zone := req.URL.Query().Get("zone"); zone != "" {
		runners = slices.DeleteFunc(slices.Clone(runners), func(listed ListedRunner) bool { return listed.Zone != zone })
	}
	// A token is the index of the page's first runner; one that is none is 0.
	first, _ := strconv.Atoi(req.URL.Query().Get("page_token"))
	first = min(max(0, first), len(runners))
	end := min(len(runners), first+pageSize)
	resp := page{Servers: runners[first:end]}
	if end < len(runners) {
		next := strconv.Itoa(end)
		resp.Next = &next
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(resp)
}

// Serve serves a handler at an address until stop is called.
func Serve(address string, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(listener)
	}()
	return func() {
		_ = server.Close()
		<-served
	}, nil
}
