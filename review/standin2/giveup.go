package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the give-up case: the route's give_up_ms, the pause in the middle of a body, and
// by when after giveUp the rule wants a final answer.
const (
	giveUp      = 2500 * time.Millisecond
	bodyPause   = 1500 * time.Millisecond
	answerSlack = 500 * time.Millisecond
	uploads     = 240
	// patience is how long a client waits, and what its request says.
	patience = 3200 * time.Millisecond
	// darkFor is how long one of the nine runners is dark.
	darkFor = 4500 * time.Millisecond
)

// upload is a request whose body came in two parts.
type upload struct {
	id       string
	status   string
	err      error
	answered time.Duration
}

// giveUpTime has clients send bodies with a pause in the middle. With trouble, one of
// the nine runners is dark: it takes requests and answers nothing. The rule is CONFIG, on give_up_ms.
func giveUpTime(out record, trouble bool) (bool, error) {
	c, err := newCluster()
	if err != nil {
		return false, err
	}
	defer c.stop()
	runners, err := c.startModel(60 * time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := c.start(); err != nil {
		return false, err
	}
	routes := []route{{Name: "address-check", Host: hostname, Prefix: "/check/", Type: "unsafe", GiveUp: float64(giveUp.Milliseconds()), Goal: 1000, Urgency: 1, Service: modelService, Tries: 1}}
	if err := c.order("PUT", "/settings", "0", configuration(1, routes)); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	var sent []*upload
	var pending sync.WaitGroup
	for number := range uploads {
		u := &upload{id: fmt.Sprintf("u%d", number)}
		sent = append(sent, u)
		pending.Add(1)
		go func() {
			defer pending.Done()
			u.send(c.routersOf(number % len(zones))[0])
		}()
	}
	time.Sleep(bodyPause - 100*time.Millisecond)
	if trouble {
		out.line("runner %s is dark from now on, for %v", runners[0].id, darkFor)
		runners[0].turnDark(darkFor)
	}
	pending.Wait()
	return judgeGiveUp(out, runners, sent), nil
}

// send sends a request with its body in two parts and waits for the answer.
func (u *upload) send(router string) {
	conn, err := net.DialTimeout("tcp", router, time.Second)
	if err != nil {
		u.err = err
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	start := time.Now()
	head := "POST /check/1 HTTP/1.1\r\nHost: " + hostname + "\r\nContent-Length: 2000\r\nOnyxwell-Attempt-Id: " + u.id + "\r\nOnyxwell-Time-Left-Ms: " + fmt.Sprint(patience.Milliseconds()) + "\r\n\r\n"
	half := make([]byte, 1000)
	for index := range half {
		half[index] = 'x'
	}
	if _, u.err = conn.Write(append([]byte(head), half...)); u.err != nil {
		return
	}
	time.Sleep(bodyPause)
	if _, u.err = conn.Write(half); u.err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	u.answered, u.err = time.Since(start), err
	if err == nil {
		u.status = resp.Status
		_ = resp.Body.Close()
	}
}

// judgeGiveUp reports whether eight or more requests, and over half of those unanswered at
// giveUp, had no answer answerSlack later.
func judgeGiveUp(out record, runners []*runner, sent []*upload) bool {
	ran := map[string]string{}
	for _, r := range runners {
		r.mu.Lock()
		for _, a := range r.arrivals {
			ran[a.id] = r.id
		}
		r.mu.Unlock()
	}
	reached := map[string]int{}
	for _, id := range ran {
		reached[id]++
	}
	out.line("requests that reached each runner: %v", reached)
	unanswered, late := 0, 0
	for _, u := range sent {
		if u.answered > giveUp || u.err != nil {
			out.line("request %s reached %q: answer %q, error %v, after %.3f s", u.id, ran[u.id], u.status, u.err, u.answered.Seconds())
		}
		if u.answered > giveUp {
			unanswered++
		}
		if u.answered > giveUp+answerSlack {
			late++
		}
	}
	broken := late >= 8 && 2*late > unanswered
	statuses := map[string]int{}
	for _, u := range sent {
		statuses[u.status]++
	}
	out.line("answers: %v", statuses)
	out.line("%d requests sent, %d unanswered at give_up_ms (%v), %d of them %v later", len(sent), unanswered, giveUp, late, answerSlack)
	out.line("rule broken: %v", broken)
	return broken
}
