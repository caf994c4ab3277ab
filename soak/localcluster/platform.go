package localcluster

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"onyxwell/base/clock"
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

// pageSize is how many runners the platform gives on one page.
const pageSize = 100

type page struct {
	Servers []ListedRunner `json:"servers"`
	Next    *string        `json:"next_token"`
}

// Platform answers which runners there are.
type Platform struct {
	// ListRunners gives all runners now.
	ListRunners func() []ListedRunner
	// Calls counts the questions.
	Calls atomic.Int64
	// Unavailable has it answer 503.
	Unavailable atomic.Bool
}

// ServeHTTP answers GET /servers.
func (p *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	p.Calls.Add(1)
	if p.Unavailable.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := p.ListRunners()
	if zone := request.URL.Query().Get("zone"); zone != "" {
		list = slices.DeleteFunc(slices.Clone(list), func(listed ListedRunner) bool { return listed.Zone != zone })
	}
	first, _ := strconv.Atoi(request.URL.Query().Get("page_token"))
	first = min(max(0, first), len(list))
	last := min(len(list), first+pageSize)
	answer := page{Servers: list[first:last]}
	if last < len(list) {
		next := strconv.Itoa(last)
		answer.Next = &next
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer)
}

// Serve serves a handler at an address; the function it gives ends that.
func Serve(address string, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * clock.Second}
	go func() { _ = server.Serve(listener) }()
	return func() { _ = server.Close() }, nil
}
