package simulation

import (
	"net/http"
	"time"
)

const (
	// maxInFlight is how many commands a client has under way at most.
	maxInFlight = 8
	// A client's next command follows after a drawn pause between the two, divided
	// by highLoadFactor at high load.
	minCommandPause = 20 * time.Millisecond
	maxCommandPause = 600 * time.Millisecond
	highLoadFactor  = 8
	// shortTimeout is the timeout of commands of which no effect is expected.
	shortTimeout = 6 * time.Second
	// maxRaceOffset is the longest drawn time between two changes that race.
	maxRaceOffset = 30 * time.Millisecond
)

// clientState is what the clients know together, and the last command's number.
type clientState struct {
	known         knownConfig
	lastCommandID int
}

// knownConfig is what the clients know of the configuration: the newest version
// that was surely in force, and the changes that were accepted.
type knownConfig struct {
	version  int64
	accepted []clientCommand
}

// runClient issues commands until the run stops.
func (c *Cluster) runClient(name string) {
	inFlight := make(chan struct{}, maxInFlight)
	for !c.stopping {
		pause := c.drawBetween("order "+name, minCommandPause, maxCommandPause)
		if c.highLoad {
			pause /= highLoadFactor
		}
		c.sleep(pause)
		if c.stopping {
			return
		}
		inFlight <- struct{}{}
		perform := c.drawOperation(name)
		go func() {
			perform(c, name)
			<-inFlight
		}()
	}
}

// workload holds what clients do, with its share in percent. The name of the
// client goes into the names of draws.
var workload = []struct {
	percent int
	perform func(cluster *Cluster, client string)
}{
	{32, func(cluster *Cluster, client string) { cluster.changeConfig(client, false) }},
	{12, func(cluster *Cluster, client string) { cluster.changeConfig(client, true) }},
	{10, (*Cluster).raceChanges},
	{8, (*Cluster).changeOnStaleVersion},
	{14, (*Cluster).changeZone},
	{8, (*Cluster).readDrawnZone},
	{8, func(cluster *Cluster, _ string) { cluster.readConfigAndLearn() }},
	{8, (*Cluster).repeatAccepted},
}

func (c *Cluster) drawOperation(client string) func(*Cluster, string) {
	drawn := c.drawBelow("work "+client, 100)
	for _, entry := range workload {
		if drawn -= entry.percent; drawn < 0 {
			return entry.perform
		}
	}
	return workload[0].perform
}

func (c *Cluster) knownVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known.version
}

// learnVersion records a version that is surely in force, or was, and the change
// that brought it; nil if that is not known.
func (c *Cluster) learnVersion(version int64, change *clientCommand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known.version = max(c.known.version, version)
	if change != nil {
		c.known.accepted = append(c.known.accepted, *change)
	}
}

func (c *Cluster) readConfigAndLearn() {
	if version, ok := c.readConfig(shortTimeout); ok {
		c.learnVersion(version, nil)
	}
}

// executeChange executes a change and learns from its outcome.
func (c *Cluster) executeChange(change clientCommand) outcome {
	op, _ := c.execute(change)
	c.record(op)
	if op.outcome == accepted {
		c.recordAck(op)
		c.learnVersion(op.version, &change)
	} else {
		c.readConfigAndLearn()
	}
	return op.outcome
}

// changeConfig changes the newest configuration that is known. The first can't be
// a patch.
func (c *Cluster) changeConfig(client string, patched bool) {
	base := c.knownVersion()
	if base == 0 {
		patched = false
	}
	c.executeChange(c.changeCommand(base, base+1+int64(c.drawBelow("step "+client, 3)), patched))
}

// raceChanges has two changes of one configuration choose the same version.
func (c *Cluster) raceChanges(client string) {
	base := c.knownVersion()
	version := base + 1 + int64(c.drawBelow("step "+client, 2))
	done := make(chan struct{})
	go func() {
		c.executeChange(c.changeCommand(base, version, false))
		close(done)
	}()
	c.sleep(c.drawBetween("race "+client, 0, maxRaceOffset))
	c.executeChange(c.changeCommand(base, version, false))
	<-done
}

// changeOnStaleVersion changes a version that is no longer in force.
func (c *Cluster) changeOnStaleVersion(client string) {
	base := c.knownVersion() - 1 - int64(c.drawBelow("stale "+client, 4))
	if base < 0 {
		return
	}
	change := c.changeCommand(base, base+1+int64(c.drawBelow("ahead "+client, 8)), false)
	change.timeout = shortTimeout
	c.executeChange(change)
}

// repeatAccepted sends a change again that was accepted, however long ago. It must
// be acknowledged again, or stay undecided.
func (c *Cluster) repeatAccepted(client string) {
	c.mu.Lock()
	changes := c.known.accepted
	c.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	change := changes[c.drawBelow("repeat "+client, len(changes))]
	targets := c.controllers()
	if len(targets) == 0 {
		return
	}
	status, body := c.sendOnce(targets[c.drawBelow("target "+client, len(targets))], change, &attempt{start: c.now()})
	c.count("repeats")
	if outcomeByStatus[status] == rejected {
		c.reportViolation("order %d (version %d on %d) was acknowledged, and is refused when it is sent again: %d %.200s",
			change.commandID, change.version, change.baseVersion, status, body)
	}
	if status == http.StatusOK {
		c.count("repeats acknowledged")
	}
}

func (c *Cluster) changeZone(client string) {
	locations := c.options.Site.Locations
	op, _ := c.execute(c.zoneCommand(locations[c.drawBelow("zone "+client, len(locations))].Zone, c.drawOneIn("empty "+client, 2)))
	c.record(op)
	if op.outcome == accepted {
		c.recordAck(op)
	}
}

// readDrawnZone reads at a drawn controller whether a drawn zone is drained.
func (c *Cluster) readDrawnZone(client string) {
	locations, targets := c.options.Site.Locations, c.controllers()
	if len(targets) == 0 {
		return
	}
	zone := locations[c.drawBelow("zone "+client, len(locations))].Zone
	c.readZone(targets[c.drawBelow("target "+client, len(targets))], zone)
}
