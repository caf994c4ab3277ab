package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"onyxwell/base/ids"
	"onyxwell/control/controller"
	"onyxwell/data/router"
	"onyxwell/data/upstream"
	"onyxwell/emulator/client"
	"onyxwell/emulator/links"
	"onyxwell/soak/localcluster"
)

const (
	// checkAttemptPrefix begins the attempt ids of the checks' own requests.
	checkAttemptPrefix = "exam-"
	// pollInterval is the time between two tries of a condition.
	pollInterval = 20 * time.Millisecond
	// probesPerRouter is how many requests each router gets in a round that looks
	// for requests to an evacuated zone.
	probesPerRouter        = 4
	evacuationPollInterval = 100 * time.Millisecond
	// maxQuotedBody is how many bytes of a failed response a finding quotes.
	maxQuotedBody = 200
)

// checkGuarantees ends all faults and checks that everything recovers, and that
// what was recorded during the run kept every guarantee.
func (c *cluster) checkGuarantees(ctx context.Context, report *Report) {
	c.endFaults()
	op := newOperator(c, c.random(streamCheck))
	c.checkRecovery(ctx, op, report)
	c.checkRollout(ctx, &c.rollout)
	c.checkRollout(ctx, &c.calmRollout)
	c.checkPropagation(ctx, op, report)
	c.checkRevocation(ctx, op)
	c.checkEvacuation(ctx, op)
	c.checkCounters(ctx)
	c.checkQuota(ctx)
	c.checkDuties(ctx)
	c.checkControllerReads(ctx, op)
	c.checkInvariantMetrics(ctx)
	c.checkMemory(report)
	c.history.check(c.addFinding)
	for _, violation := range c.checker.Check() {
		c.addFinding(violation.Rule, "attempt %s: %s\n      %s", violation.Attempt, violation.Reason, strings.Join(violation.History, "\n      "))
	}
	c.checkLostRequests()
	c.checkLogs()
}

// endFaults ends the faults that may still be in force.
func (c *cluster) endFaults() {
	for _, m := range c.machines {
		m.setLinkFaults(links.Faults{})
		m.signal(syscall.SIGCONT)
	}
	c.duties.endLosses()
	c.platform.Unavailable.Store(false)
	for _, r := range c.runners {
		r.StopFaults()
	}
}

// eventually tries the condition until it returns nil, or the timeout has passed
// or ctx ended; then it returns the condition's last error.
func (c *cluster) eventually(ctx context.Context, timeout time.Duration, condition func() error) error {
	for start := c.clock.Now(); ; {
		err := condition()
		if err == nil {
			return nil
		}
		if c.clock.Now().Since(start) > timeout || !c.wait(ctx, pollInterval) {
			return err
		}
	}
}

// checkRecovery checks that every zone's evacuation is ended, every router is ready
// and serves every service. An operator that was stopped, or got no clear answer,
// may have left zones evacuated.
func (c *cluster) checkRecovery(ctx context.Context, op *operator, report *Report) {
	start, evacuated := c.clock.Now(), c.layout.AllZones()
	err := c.eventually(ctx, localcluster.RecoverWithin, func() error {
		for len(evacuated) > 0 {
			if err := c.endEvacuation(ctx, op, evacuated[0]); err != nil {
				return err
			}
			evacuated = evacuated[1:]
		}
		if err := c.checkReady(ctx); err != nil {
			return err
		}
		return c.checkServing(ctx)
	})
	if err != nil {
		c.addFinding("RECOVER", "%v after the last fault: %v", localcluster.RecoverWithin, err)
	}
	report.Recovery = c.clock.Now().Since(start)
}

// endEvacuation asks each controller once to end a zone's evacuation, until one
// acknowledges it.
func (c *cluster) endEvacuation(ctx context.Context, op *operator, zone localcluster.Zone) error {
	status := 0
	for _, m := range c.machinesByRole(controller.Role) {
		resp := op.doOnce(ctx, m, http.MethodDelete, evacuationPath+string(zone.Name), noVersion, nil)
		if status = resp.status; status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the end of %s's evacuation gets %d", zone.Name, status)
}

// checkServing returns an error that names a router and a service that it does not
// serve.
func (c *cluster) checkServing(ctx context.Context) error {
	for _, m := range c.machinesByRole(router.Role) {
		for _, service := range serviceNames {
			if err := probeRouter(ctx, m, "/"+service+"/safe/exam"); err != nil {
				return fmt.Errorf("%s does not serve %s: %w", m.Name(), service, err)
			}
		}
	}
	return nil
}

// checkReady returns an error that names a router which is not ready.
func (c *cluster) checkReady(ctx context.Context) error {
	for _, m := range c.machinesByRole(router.Role) {
		if _, err := get(ctx, m.Address(localcluster.ReadyPort), "/ready"); err != nil {
			return fmt.Errorf("%s is not ready: %w", m.Name(), err)
		}
	}
	return nil
}

// checkPropagation checks that a change is acknowledged, and then in force at
// every router within its bound.
func (c *cluster) checkPropagation(ctx context.Context, op *operator, report *Report) {
	if err := c.eventually(ctx, localcluster.RecoverWithin, func() error { return op.makeChange(ctx) }); err != nil {
		c.addFinding("ACKS", "%v after the last fault: %v", localcluster.RecoverWithin, err)
		return
	}
	acked := c.clock.Now()
	path := markerPrefix + op.lastAcked.id + "/exam"
	var checks sync.WaitGroup
	for _, m := range c.machinesByRole(router.Role) {
		checks.Add(1)
		go func() {
			defer checks.Done()
			if err := c.eventually(ctx, localcluster.ApplyWithin, func() error { return probeRouter(ctx, m, path) }); err != nil {
				c.addFinding("CONFIG", "%s does not serve the newest route %v after its acknowledgement: %v", m.Name(), localcluster.ApplyWithin, err)
			}
		}()
	}
	checks.Wait()
	report.Propagation = c.clock.Now().Since(acked)
}

// makeChange reads the configuration and changes it; afterwards the change is
// lastAcked.
func (o *operator) makeChange(ctx context.Context) error {
	if !o.readConfig(ctx) {
		return errors.New("no read is answered")
	}
	o.lastAcked = nil
	o.changeConfig(ctx)
	if o.lastAcked == nil {
		return errors.New("no change is acknowledged")
	}
	return nil
}

// checkEvacuation checks that an evacuated zone gets no more requests after the
// bound.
func (c *cluster) checkEvacuation(ctx context.Context, op *operator) {
	zone := c.layout.AllZones()[0].Name
	path := evacuationPath + string(zone)
	if resp := op.do(ctx, http.MethodPost, path, noVersion, nil); resp.status != http.StatusOK {
		c.addFinding("EVAC", "an evacuation without faults gets %d", resp.status)
		return
	}
	acked := c.clock.Now()
	for c.probesReach(ctx, zone) {
		if c.clock.Now().Since(acked) > localcluster.EvacuateWithin || !c.wait(ctx, evacuationPollInterval) {
			c.addFinding("EVAC", "%s still gets requests %v after its evacuation was acknowledged", zone, localcluster.EvacuateWithin)
			break
		}
	}
	if resp := op.do(ctx, http.MethodDelete, path, noVersion, nil); resp.status != http.StatusOK {
		c.addFinding("EVAC", "an evacuation's end without faults gets %d", resp.status)
	}
}

// probesReach sends requests to every router and reports whether runners of the
// zone got some request meanwhile.
func (c *cluster) probesReach(ctx context.Context, zone ids.Zone) bool {
	before := c.executionsIn(zone)
	for _, m := range c.machinesByRole(router.Role) {
		for range probesPerRouter {
			_ = probeRouter(ctx, m, "/"+serviceNames[0]+"/safe/exam")
		}
	}
	return c.executionsIn(zone) != before
}

// executionsIn returns how many requests the runners of the zone got.
func (c *cluster) executionsIn(zone ids.Zone) int64 {
	executions := int64(0)
	for _, zr := range c.allRunners() {
		if zr.zone == zone {
			executions += zr.executions.Load()
		}
	}
	return executions
}

// checkControllerReads reads the configuration from every controller; the history
// shows whether it was the newest one.
func (c *cluster) checkControllerReads(ctx context.Context, op *operator) {
	for _, m := range c.machinesByRole(controller.Role) {
		if err := c.eventually(ctx, localcluster.ApplyWithin, func() error {
			start := c.clock.Now()
			resp := op.doOnce(ctx, m, http.MethodGet, configPath, noVersion, nil)
			if resp.status != http.StatusOK {
				return fmt.Errorf("status %d", resp.status)
			}
			c.recordRead(start, resp.body)
			return nil
		}); err != nil {
			c.addFinding("CONFIG", "%s answers no read without faults: %v", m.Name(), err)
		}
	}
}

// checkLostRequests finds requests that ran and whose clients got no complete
// response though only planned work was injected.
func (c *cluster) checkLostRequests() {
	c.unanswered.Range(func(attempt any, response any) bool {
		if _, ok := c.executed.Load(attempt); ok {
			c.addFinding("LOST", "attempt %s ran and got no complete response, %s", attempt, response)
		}
		return true
	})
}

// probeClient opens a connection for every request.
var probeClient = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// probeRouter sends a tenant's request to a router over a new connection, and returns
// an error unless the status is 200.
func probeRouter(ctx context.Context, m *machine, path string) error {
	return probeWithKey(ctx, &probeClient, m, path, client.Tenants()[0].APIKeys[0], http.StatusOK)
}

// probeWithKey sends a request with a key to a router, and returns an error unless
// the status is the one that is wanted.
func probeWithKey(ctx context.Context, sender *http.Client, m *machine, path string, key string, want int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Address(localcluster.FrontPort)+path, nil)
	if err != nil {
		return err
	}
	req.Host = client.Host
	req.Header.Set(upstream.AttemptIDHeader, fmt.Sprintf("%s%x", checkAttemptPrefix, rand.Uint64()))
	req.Header.Set(upstream.APIKeyHeader, key)
	resp, err := sender.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxQuotedBody))
	if resp.StatusCode != want {
		return fmt.Errorf("%s, not %d: %s", resp.Status, want, text)
	}
	return nil
}

// get returns the body of a page; a status other than 200 is an error.
func get(ctx context.Context, address string, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", err
	}
	resp, err := probeClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", err
	}
	if resp.StatusCode != http.StatusOK {
		return "", errors.New(resp.Status)
	}
	return string(body), nil
}
