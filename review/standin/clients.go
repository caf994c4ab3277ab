package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// startClients has a client at each router, which sends a request the pause after the last
// one was answered, until the returned function is called. Where rollouts are in force,
// one of four goes to badRoute.
func (c *cluster) startClients(pause time.Duration) (stop func()) {
	done := make(chan struct{})
	var clients sync.WaitGroup
	client := &http.Client{Timeout: 3 * time.Second}
	for index, router := range c.routers() {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for number := 0; ; number++ {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				id := fmt.Sprintf("c%d-%d", index, number)
				route := "/label/"
				if c.rollouts && number%4 == 0 {
					route = badRoute
				}
				req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d%s%s", router.ip, frontPort, route, id), nil)
				req.Host = "hall.example"
				req.Header.Set("Onyxwell-Attempt-Id", id)
				req.Header.Set("Onyxwell-Time-Left-Ms", "2500")
				status := 0
				if resp, err := client.Do(req); err == nil {
					status = resp.StatusCode
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				c.mu.Lock()
				c.answers[status]++
				c.mu.Unlock()
			}
		}()
	}
	var once sync.Once
	return func() { once.Do(func() { close(done); clients.Wait() }) }
}
