package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// request is one request of a client and what came of it.
type request struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	status  int
	err     error
}

// clients send requests at a steady rate to a zone's routers.
type clients struct {
	// name is the beginning of the ids of the requests.
	name    string
	path    string
	routers []string
	perS    float64
	stopped atomic.Bool
	wait    sync.WaitGroup

	mu       sync.Mutex
	requests []*request
}

// clientCount is the number of clients, each with connections that it keeps.
const clientCount = 12

// start starts the clients.
func (c *clients) start() {
	for number := range clientCount {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.run(number)
		}()
	}
}

// stop ends the clients and waits for their last answers.
func (c *clients) stop() {
	c.stopped.Store(true)
	c.wait.Wait()
}

func (c *clients) run(number int) {
	transport := &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}
	defer transport.CloseIdleConnections()
	pause := time.Duration(clientCount / c.perS * float64(time.Second))
	next := time.Now().Add(time.Duration(rand.Int64N(int64(pause))))
	var pending sync.WaitGroup
	defer pending.Wait()
	for sequence := 0; !c.stopped.Load(); sequence++ {
		time.Sleep(time.Until(next))
		next = next.Add(pause)
		r := &request{id: fmt.Sprintf("%s%d-%d", c.name, number, sequence)}
		c.mu.Lock()
		c.requests = append(c.requests, r)
		c.mu.Unlock()
		pending.Add(1)
		go func() {
			defer pending.Done()
			c.send(transport, r)
		}()
	}
}

// send sends a request once.
func (c *clients) send(transport http.RoundTripper, r *request) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	url := "http://" + c.routers[rand.IntN(len(c.routers))] + c.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("an address"))
	if err != nil {
		r.err = err
		return
	}
	req.Host = hostname
	req.Header.Set("Onyxwell-Attempt-Id", r.id)
	req.Header.Set("Onyxwell-Time-Left-Ms", "3000")
	r.sentAt = time.Now()
	defer func() { r.endedAt = time.Now() }()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		r.err = err
		return
	}
	defer resp.Body.Close()
	r.status = resp.StatusCode
	_, r.err = io.Copy(io.Discard, resp.Body)
}
