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
	// calmWindows is how many windows of usage must be reported in a row in the end.
	calmWindows = 3
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
	Window  int64  `json:"window_number"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
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

// missing returns a window between two that was not reported, 0 for none.
func (d *dutyRecord) missing(first int64, last int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	reported := map[int64]bool{}
	for _, call := range d.calls {
		reported[call.window] = true
	}
	for window := first; window <= last; window++ {
		if !reported[window] {
			return window
		}
	}
	return 0
}

// checkDuties checks that windows of usage are reported once all faults are over, and that
// in the whole run the platform saw one holder of each duty at a time.
func (c *cluster) checkDuties(ctx context.Context) {
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
	} else if missing := c.duties.missing(first, first+calmWindows); missing > 0 {
		c.addFinding("DUTY", "window %d of usage is not reported, later ones are", missing)
	}
	c.duties.mu.Lock()
	defer c.duties.mu.Unlock()
	for _, broken := range brokenDuties(c.duties.calls) {
		c.addFinding("ONE", "%s", broken)
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
