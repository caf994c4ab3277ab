package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/control/controller"
	"onyxwell/soak/localcluster"
)

const (
	counterPath = "/tallies/"
	// applicationInterval is the time between two calls of an application.
	applicationInterval = 30 * time.Millisecond
	// maxAmount bounds the amounts that are added.
	maxAmount = 1000
	// The odds of calls: of ten, so many are new adds, and so many repeats; the others
	// are reads.
	newAddsOfTen = 6
	repeatsOfTen = 2
)

// counterNames are the counters that the applications add to.
var counterNames = []string{"labels", "prints"}

// counterAdd is an add under an ID, with all attempts to have it counted.
type counterAdd struct {
	counter string
	id      string
	amount  int64
	// open counts the attempts that were not refused with the promise that nothing was
	// done.
	open int
	acks []counterAck
	// excused says that the disks that held it may have been lost.
	excused bool
}

// counterAck is an acknowledgement of an add by a process of a controller.
type counterAck struct {
	process *localcluster.Process
	at      clock.Instant
	// exposed says that faults were in force: fewer disks than required may have been in
	// reach.
	exposed bool
}

// counterLedger is what the applications know of the counters. It is safe for concurrent
// use.
type counterLedger struct {
	clock clock.Clock

	mu           sync.Mutex
	adds         []*counterAdd
	activeFaults int
	lastFault    clock.Instant
	// settledAt is an instant at which everything acknowledged MergeWithin before was
	// known to all.
	settledAt clock.Instant
}

// faultBegins and faultEnds are called around each fault.
func (l *counterLedger) faultBegins() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calm() {
		l.settledAt = l.clock.Now()
	}
	l.activeFaults++
	l.lastFault = l.clock.Now()
}

func (l *counterLedger) faultEnds() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activeFaults--
	l.lastFault = l.clock.Now()
}

// calm reports whether there was no fault for MergeWithin. The caller holds mu.
func (l *counterLedger) calm() bool {
	return l.activeFaults == 0 && l.clock.Now().Since(l.lastFault) >= localcluster.MergeWithin
}

// diskLost excuses what may be gone with a disk.
func (l *counterLedger) diskLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, add := range l.adds {
		safe := slices.ContainsFunc(add.acks, func(ack counterAck) bool {
			return !ack.exposed || ack.at.Add(localcluster.MergeWithin) < l.settledAt
		})
		add.excused = add.excused || !safe
	}
}

// opened records an attempt; the result is called with its status.
func (l *counterLedger) opened(add *counterAdd, process *localcluster.Process) func(status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add.open++
	return func(status int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		switch status {
		case http.StatusOK:
			add.acks = append(add.acks, counterAck{process: process, at: l.clock.Now(), exposed: !l.calm()})
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			add.open--
		}
	}
}

// ackedBy returns the sum of what a process has acknowledged, or any of them where
// process is nil, but for what is excused.
func (l *counterLedger) ackedBy(counter string, process *localcluster.Process) (sum int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, add := range l.adds {
		if add.counter != counter || (process == nil && add.excused) {
			continue
		}
		if slices.ContainsFunc(add.acks, func(ack counterAck) bool { return process == nil || ack.process == process }) {
			sum += add.amount
		}
	}
	return sum
}

// mostOf returns the sum of what may count.
func (l *counterLedger) mostOf(counter string) (sum int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, add := range l.adds {
		if add.counter == counter && add.open > 0 {
			sum += add.amount
		}
	}
	return sum
}

// application adds to counters and reads them, at the controller of its zone first. It is
// not safe for concurrent use.
type application struct {
	cluster     *cluster
	number      int
	random      *rand.Rand
	client      http.Client
	controllers []*machine
	adds        []*counterAdd
}

func newApplication(c *cluster, number int) *application {
	controllers := c.machinesByRole(controller.Role)
	home := number % len(controllers)
	return &application{
		cluster: c, number: number, random: c.random(streamApplication + uint64(number)),
		client:      http.Client{Timeout: attemptTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		controllers: append(slices.Clone(controllers[home:]), controllers[:home]...),
	}
}

// run calls until ctx ends.
func (a *application) run(ctx context.Context) {
	defer a.client.CloseIdleConnections()
	for call := 0; a.cluster.wait(ctx, applicationInterval); call++ {
		counter := pick(a.random, counterNames)
		switch drawn := a.random.IntN(10); {
		case drawn < newAddsOfTen:
			add := &counterAdd{counter: counter, id: fmt.Sprintf("%d-%d", a.number, call), amount: 1 + a.random.Int64N(maxAmount)}
			a.cluster.counters.record(add)
			a.adds = append(a.adds, add)
			a.send(ctx, add)
		case drawn < newAddsOfTen+repeatsOfTen && len(a.adds) > 0:
			a.send(ctx, pick(a.random, a.adds))
		default:
			a.cluster.readCounter(context.WithoutCancel(ctx), &a.client, pick(a.random, a.controllers), counter)
		}
	}
}

func (l *counterLedger) record(add *counterAdd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adds = append(l.adds, add)
}

// send tries an add at one controller after another until it is acknowledged.
func (a *application) send(ctx context.Context, add *counterAdd) {
	body, _ := json.Marshal(map[string]any{"id": add.id, "changed_by": add.amount})
	for _, target := range a.controllers {
		finished := a.cluster.counters.opened(add, target.currentProcess())
		status, answer := callCounter(context.WithoutCancel(ctx), &a.client, http.MethodPost, target, add.counter, body)
		finished(status)
		if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
			a.cluster.addFinding("COUNTER", "%s refuses an add: %d %s", target.Name(), status, answer)
		}
		if status == http.StatusOK || ctx.Err() != nil {
			return
		}
	}
}

// callCounter calls a controller; status 0 is no answer.
func callCounter(ctx context.Context, sender *http.Client, method string, target *machine, counter string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target.Address(localcluster.ControlPort)+counterPath+counter, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := sender.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// readCounter reads a total at a controller. It must have what that process has
// acknowledged, and no more than what was sent.
func (c *cluster) readCounter(ctx context.Context, sender *http.Client, target *machine, counter string) (total int64, ok bool) {
	process := target.currentProcess()
	low := c.counters.ackedBy(counter, process)
	status, answer := callCounter(ctx, sender, http.MethodGet, target, counter, nil)
	if status != http.StatusOK || target.currentProcess() != process {
		return 0, false
	}
	var read struct{ Total int64 }
	if err := json.Unmarshal(answer, &read); err != nil {
		c.addFinding("COUNTER", "%s answers a read with %.100s", target.Name(), answer)
		return 0, false
	}
	if high := c.counters.mostOf(counter); read.Total < low || read.Total > high {
		c.addFinding("COUNTER", "%s reads %d for %s, not %d to %d", target.Name(), read.Total, counter, low, high)
	}
	return read.Total, true
}

// checkCounters checks that soon after the last fault all controllers read the same
// totals, with all that was acknowledged.
func (c *cluster) checkCounters(ctx context.Context) {
	sender := &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer sender.CloseIdleConnections()
	for _, counter := range counterNames {
		low := c.counters.ackedBy(counter, nil)
		err := c.eventually(ctx, localcluster.RecoverWithin+localcluster.MergeWithin, func() error {
			totals := map[int64]bool{}
			for _, m := range c.machinesByRole(controller.Role) {
				total, ok := c.readCounter(ctx, sender, m, counter)
				if !ok || total < low {
					return fmt.Errorf("%s reads %d (%v), %d were acknowledged", m.Name(), total, ok, low)
				}
				totals[total] = true
			}
			if len(totals) > 1 {
				return fmt.Errorf("the controllers read %v", totals)
			}
			return nil
		})
		if err != nil {
			c.addFinding("COUNTER", "%s after the last fault: %v", counter, err)
		}
	}
}
