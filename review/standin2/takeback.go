package main

import (
	"fmt"
	"sort"
	"time"
)

// Load of the zone's clients: the site's own, and what a burst (2.5 times) and the shift of
// 0.54 of the clients of both other zones add to it for up to 7.2 s.
const (
	usualPerS = 46.5
	surgePerS = usualPerS*2.5*(1+2*0.54) - usualPerS
)

// takeBack evacuates a zone and takes that back, in a surge of load. With trouble, the zone's
// runners turn cold shortly before. The rule is FAILBACK.
func takeBack(out record, trouble bool) (bool, error) {
	const evacuated = 2
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
	routes := []route{{Name: "address-check", Host: hostname, Prefix: "/check/", Type: "unsafe", GiveUp: 3000, Goal: 1000, Urgency: 1, Service: modelService, Tries: 1}}
	if err := c.order("PUT", "/settings", "0", configuration(1, routes)); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	usual := &clients{name: "c", path: "/check/1", routers: c.routersOf(evacuated), perS: usualPerS}
	surge := &clients{name: "s", path: "/check/1", routers: c.routersOf(evacuated), perS: surgePerS}
	usual.start()
	time.Sleep(4 * time.Second)
	zone := zones[evacuated].name
	if err := c.order("POST", "/empty/"+zone, "", nil); err != nil {
		return false, err
	}
	out.line("POST /empty/%s acknowledged", zone)
	time.Sleep(7 * time.Second)
	surge.start()
	out.line("the surge begins")
	time.Sleep(time.Second)
	if trouble {
		for _, r := range runners {
			if r.zone == zone {
				r.turnCold()
			}
		}
		out.line("the runners of %s are cold now, for %v; the list shows it in %v", zone, warmup, listLag)
		time.Sleep(300 * time.Millisecond)
	}
	if err := c.order("DELETE", "/empty/"+zone, "", nil); err != nil {
		return false, err
	}
	out.line("DELETE /empty/%s acknowledged", zone)
	time.Sleep(5 * time.Second)
	surge.stop()
	usual.stop()
	out.line("the surge is over")
	return judgeColdRunners(out, runners, append(usual.requests, surge.requests...)), nil
}

// startModel starts the runners of all zones and the platform that lists them.
func (c *cluster) startModel(work time.Duration) ([]*runner, error) {
	var runners []*runner
	for zone, spec := range zones {
		for number := range spec.runners {
			r, err := startRunner(fmt.Sprintf("i-%s-%d", spec.name, number), spec.name, fmt.Sprintf("%s:%d", c.address(zone, 200+number), runnerPort), work)
			if err != nil {
				return nil, err
			}
			runners = append(runners, r)
		}
	}
	_, err := startPlatform(fmt.Sprintf("%s:%d", c.address(-1, 79), platformPort), func() []listedRunner {
		var listed []listedRunner
		for _, r := range runners {
			listed = append(listed, r.listed())
		}
		return listed
	})
	return runners, err
}

// judgeColdRunners reports whether a cold runner got more requests in a second than the
// rule FAILBACK allows, and records what ran there and what was lost.
func judgeColdRunners(out record, runners []*runner, requests []*request) bool {
	limit := coldPerS*coldExcess + coldSlack
	sent := map[string]*request{}
	statuses := map[string]int{}
	for _, r := range requests {
		sent[r.id] = r
		if r.err != nil {
			statuses["no complete answer"]++
		} else {
			statuses[fmt.Sprint(r.status)]++
		}
	}
	out.line("%d requests sent; answers: %v", len(requests), statuses)
	broken := false
	for _, r := range runners {
		r.mu.Lock()
		most, total := mostInASecond(r.arrivals, sent)
		out.line("runner %s: %d requests ran, %d of them while it was cold, at most %d in a second (limit %.1f)", r.id, len(r.arrivals), total, most, limit)
		if !r.fellAt.IsZero() {
			out.line("runner %s fell over at %.3f", r.id, r.fellAt.Sub(began).Seconds())
		}
		for _, a := range r.arrivals {
			if a.cold && sent[a.id] != nil {
				out.line("request %s: sent at %.3f, arrived at %s, which was cold, at %.3f; status %d, error %v",
					a.id, sent[a.id].sentAt.Sub(began).Seconds(), r.id, a.at.Sub(began).Seconds(), sent[a.id].status, sent[a.id].err)
			}
			if a.lost && sent[a.id] != nil {
				out.line("request %s ran on %s as it fell over: the client got status %d, error %v", a.id, r.id, sent[a.id].status, sent[a.id].err)
			}
		}
		broken = broken || float64(most) > limit
		r.mu.Unlock()
	}
	out.line("rule broken: %v", broken)
	return broken
}

// mostInASecond returns the most requests that a cold runner got in a second, counting those
// that were sent and arrived within it, and how many it got in all.
func mostInASecond(arrivals []*arrival, sent map[string]*request) (most int, total int) {
	var cold []*arrival
	for _, a := range arrivals {
		if a.cold && sent[a.id] != nil {
			cold = append(cold, a)
		}
	}
	sort.Slice(cold, func(left, right int) bool { return cold[left].at.Before(cold[right].at) })
	for first := range cold {
		count := 0
		start := sent[cold[first].id].sentAt
		for _, a := range cold {
			if !sent[a.id].sentAt.Before(start) && a.at.Sub(start) < time.Second && !a.at.Before(start) {
				count++
			}
		}
		most = max(most, count)
	}
	return most, len(cold)
}
