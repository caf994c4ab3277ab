package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// cutTime is how long the operator's link is cut.
const cutTime = 4 * time.Second

// runEvacuation checks EVAC: the operator takes an evacuation back and orders it again
// while its link to one controller is cut.
func runEvacuation(c *cluster) error {
	link, err := newLink(c.control(0))
	if err != nil {
		return err
	}
	defer link.close()
	addresses := c.controlAddresses()
	addresses[0] = link.address()
	o := newOperator(c.record, addresses)
	if err := c.configure(o); err != nil {
		return err
	}
	stopClients := c.startClients()
	defer stopClients()
	time.Sleep(5 * time.Second)
	path := "/empty/" + zones[1].name
	if err := o.call(0, http.MethodPost, path, ""); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if c.trouble {
		c.printf("the operator's link to the controller of %s is cut", zones[0].name)
		link.cut(cutTime)
	}
	if err := o.call(0, http.MethodDelete, path, ""); err != nil {
		return err
	}
	time.Sleep(200 * time.Millisecond)
	if err := o.call(1, http.MethodPost, path, ""); err != nil {
		return err
	}
	acknowledged := time.Now()
	c.printf("the second evacuation of %s is acknowledged", zones[1].name)
	time.Sleep(evacuateTime + 5*time.Second)
	stopClients()
	late := 0
	for _, r := range c.runners {
		last := time.Duration(0)
		for _, ran := range r.executions() {
			last = ran.at.Sub(c.start)
			if r.zone == zones[1].name && ran.at.After(acknowledged.Add(evacuateTime)) {
				late++
			}
		}
		c.printf("runner %s of %s ran %d requests, the last at %.3f", r.id, r.zone, len(r.executions()), last.Seconds())
	}
	if late > 0 {
		return fmt.Errorf("%w: %d requests reached runners of %s more than %v after its evacuation was acknowledged", errBroken, late, zones[1].name, evacuateTime)
	}
	return nil
}

// startClients sends requests to all routers, two a second to each, until the returned
// function is called.
func (c *cluster) startClients() (stop func()) {
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
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%d", index, number)
				req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/label/%s", router.ip, frontPort, id), nil)
				req.Host = "hall.example"
				req.Header.Set("Onyxwell-Attempt-Id", id)
				req.Header.Set("Onyxwell-Time-Left-Ms", "2500")
				if resp, err := client.Do(req); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			}
		}()
	}
	var once sync.Once
	return func() { once.Do(func() { close(done); clients.Wait() }) }
}

// link is a proxy before a controller. While it is cut it holds all bytes, and delivers
// them in order once the cut has healed, as TCP does: the end of a connection follows its
// last bytes by a round trip.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	healAt   time.Time
}

// roundTrip is that between two regions of the site.
const roundTrip = 70 * time.Millisecond

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) close() { _ = l.listener.Close() }

// cut cuts the link for a time.
func (l *link) cut(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healAt = time.Now().Add(duration)
}

// await waits until the link is not cut, and reports whether it had to wait.
func (l *link) await() bool {
	l.mu.Lock()
	left := time.Until(l.healAt)
	l.mu.Unlock()
	time.Sleep(max(0, left))
	return left > 0
}

func (l *link) serve(client net.Conn) {
	server, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = client.Close()
		return
	}
	go l.copy(client, server)
	l.copy(server, client)
}

// copy copies one direction of a connection.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	held := false
	for {
		n, err := from.Read(buffer)
		held = l.await() || held
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if held {
				time.Sleep(roundTrip)
			}
			break
		}
	}
	_ = to.Close()
}
