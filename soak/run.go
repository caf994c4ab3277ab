package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/emulator/client"
)

// Report is what a run saw.
type Report struct {
	Options  Options
	Findings []Finding
	// Requests were sent by clients, Served had a whole success.
	Requests, Served int64
	// Acknowledged, Refused and Open count changes of the configuration; Longest
	// is the longest that an acknowledgement took.
	Acknowledged, Rejected, Unknown int
	LongestAck                      clock.Span
	Reads                           int
	// ProcessStarts counts the processes that were started, Troubles what was played.
	ProcessStarts int
	Faults        map[string]int
	// Recovery is how long after all trouble everything served again, Force how long
	// the last change took to be in force everywhere, PeakMemoryMB the most memory that
	// a daemon had.
	Recovery, Propagation clock.Span
	PeakMemoryMB          float64
}

// Run plays one run. It ends all that it started, also when the scope ends.
func Run(top scope.Scope, options Options) (Report, error) {
	if err := options.Validate(); err != nil {
		return Report{}, err
	}
	ctx, end := top.WithCancel()
	e, err := newCluster(ctx, options)
	defer func() {
		end()
		if e != nil {
			e.close()
		}
	}()
	if err != nil {
		return Report{}, err
	}
	report := Report{Options: options, Faults: map[string]int{}}
	go e.sampleMemory(ctx)
	if !e.bootstrap(ctx) {
		return report, fmt.Errorf("soak: the deployment does not serve: see the logs in %s", options.Dir)
	}
	e.runWorkload(ctx, &report)
	e.check(ctx, &report)
	e.fillReport(&report)
	return report, nil
}

// bootstrap sends the first configuration and waits until all routers are ready.
func (c *cluster) bootstrap(ctx scope.Scope) bool {
	asker := newOperator(c, rand.New(rand.NewPCG(c.options.Seed, 1)))
	body, err := json.Marshal(initialDocument())
	if err != nil {
		return false
	}
	first := &configChange{id: "first", method: http.MethodPut, baseVersion: 0, version: 1, body: body, valid: true, action: "first"}
	for begin := ctx.Now(); ctx.Now().Since(begin) < recoverWithin; {
		if c.history.latestVersion() == 0 {
			asker.sendChange(ctx, first)
		}
		if c.history.latestVersion() > 0 && c.firstNotReady() == "" {
			return true
		}
		if !ctx.Wait(100 * clock.Millisecond) {
			return false
		}
	}
	return false
}

// runWorkload has clients, operators and troubles go on together until the length is over.
func (c *cluster) runWorkload(ctx scope.Scope, report *Report) {
	working, rest := ctx.WithCancel()
	var workers, troubles sync.WaitGroup
	for index := range c.options.Clients {
		workers.Add(1)
		go func() {
			defer workers.Done()
			c.runClient(working, index)
		}()
	}
	for index := range c.options.Operators {
		own := newOperator(c, rand.New(rand.NewPCG(c.options.Seed, uint64(100+index))))
		workers.Add(1)
		go func() {
			defer workers.Done()
			own.run(working)
		}()
	}
	c.injectFaults(ctx, report, &troubles)
	troubles.Wait()
	// Clients and operators go on a little when all is over.
	ctx.Wait(clock.Second)
	rest()
	workers.Wait()
}

// injectFaults begins the troubles at their moments.
func (c *cluster) injectFaults(ctx scope.Scope, report *Report, troubles *sync.WaitGroup) {
	drawn := rand.New(rand.NewPCG(c.options.Seed, 2))
	names := c.options.Faults
	if len(names) == 0 {
		names = FaultNames()
	}
	for begin := ctx.Now(); ctx.Now().Since(begin) < c.options.Duration; {
		for range c.options.FaultsPerBurst {
			kind, _ := faultByName(pick(drawn, names))
			own, after := rand.New(rand.NewPCG(drawn.Uint64(), 3)), randomDuration(drawn, 0, clock.Second)
			report.Faults[kind.name]++
			troubles.Add(1)
			go func() {
				defer troubles.Done()
				if ctx.Wait(after) {
					kind.inject(c, ctx, own)
				}
			}()
		}
		if !ctx.Wait(randomDuration(drawn, c.options.BurstInterval/2, c.options.BurstInterval*3/2)) {
			return
		}
	}
}

// runClient sends one request after another.
func (c *cluster) runClient(ctx scope.Scope, index int) {
	routers := c.machinesByRole("router")
	own := &client.Client{
		RouterAddress: func(router int) string { return routers[router].Address(frontPort) },
		Grace:         2 * clock.Second, Checker: &c.oracle,
	}
	defer own.Close()
	draw := client.Generator{
		Seed: c.options.Seed, Routers: len(routers), Services: serviceNames, Timeout: 2 * clock.Second, MalformedRate: c.options.MalformedRate,
	}
	finish := ctx.WithoutCancel()
	for ctx.Wait(4 * clock.Millisecond) {
		asked := draw.Request(int(c.requests.Add(1)))
		begin := ctx.Now()
		got := own.Send(finish, asked)
		c.oracle.RecordResponse(got)
		if got.Status == http.StatusOK && got.Complete {
			c.served.Add(1)
		}
		if c.options.plannedOnly() && !got.Complete && !asked.Abandons && ctx.Now().Since(begin) < callTimeout {
			c.unanswered.Store(asked.Record.Attempt, fmt.Sprintf("status %d at %s: %s", got.Status, routers[asked.Router].Name(), got.Note))
		}
	}
}

// Print prints the report.
func (r Report) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d requests, %d served; changes: %d acknowledged, %d refused, %d unclear, longest acknowledgement %.2f s; %d reads; %d processes started; troubles %v; all served %.2f s after trouble, a change in force everywhere after %.2f s; at most %.0f MB\n",
		r.Options.Seed, r.Requests, r.Served, r.Acknowledged, r.Rejected, r.Unknown, r.LongestAck.Seconds(), r.Reads,
		r.ProcessStarts, r.Faults, r.Recovery.Seconds(), r.Propagation.Seconds(), r.PeakMemoryMB)
	for _, finding := range r.Findings {
		fmt.Fprintf(out, "  %s: %s\n", finding.Rule, finding.Detail)
	}
	if len(r.Findings) > 0 {
		fmt.Fprintf(out, "  again: %s\n  logs: %s\n", r.Options.ReproduceCommand(), r.Options.Dir)
	}
}

// RemoveDirIfClean removes the folder of a run that found nothing.
func (r Report) RemoveDirIfClean() error {
	if len(r.Findings) > 0 {
		return nil
	}
	return os.RemoveAll(r.Options.Dir)
}
