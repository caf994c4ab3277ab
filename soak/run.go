package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/data/router"
	"onyxwell/emulator/client"
	"onyxwell/soak/localcluster"
)

const (
	bootstrapInterval = 100 * time.Millisecond
	// maxFaultDelay is the longest time from the start of a burst to a fault of it.
	maxFaultDelay = time.Second
	// settleTime is how long clients and operators go on after the last fault.
	settleTime = time.Second

	clientInterval = 4 * time.Millisecond
	// clientTimeout is the deadline that most clients send, and how long they wait
	// beyond it.
	clientTimeout = 2 * time.Second
)

// Run makes one run; it ends early when ctx ends. Everything that it started has
// been stopped when it returns. An error says that the run could not be made, or
// that the cluster did not come up; broken guarantees are findings of the report.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.Validate(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c, err := newCluster(ctx, clock.NewMonotonic(), options)
	if c != nil {
		defer c.close()
		// The supervisors that close awaits end with ctx, so it is cancelled first.
		defer cancel()
	}
	if err != nil {
		return Report{}, err
	}
	report := Report{Options: options, Faults: map[string]int{}}
	if err := c.bootstrap(ctx); err != nil {
		return report, err
	}
	c.runWorkload(ctx, &report)
	c.checkGuarantees(ctx, &report)
	c.fillReport(&report)
	return report, nil
}

// bootstrap sends the initial configuration and waits until all routers are
// ready.
func (c *cluster) bootstrap(ctx context.Context) error {
	body, err := json.Marshal(initialDocument())
	if err != nil {
		return err
	}
	op := newOperator(c, c.random(streamBootstrap))
	initial := &configChange{id: initialID, method: http.MethodPut, baseVersion: 0, version: 1, body: body, valid: true, action: "initial"}
	for start := c.clock.Now(); c.clock.Now().Since(start) < localcluster.RecoverWithin; {
		if c.history.latestVersion() == 0 {
			op.sendChange(ctx, initial)
		}
		if c.history.latestVersion() > 0 && c.checkReady(ctx) == nil {
			return nil
		}
		if !c.wait(ctx, bootstrapInterval) {
			break
		}
	}
	return fmt.Errorf("soak: the cluster does not serve: see the logs in %s", c.options.Dir)
}

// runWorkload runs clients, operators and faults together, and returns when all
// have ended.
func (c *cluster) runWorkload(ctx context.Context, report *Report) {
	working, stop := context.WithCancel(ctx)
	defer stop()
	var workers, faults sync.WaitGroup
	for range c.options.Clients {
		workers.Add(1)
		go func() {
			defer workers.Done()
			c.runClient(working)
		}()
	}
	for range hotClients {
		workers.Go(func() { c.runHotClient(working) })
	}
	for index := range c.options.Operators {
		op := newOperator(c, c.random(streamOperator+uint64(index)))
		workers.Add(1)
		go func() {
			defer workers.Done()
			op.run(working)
		}()
	}
	for number := range c.options.Applications {
		workers.Go(func() { newApplication(c, number).run(working) })
	}
	workers.Go(func() {
		if c.wait(working, rolloutDelay) {
			c.runRollout(working, &c.rollout)
		}
	})
	c.injectFaults(ctx, report.Faults, &faults)
	faults.Wait()
	c.wait(ctx, settleTime)
	stop()
	workers.Wait()
}

// injectFaults begins a burst of faults after every interval, for the duration of
// the run. It counts them by name and adds each to running until it is over.
func (c *cluster) injectFaults(ctx context.Context, counts map[string]int, running *sync.WaitGroup) {
	random := c.random(streamFaults)
	names := c.options.Faults
	if len(names) == 0 {
		names = FaultNames()
	}
	interval := c.options.BurstInterval
	for start := c.clock.Now(); c.clock.Now().Since(start) < c.options.Duration; {
		for range c.options.FaultsPerBurst {
			f, _ := faultByName(pick(random, names))
			ownRandom, delay := rand.New(rand.NewPCG(random.Uint64(), streamFault)), randomDuration(random, 0, maxFaultDelay)
			counts[f.name]++
			running.Add(1)
			go func() {
				defer running.Done()
				if c.wait(ctx, delay) {
					c.counters.FaultBegins(c.sinceOrigin())
					defer func() { c.counters.FaultEnds(c.sinceOrigin()) }()
					f.inject(c, ctx, ownRandom)
				}
			}()
		}
		if !c.wait(ctx, randomDuration(random, interval/2, interval*3/2)) {
			return
		}
	}
}

// runClient sends one request after another until ctx ends; the last one is
// still completed.
func (c *cluster) runClient(ctx context.Context) {
	routers := c.machinesByRole(router.Role)
	cl := &client.Client{
		RouterAddress: func(index int) string { return routers[index].Address(localcluster.FrontPort) },
		Grace:         clientTimeout, Checker: &c.checker,
	}
	defer cl.Close()
	generator := client.Generator{
		Seed: c.options.Seed, Routers: len(routers), Services: serviceNames, Timeout: clientTimeout, MalformedRate: c.options.MalformedRate, MayBeCutOff: true,
	}
	sending := c.scope(context.WithoutCancel(ctx))
	for c.wait(ctx, clientInterval) {
		req := generator.Request(int(c.requests.Add(1)))
		start := c.clock.Now()
		resp := cl.Send(sending, req)
		c.checker.RecordResponse(resp)
		if resp.Status == http.StatusOK && resp.Complete {
			c.served.Add(1)
		}
		if c.options.plannedOnly() && !resp.Complete && !req.Abandons && c.clock.Now().Since(start) < callTimeout {
			c.unanswered.Store(req.Record.Attempt, fmt.Sprintf("status %d at %s: %s", resp.Status, routers[req.Router].Name(), resp.Note))
		}
	}
}

// fillReport sums up what the run recorded.
func (c *cluster) fillReport(report *Report) {
	report.Rollout = c.rollout.String() + "; in calm " + c.calmRollout.String()
	report.Requests, report.Served = c.requests.Load(), c.served.Load()
	c.history.fillReport(report)
	for _, m := range c.machines {
		starts, _ := m.stats()
		report.ProcessStarts += starts
	}
	report.Findings = c.allFindings()
}
