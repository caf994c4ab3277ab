package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/soak/localcluster"
)

const (
	// thawSlack is for how long after a daemon goes on its late calls are tolerated.
	thawSlack = 300 * time.Millisecond
	// lossEvery is after how many calls of duties the answer to one is lost while faults
	// are on.
	lossEvery = 5
	// calmWindows is how many windows of usage must be reported in a row in the end, and
	// with the right counts: off by countError and countSlack at most.
	calmWindows = 3
	countError  = 0.05
	countSlack  = 3
)

// dutyRecord is what the platform saw of duties. It is safe for concurrent use.
type dutyRecord struct {
	mu       sync.Mutex
	calls    []dutyCall
	lossless bool
	// resumedAt has when a daemon that was stopped went on last.
	resumedAt map[string]clock.Instant
}

// dutyCall is a call with what it is about.
type dutyCall struct {
	localcluster.DutyCall
	at      clock.Instant
	subject string
	window  int64
	// late calls were sent by a daemon that had just gone on.
	late bool
}

// dutyDocument is the part of a body that the checks read.
type dutyDocument struct {
	Window  int64            `json:"window_number"`
	Counts  map[string]int64 `json:"counts"`
	Service string           `json:"service"`
	Zone    string           `json:"zone"`
}

// recordDuty takes a call. Each lossEvery-th loses its answer while faults are on.
func (c *cluster) recordDuty(call localcluster.DutyCall) int {
	var doc dutyDocument
	if json.Unmarshal(call.Body, &doc) != nil {
		return http.StatusBadRequest
	}
	now := c.clock.Now()
	c.duties.mu.Lock()
	defer c.duties.mu.Unlock()
	recorded := dutyCall{DutyCall: call, at: now, subject: call.Path, window: doc.Window}
	if call.Path == "/size" {
		recorded.subject = fmt.Sprintf("%s %s in %s", call.Path, doc.Service, doc.Zone)
	}
	if resumed, ok := c.duties.resumedAt[call.Holder]; ok {
		recorded.late = now.Since(resumed) < thawSlack
	}
	c.duties.calls = append(c.duties.calls, recorded)
	if !c.duties.lossless && len(c.duties.calls)%lossEvery == 0 {
		return 0
	}
	return http.StatusOK
}

// resumed notes that a daemon which was stopped goes on.
func (d *dutyRecord) resumed(holder string, now clock.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.resumedAt == nil {
		d.resumedAt = map[string]clock.Instant{}
	}
	d.resumedAt[holder] = now
}

// endLosses has no further answer be lost.
func (d *dutyRecord) endLosses() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lossless = true
}

// lastWindow returns the newest window that was reported.
func (d *dutyRecord) lastWindow() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := int64(0)
	for _, call := range d.calls {
		last = max(last, call.window)
	}
	return last
}

// reported returns the counts of a window; false where it was not reported.
func (d *dutyRecord) reported(window int64) (counts map[string]int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, call := range d.calls {
		var doc dutyDocument
		if call.Path == "/usage" && call.window == window && json.Unmarshal(call.Body, &doc) == nil {
			return doc.Counts, true
		}
	}
	return nil, false
}

// checkDuties checks that windows of usage are reported once all faults are over, with what
// the runners began, and that in the whole run the platform saw one holder of each duty at a
// time.
func (c *cluster) checkDuties(ctx context.Context) {
	sending, stop := context.WithCancel(ctx)
	var senders sync.WaitGroup
	senders.Go(func() { c.sendCalmly(sending) })
	defer senders.Wait()
	defer stop()
	first := int64(0)
	err := c.eventually(ctx, localcluster.RecoverWithin+localcluster.UsageLate, func() error {
		last := c.duties.lastWindow()
		if first == 0 && last > 0 {
			first = last
		}
		if first == 0 || last < first+calmWindows {
			return errors.New("no window of usage is reported")
		}
		return nil
	})
	if err != nil {
		c.addFinding("DUTY", "%v after the last fault: %v", localcluster.RecoverWithin+localcluster.UsageLate, err)
	} else {
		c.checkWindows(first+1, first+calmWindows)
	}
	c.duties.mu.Lock()
	defer c.duties.mu.Unlock()
	for _, broken := range brokenDuties(c.duties.calls) {
		c.addFinding("ONE", "%s", broken)
	}
}

// checkWindows checks that the windows between two were reported, with the requests of
// limitedTenant that runners began.
func (c *cluster) checkWindows(first int64, last int64) {
	// The daemons' agreed time is that of this machine.
	origin := time.Now().UnixNano() - int64(c.clock.Now())
	for window := first; window <= last; window++ {
		counts, ok := c.duties.reported(window)
		if !ok {
			c.addFinding("DUTY", "window %d of usage is not reported, later ones are", window)
			continue
		}
		from := clock.Instant(window*int64(localcluster.UsageWindow) - origin)
		ran, told := c.quota.ranBetween(from, from.Add(localcluster.UsageWindow)), counts[limitedTenant.Name]
		if off := float64(told) - float64(ran); off > countError*float64(ran)+countSlack || -off > countError*float64(ran)+countSlack {
			c.addFinding("DUTY", "window %d of usage tells %d requests of a tenant, runners began %d", window, told, ran)
		}
	}
}

// brokenDuties returns what the calls that a platform saw, in their order, break of one
// holder at a time, where it ignores fences.
func brokenDuties(calls []dutyCall) (broken []string) {
	reports := map[int64]string{}
	holders := map[string]string{}
	bySubject := map[string][]dutyCall{}
	for _, call := range calls {
		if call.Path == "/usage" {
			if first, known := reports[call.window]; known && first != string(call.Body) {
				broken = append(broken, fmt.Sprintf("two reports of window %d: %s and %s", call.window, first, call.Body))
			}
			reports[call.window] = string(call.Body)
		}
		fence := fmt.Sprintf("fence %d for %s", call.Fence, call.subject)
		if holder, known := holders[fence]; known && holder != call.Holder {
			broken = append(broken, fmt.Sprintf("%s is sent by %s and %s", fence, holder, call.Holder))
		}
		holders[fence] = call.Holder
		if !call.late {
			broken = append(broken, brokenOrder(bySubject[call.subject], call)...)
		}
		bySubject[call.subject] = append(bySubject[call.subject], call)
	}
	return broken
}

// brokenOrder returns what a call breaks after those of its subject before it.
func brokenOrder(before []dutyCall, call dutyCall) (broken []string) {
	overtaken := false
	for index := len(before) - 1; index >= 0; index-- {
		former := before[index]
		if former.Fence > call.Fence {
			broken = append(broken, fmt.Sprintf("%s: fence %d of %s after %d of %s", call.subject, call.Fence, call.Holder, former.Fence, former.Holder))
		}
		if former.Holder == call.Holder && overtaken && call.at.Since(former.at) < localcluster.LeaseTime {
			broken = append(broken, fmt.Sprintf("%s: %s acts %v after its last call, another did in between", call.subject, call.Holder, call.at.Since(former.at)))
		}
		overtaken = overtaken || former.Holder != call.Holder
	}
	return broken
}
