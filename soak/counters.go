package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"onyxwell/control/controller"
	"onyxwell/emulator/oracle"
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

// application adds to counters and reads them, at the controller of its zone first. It is
// not safe for concurrent use.
type application struct {
	cluster     *cluster
	number      int
	random      *rand.Rand
	client      http.Client
	controllers []*machine
	adds        []*oracle.CounterAdd
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
			add := &oracle.CounterAdd{Counter: counter, ID: fmt.Sprintf("%d-%d", a.number, call), Amount: 1 + a.random.Int64N(maxAmount)}
			a.cluster.counters.Record(add)
			a.adds = append(a.adds, add)
			a.send(ctx, add)
		case drawn < newAddsOfTen+repeatsOfTen && len(a.adds) > 0:
			a.send(ctx, pick(a.random, a.adds))
		default:
			a.cluster.readCounter(context.WithoutCancel(ctx), &a.client, pick(a.random, a.controllers), counter)
		}
	}
}

// sinceOrigin is the present instant as the ledger of the counters takes it.
func (c *cluster) sinceOrigin() time.Duration { return c.clock.Now().Since(0) }

// send tries an add at one controller after another until it is acknowledged.
func (a *application) send(ctx context.Context, add *oracle.CounterAdd) {
	body, _ := json.Marshal(map[string]any{"id": add.ID, "changed_by": add.Amount})
	for _, target := range a.controllers {
		counters, process := a.cluster.counters, target.currentProcess()
		counters.Sent(add)
		resp := callControl(context.WithoutCancel(ctx), &a.client, target, http.MethodPost, counterPath+add.Counter, noVersion, body)
		now := a.cluster.sinceOrigin()
		counters.Answered(add, resp.status, oracle.CounterAck{At: now, Process: process, Exposed: !counters.Calm(now)})
		if resp.status >= http.StatusBadRequest && resp.status < http.StatusInternalServerError && resp.status != http.StatusTooManyRequests {
			a.cluster.addFinding("COUNTER", "%s refuses an add: %d %s", target.Name(), resp.status, resp.body)
		}
		if resp.status == http.StatusOK || ctx.Err() != nil {
			return
		}
	}
}

// readCounter reads a total at a controller. It must have what that process has
// acknowledged, and no more than what was sent.
func (c *cluster) readCounter(ctx context.Context, sender *http.Client, target *machine, counter string) (total int64, ok bool) {
	process := target.currentProcess()
	low := c.counters.Least(counter, process, 0)
	resp := callControl(ctx, sender, target, http.MethodGet, counterPath+counter, noVersion, nil)
	if resp.status != http.StatusOK || target.currentProcess() != process {
		return 0, false
	}
	var read struct{ Total int64 }
	if err := json.Unmarshal(resp.body, &read); err != nil {
		c.addFinding("COUNTER", "%s answers a read with %.100s", target.Name(), resp.body)
		return 0, false
	}
	if high := c.counters.Most(counter); read.Total < low || read.Total > high {
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
		low := c.counters.Least(counter, nil, oracle.Always)
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
