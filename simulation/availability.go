package simulation

import (
	"time"

	"onyxwell/base/ids"
)

// ownerFaults holds what may befall the owner of the configuration while
// availability is measured; "quiet" is nothing.
var ownerFaults = map[string]func(cluster *Cluster, machine *Machine) func(){
	"quiet": nil, "kill": takeDown((*Machine).kill), "freeze": freeze, "cut": isolate(true, true),
}

// OwnerFaults returns the values of Options.OwnerFault, sorted.
func OwnerFaults() []string { return sortedKeys(ownerFaults) }

const (
	// sampleInterval is how often the meter looks for acknowledgements.
	sampleInterval = 5 * time.Millisecond
	// ownerFaultDuration is how long the owner is away.
	ownerFaultDuration = 6 * time.Second
	// configKey is the key of the configuration, to the clients and in the registers.
	configKey = "spec"
	// changesAccepted is the count of accepted changes.
	changesAccepted = "change: taken"
)

// Availability is how commands were served while a run measured.
type Availability struct {
	// Duration is how long was measured, Changes how many changes of the
	// configuration were accepted meanwhile, AckLatencies how long each command
	// took, those on zones included.
	Duration     time.Duration `json:"Span"`
	Changes      int
	AckLatencies []time.Duration `json:"Acks"`
	// Silences are, for each loss of the owner, the longest time without an
	// acknowledgement until the next loss: from the loss or a later acknowledgement
	// on.
	Silences []time.Duration
}

// availabilityMeter measures Availability.
type availabilityMeter struct {
	Availability
	start time.Duration
	// acksBefore and changesBefore were counted before the start.
	acksBefore    int
	changesBefore int
	// lastFault is when the owner was last lost; the next fault may come at
	// nextFault.
	lastFault      time.Duration
	nextFault      time.Duration
	longestSilence time.Duration
}

// startAvailabilityMeter starts to measure in a run that does.
func (c *Cluster) startAvailabilityMeter() {
	if _, ok := ownerFaults[c.options.OwnerFault]; !ok {
		return
	}
	c.mu.Lock()
	c.meter = availabilityMeter{
		start: c.now(), acksBefore: len(c.observed.ackLatencies), changesBefore: c.counts[changesAccepted], nextFault: c.now() + time.Second,
	}
	c.mu.Unlock()
	c.after(0, c.sampleAvailability)
}

// sampleAvailability takes in what was acknowledged, and has the next fault befall
// the owner when it may. What comes after a violation is not measured.
func (c *Cluster) sampleAvailability() {
	meter := &c.meter
	if c.now() > c.options.Duration || c.stopping || c.hasViolation() {
		meter.endSilence()
		return
	}
	c.after(sampleInterval, c.sampleAvailability)
	c.mu.Lock()
	lastAck := c.observed.lastAck
	meter.Duration = c.now() - meter.start
	meter.Changes = c.counts[changesAccepted] - meter.changesBefore
	meter.AckLatencies = c.observed.ackLatencies[meter.acksBefore:]
	c.mu.Unlock()
	if meter.lastFault > 0 {
		meter.longestSilence = max(meter.longestSilence, c.now()-max(lastAck, meter.lastFault))
	}
	inject := ownerFaults[c.options.OwnerFault]
	recovered := c.now() + ownerFaultDuration + c.catchUpTime()
	if inject == nil || c.now() < meter.nextFault || lastAck < meter.lastFault || recovered > c.options.Duration {
		return
	}
	owner := c.ownerOf(configKey)
	if owner == nil {
		return
	}
	meter.endSilence()
	meter.lastFault, meter.longestSilence, meter.nextFault = c.now(), 0, recovered
	c.count("owners lost")
	c.trace("owner fault injected", owner, "fault", c.options.OwnerFault)
	c.after(ownerFaultDuration, inject(c, owner))
}

// endSilence records the longest silence since the last loss of the owner.
func (a *availabilityMeter) endSilence() {
	if a.lastFault > 0 {
		a.Silences = append(a.Silences, a.longestSilence)
	}
}

// ownerOf returns the machine that owns a key; nil where it does not run.
func (c *Cluster) ownerOf(key string) *Machine {
	var newest ids.Epoch
	for _, machine := range c.votingMachines() {
		for _, slot := range machine.process.controller.Slots() {
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
