package localcluster

import (
	"encoding/json"
	"io"
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
	// OnDuty takes the calls of duties and returns the status of the answer; 0 has the
	// call be taken and the answer be lost. It is called concurrently.
	OnDuty func(call DutyCall) int
}

// DutyCall is a call to the platform that one daemon at a time is to make.
type DutyCall struct {
	Path   string
	Holder string
	Fence  int64
	Body   []byte
}

// Headers of the calls of duties.
const (
	holderHeader = "Onyxwell-Duty-Holder"
	fenceHeader  = "Onyxwell-Fence-Number"
)

// maxDutyBody is the largest body of a duty's call that is read.
const maxDutyBody = 1 << 20

// serveDuty hands a duty's call to OnDuty.
func (p *Platform) serveDuty(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(io.LimitReader(req.Body, maxDutyBody))
	fence, fenceErr := strconv.ParseInt(req.Header.Get(fenceHeader), 10, 64)
	if err != nil || fenceErr != nil || p.OnDuty == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status := p.OnDuty(DutyCall{Path: req.URL.Path, Holder: req.Header.Get(holderHeader), Fence: fence, Body: body})
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// ServeHTTP answers GET /servers, whose parameters are zone and page_token, and the calls
// of duties.
func (p *Platform) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if p.Unavailable.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if req.Method == http.MethodPost {
		p.serveDuty(w, req)
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
