package simulation

import (
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config/evacuation"
)

// maxInFlight is how many orders an operator has under way at most.
const maxInFlight = 8

// knownConfig is what the operators know together of the configuration.
type knownConfig struct {
	version  int64
	accepted []clientCommand
}

// runClient has an operator give orders until the run ends.
func (c *Cluster) runClient(who string) {
	under := make(chan struct{}, maxInFlight)
	for !c.stopping {
		pause := c.drawBetween("order "+who, 20*clock.Millisecond, 600*clock.Millisecond)
		if c.highLoad {
			pause /= 8
		}
		c.sleep(pause)
		if c.stopping {
			return
		}
		under <- struct{}{}
		work := c.drawOperation(who)
		go func() {
			work(c, who)
			<-under
		}()
	}
}

// workload are what operators do, with how often of a hundred.
var workload = []struct {
	share int
	work  func(world *Cluster, who string)
}{
	{32, func(world *Cluster, who string) { world.changeConfig(who, false) }},
	{12, func(world *Cluster, who string) { world.changeConfig(who, true) }},
	{10, (*Cluster).raceChanges},
	{8, (*Cluster).changeOnStaleVersion},
	{14, (*Cluster).changeZone},
	{8, (*Cluster).readDrawnZone},
	{8, func(world *Cluster, _ string) { world.readConfigAndLearn() }},
	{8, (*Cluster).repeatAccepted},
}

func (c *Cluster) drawOperation(who string) func(*Cluster, string) {
	drawn := c.drawBelow("work "+who, 100)
	for _, choice := range workload {
		if drawn -= choice.share; drawn < 0 {
			return choice.work
		}
	}
	return workload[0].work
}

func (c *Cluster) knownVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.version
}

// learnVersion notes a version that is surely in force or was.
func (c *Cluster) learnVersion(version int64, by *clientCommand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known.version = max(c.known.version, version)
	if by != nil {
		c.known.accepted = append(c.known.accepted, *by)
	}
}

func (c *Cluster) readConfigAndLearn() {
	if version, found := c.readConfig(6 * clock.Second); found {
		c.learnVersion(version, nil)
	}
}

// executeChange gives a change and learns from the answer.
func (c *Cluster) executeChange(asked clientCommand) outcome {
	did, _ := c.execute(asked)
	c.record(did)
	if did.outcome == accepted {
		c.recordAck(did)
		c.learnVersion(did.version, &asked)
	} else {
		c.readConfigAndLearn()
	}
	return did.outcome
}

func (c *Cluster) changeConfig(who string, patched bool) {
	match := c.knownVersion()
	if match == 0 {
		patched = false
	}
	c.executeChange(c.changeCommand(match, match+1+int64(c.drawBelow("step "+who, 3)), patched))
}

// raceChanges has two operators choose the same number for different changes.
func (c *Cluster) raceChanges(who string) {
	match := c.knownVersion()
	version := match + 1 + int64(c.drawBelow("step "+who, 2))
	done := make(chan struct{})
	go func() {
		c.executeChange(c.changeCommand(match, version, false))
		close(done)
	}()
	c.sleep(c.drawBetween("race "+who, 0, 30*clock.Millisecond))
	c.executeChange(c.changeCommand(match, version, false))
	<-done
}

// changeOnStaleVersion builds on a version that is no longer in force.
func (c *Cluster) changeOnStaleVersion(who string) {
	match := c.knownVersion() - 1 - int64(c.drawBelow("stale "+who, 4))
	if match < 0 {
		return
	}
	asked := c.changeCommand(match, match+1+int64(c.drawBelow("ahead "+who, 8)), false)
	asked.timeout = 6 * clock.Second
	c.executeChange(asked)
}

// repeatAccepted sends an order again that was taken, however long ago: it is taken
// again or left without a clear answer.
func (c *Cluster) repeatAccepted(who string) {
	c.mu.Lock()
	taken := c.known.accepted
	c.mu.Unlock()
	if len(taken) == 0 {
		return
	}
	asked := taken[c.drawBelow("repeat "+who, len(taken))]
	targets := c.controllers()
	if len(targets) == 0 {
		return
	}
	status, body := c.sendOnce(targets[c.drawBelow("target "+who, len(targets))], asked, &attempt{begin: c.now()})
	c.count("repeats")
	if outcomeByStatus[status] == rejected {
		c.reportViolation("order %d (version %d on %d) was acknowledged, and is refused when it is sent again: %d %.200s", asked.commandID, asked.version, asked.match, status, body)
	}
	if status == http.StatusOK {
		c.count("repeats acknowledged")
	}
}

func (c *Cluster) changeZone(who string) {
	places := c.options.Site.Locations
	asked := c.zoneCommand(places[c.drawBelow("zone "+who, len(places))].Zone, c.drawOneIn("empty "+who, 2))
	did, _ := c.execute(asked)
	c.record(did)
	if did.outcome == accepted {
		c.recordAck(did)
	}
}

// readDrawnZone reads whether a zone is emptied, at any controller.
func (c *Cluster) readDrawnZone(who string) {
	places, targets := c.options.Site.Locations, c.controllers()
	if len(targets) == 0 {
		return
	}
	zone := places[c.drawBelow("zone "+who, len(places))].Zone
	c.readZone(targets[c.drawBelow("target "+who, len(targets))], zone)
}

// readZone reads whether a zone is emptied at a controller.
func (c *Cluster) readZone(target *Machine, zone ids.Zone) {
	if target.process == nil || target.process.control == nil || target.frozen {
		return
	}
	did := operation{commandID: c.nextCommandID(), key: "evacuation/" + string(zone), verb: "look", begin: c.now()}
	ctx := scope.New(scope.Options{Clock: machineClock{machine: target}})
	limited, release := ctx.WithTimeout(clock.Second)
	defer release()
	value, err := target.process.control.Read(limited, evacuation.Key(zone))
	did.end = c.now()
	if err == nil {
		kept, err := evacuation.Decode(value)
		if err != nil {
			c.reportViolation("the value of %s can't be read: %v", zone, err)
		}
		did.drained, did.outcome = kept.Drained, accepted
	}
	c.record(did)
}
