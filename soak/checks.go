package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/controller"
	"onyxwell/data/router"
	"onyxwell/emulator/client"
	"onyxwell/emulator/links"
	"onyxwell/soak/localcluster"
)

const (
	frontPort = localcluster.FrontPort
	// checkAttemptPrefix begins the ids of the examination's own requests.
	checkAttemptPrefix = "exam-"
)

// check looks, once all trouble is over, whether everything that was promised
// is there.
func (c *cluster) check(ctx scope.Scope, report *Report) {
	for _, machine := range c.machines {
		machine.setLinkFaults(links.Faults{})
		machine.signal(continueSignal)
	}
	c.platform.Unavailable.Store(false)
	begin := ctx.Now()
	asker := newOperator(c, rand.New(rand.NewPCG(c.options.Seed, 4)))
	if !c.waitUntilEmpty(ctx, recoverWithin, c.firstNotReady) {
		c.addFinding("RECOVER", "%v after all trouble: %s", recoverWithin, c.firstNotReady())
	}
	report.Recovery = ctx.Now().Since(begin)
	c.checkPropagation(ctx, asker, report)
	c.checkEvacuation(ctx, asker)
	c.checkControllerReads(ctx, asker)
	c.checkInvariantMetrics(ctx)
	c.checkMemory(report)
	c.history.check(c.addFinding)
	for _, verdict := range c.oracle.Check() {
		c.addFinding(verdict.Rule, "attempt %s: %s\n      %s", verdict.Attempt, verdict.Reason, strings.Join(verdict.History, "\n      "))
	}
	c.checkLostRequests()
	c.checkLogs()
}

// checkLostRequests looks for requests that ran and whose clients got no whole answer
// though nothing but planned work went on.
func (c *cluster) checkLostRequests() {
	c.unanswered.Range(func(attempt any, how any) bool {
		if _, ran := c.executed.Load(attempt); ran {
			c.addFinding("LOST", "attempt %s ran and got no whole answer, %s", attempt, how)
		}
		return true
	})
}

// waitUntilEmpty waits until nothing is left to say, at most for the span.
func (c *cluster) waitUntilEmpty(ctx scope.Scope, limit clock.Span, left func() string) bool {
	for begin := ctx.Now(); left() != ""; {
		if ctx.Now().Since(begin) > limit || !ctx.Wait(20*clock.Millisecond) {
			return false
		}
	}
	return true
}

// firstNotReady says which router is not ready; "" is none.
func (c *cluster) firstNotReady() string {
	for _, machine := range c.machinesByRole(router.Role) {
		if status, _ := httpGet(machine.Address(localcluster.ReadyPort), "/ready"); status != http.StatusOK {
			return fmt.Sprintf("%s is not ready: %d", machine.Name(), status)
		}
	}
	return ""
}

// httpGet asks for a page, in a second at most.
func httpGet(address string, path string) (int, string) {
	asking := http.Client{Timeout: clock.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := asking.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// checkPropagation wants a change acknowledged and in force at every router.
func (c *cluster) checkPropagation(ctx scope.Scope, asker *operator, report *Report) {
	if !c.waitUntilEmpty(ctx, recoverWithin, func() string {
		if _, found := asker.readConfig(ctx); !found {
			return "no read is answered"
		}
		asker.lastAcked = nil
		asker.changeConfig(ctx)
		if asker.lastAcked == nil {
			return "no change is acknowledged"
		}
		return ""
	}) {
		c.addFinding("ACKS", "no change is acknowledged %v after all trouble", recoverWithin)
		return
	}
	acked := ctx.Now()
	path := markerPrefix + asker.lastAcked.id + "/exam"
	var all sync.WaitGroup
	for _, machine := range c.machinesByRole(router.Role) {
		all.Add(1)
		go func() {
			defer all.Done()
			last := ""
			if !c.waitUntilEmpty(ctx, applyWithin, func() string {
				last = c.probeRouter(machine, path)
				return last
			}) {
				c.addFinding("CONFIG", "%s does not serve the newest route %v after its acknowledgement: %s", machine.Name(), applyWithin, last)
			}
		}()
	}
	all.Wait()
	report.Propagation = ctx.Now().Since(acked)
}

// probeRouter asks a router for a path; "" is a success.
func (c *cluster) probeRouter(machine *machine, path string) string {
	request, err := http.NewRequest(http.MethodGet, "http://"+machine.Address(frontPort)+path, nil)
	if err != nil {
		return err.Error()
	}
	request.Host = client.Host
	request.Header.Set("Onyxwell-Attempt-Id", fmt.Sprintf("%s%x", checkAttemptPrefix, rand.Uint64()))
	asking := http.Client{Timeout: clock.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := asking.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.Status
	}
	return ""
}

// checkEvacuation wants a zone left alone once it is emptied.
func (c *cluster) checkEvacuation(ctx scope.Scope, asker *operator) {
	zone := c.layout.AllZones()[0].Name
	if got := asker.do(ctx, http.MethodPost, "/empty/"+string(zone), -1, nil); got.status != http.StatusOK {
		c.addFinding("EVAC", "an evacuation in calm gets %d", got.status)
		return
	}
	acked := ctx.Now()
	for {
		before := c.executionsIn(zone)
		for _, machine := range c.machinesByRole(router.Role) {
			for range 4 {
				c.probeRouter(machine, "/"+serviceNames[0]+"/safe/exam")
			}
		}
		if c.executionsIn(zone) == before {
			break
		}
		if ctx.Now().Since(acked) > evacuateWithin || !ctx.Wait(100*clock.Millisecond) {
			c.addFinding("EVAC", "%s still gets requests %v after its evacuation was acknowledged", zone, evacuateWithin)
			break
		}
	}
	if got := asker.do(ctx, http.MethodDelete, "/empty/"+string(zone), -1, nil); got.status != http.StatusOK {
		c.addFinding("EVAC", "an evacuation's end in calm gets %d", got.status)
	}
}

func (c *cluster) executionsIn(zone any) int64 {
	runs := int64(0)
	for _, played := range c.runners {
		if any(played.zone.Name) == zone {
			runs += played.executions.Load()
		}
	}
	return runs
}

// checkControllerReads wants the newest configuration from every controller.
func (c *cluster) checkControllerReads(ctx scope.Scope, asker *operator) {
	for _, machine := range c.machinesByRole(controller.Role) {
		begin := ctx.Now()
		if !c.waitUntilEmpty(ctx, applyWithin, func() string {
			begin = ctx.Now()
			got := asker.doOnce(ctx, machine.Address(localcluster.ControlPort), http.MethodGet, "/settings", -1, nil)
			if got.status != http.StatusOK {
				return fmt.Sprint(got.status)
			}
			asker.recordRead(begin, ctx.Now(), got)
			return ""
		}) {
			c.addFinding("CONFIG", "%s answers no read in calm", machine.Name())
		}
	}
}

// fillReport fills the report in.
func (c *cluster) fillReport(report *Report) {
	report.Requests, report.Served = c.requests.Load(), c.served.Load()
	report.Acknowledged, report.Rejected, report.Unknown, report.LongestAck = c.history.counts()
	report.Reads = len(c.history.reads)
	for _, machine := range c.machines {
		starts, _ := machine.stats()
		report.ProcessStarts += starts
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	report.Findings = c.findings
}
