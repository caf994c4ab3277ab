package simulation

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// ownerFaults are what may befall the owner of the configuration, again and again;
// "quiet" is nothing.
var ownerFaults = map[string]func(world *Cluster, machine *Machine) func(){
	"quiet": nil, "kill": takeDown((*Machine).kill), "freeze": freeze, "cut": cutOff(true, true),
}

// OwnerFaults names what Options.Service may be.
func OwnerFaults() []string { return sortedKeys(ownerFaults) }

const (
	// sampleInterval is how often a run looks for acknowledgements, struck how long the
	// owner is away.
	sampleInterval     = 5 * clock.Millisecond
	ownerFaultDuration = 6 * clock.Second
)

// Availability is how orders were taken while a run measured.
type Availability struct {
	// Span is how long it measured, Changes how many changes of the
	// configuration were taken meanwhile, Acks how long each order took.
	Span    clock.Span
	Changes int
	Acks    []clock.Span
	// Silences are the longest times without an acknowledgement after each loss
	// of the owner, from the loss or a later acknowledgement on, until the next
	// loss.
	Silences []clock.Span
}

// availabilityMeter is what a run that measures service remembers.
type availabilityMeter struct {
	Availability
	start         clock.Span
	acksBefore    int
	changesBefore int
	// lastFault is when the owner was last lost, due when it may be again.
	lastFault      clock.Span
	nextFault      clock.Span
	longestSilence clock.Span
}

// startAvailabilityMeter begins to measure service in a run that does.
func (c *Cluster) startAvailabilityMeter() {
	if _, found := ownerFaults[c.options.OwnerFault]; !found {
		return
	}
	c.mu.Lock()
	c.meter = availabilityMeter{start: c.now(), acksBefore: len(c.observed.ackLatencies), changesBefore: c.counts["change: taken"], nextFault: c.now() + clock.Second}
	c.mu.Unlock()
	c.after(0, c.sampleAvailability)
}

// sampleAvailability counts what was acknowledged, and strikes when it may.
func (c *Cluster) sampleAvailability() {
	serving := &c.meter
	// What comes after a broken promise is no service.
	if c.now() > c.options.Duration || c.stopping || c.hasViolation() {
		if serving.lastFault > 0 {
			serving.Silences = append(serving.Silences, serving.longestSilence)
		}
		return
	}
	c.after(sampleInterval, c.sampleAvailability)
	c.mu.Lock()
	heard := c.observed.lastAck
	serving.Span = c.now() - serving.start
	serving.Changes = c.counts["change: taken"] - serving.changesBefore
	serving.Acks = c.observed.ackLatencies[serving.acksBefore:]
	c.mu.Unlock()
	if serving.lastFault > 0 {
		serving.longestSilence = max(serving.longestSilence, c.now()-max(heard, serving.lastFault))
	}
	strike := ownerFaults[c.options.OwnerFault]
	if strike == nil || c.now() < serving.nextFault || heard < serving.lastFault || c.now()+ownerFaultDuration+c.catchUpTime() > c.options.Duration {
		return
	}
	machine := c.ownerOf("spec")
	if machine == nil {
		return
	}
	if serving.lastFault > 0 {
		serving.Silences = append(serving.Silences, serving.longestSilence)
	}
	serving.lastFault, serving.longestSilence, serving.nextFault = c.now(), 0, c.now()+ownerFaultDuration+c.catchUpTime()
	c.count("owners lost")
	c.trace("owner lost", machine)
	end := strike(c, machine)
	c.after(ownerFaultDuration, end)
}

// ownerOf is the machine that owns a key, nil where it is not there.
func (c *Cluster) ownerOf(key string) *Machine {
	var newest ids.Epoch
	for _, machine := range c.votingMachines() {
		for _, slot := range machine.process.control.Slots() {
			if slot.Key == key && slot.Promised.Compare(newest) > 0 {
				newest = slot.Promised
			}
		}
	}
	machine := c.machinesByIP[hostOf(ids.Address(newest.Owner))]
	if machine == nil || machine.process == nil || machine.frozen {
		return nil
	}
	return machine
}
