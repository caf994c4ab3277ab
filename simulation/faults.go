package simulation

import (
	"time"
)

// fault is a kind of fault: it is injected at a machine that was drawn, and ended
// by the function that inject returns; nil where there is nothing to end.
type fault struct {
	// points are the points of docs/hardening.md that it helps to bring about.
	points []int
	// countsAsLoss says that the machine counts as lost from the fault until it had
	// the time to catch up; wholeRegion that all of its region does. Such faults
	// are injected only while no more than Site.MaxLosses are lost.
	countsAsLoss bool
	wholeRegion  bool
	// forCounters says that it is drawn only where applications call: the seeds of other
	// runs play what they always have.
	forCounters bool
	// The fault lasts for a drawn time between the two.
	minDuration time.Duration
	maxDuration time.Duration
	inject      func(cluster *Cluster, machine *Machine) (end func())
}

// faultCatalogue holds all kinds of faults by name. The names are drawn from, and
// are those of the command line.
var faultCatalogue = map[string]fault{
	"cut":     {points: []int{1, 2, 3, 4}, countsAsLoss: true, minDuration: time.Second, maxDuration: 20 * time.Second, inject: isolate(true, true)},
	"cut-in":  {points: []int{1}, countsAsLoss: true, minDuration: time.Second, maxDuration: 20 * time.Second, inject: isolate(true, false)},
	"cut-out": {points: []int{1, 2}, countsAsLoss: true, minDuration: time.Second, maxDuration: 20 * time.Second, inject: isolate(false, true)},
	"region":  {points: []int{1, 3}, countsAsLoss: true, wholeRegion: true, minDuration: time.Second, maxDuration: 12 * time.Second, inject: isolateRegion},
	"part":    {points: []int{1, 2}, minDuration: time.Second, maxDuration: 10 * time.Second, inject: partitionPair},
	"freeze":  {points: []int{1, 2, 4}, countsAsLoss: true, minDuration: 500 * time.Millisecond, maxDuration: 20 * time.Second, inject: freeze},
	"kill":    {points: []int{2, 3, 4}, countsAsLoss: true, minDuration: 300 * time.Millisecond, maxDuration: 8 * time.Second, inject: takeDown((*Machine).kill)},
	"power":   {points: []int{2, 3, 4}, countsAsLoss: true, minDuration: 300 * time.Millisecond, maxDuration: 8 * time.Second, inject: takeDown((*Machine).losePower)},
	"wipe":    {points: []int{3, 4}, countsAsLoss: true, minDuration: 300 * time.Millisecond, maxDuration: 5 * time.Second, inject: takeDown((*Machine).wipe)},
	"replace": {points: []int{3, 4}, countsAsLoss: true, minDuration: 200 * time.Millisecond, maxDuration: 4 * time.Second, inject: replace},
	"planned": {points: []int{3}, countsAsLoss: true, minDuration: 2 * time.Second, maxDuration: 5 * time.Second, inject: replacePlanned},
	"spoil":   {points: []int{4}, countsAsLoss: true, minDuration: 300 * time.Millisecond, maxDuration: 5 * time.Second, inject: takeDown((*Machine).corruptLog)},
	"term":    {points: []int{2, 3, 4}, countsAsLoss: true, minDuration: 2 * time.Second, maxDuration: 4 * time.Second, inject: terminate},
	"herd":    {points: []int{2, 3, 4}, minDuration: 300 * time.Millisecond, maxDuration: 2 * time.Second, inject: takeAllDown((*Machine).kill)},
	"outage":  {points: []int{2, 3, 4}, minDuration: 300 * time.Millisecond, maxDuration: 2 * time.Second, inject: takeAllDown((*Machine).losePower)},
	"stall":   {points: []int{1, 2, 4}, countsAsLoss: true, minDuration: time.Second, maxDuration: 8 * time.Second, inject: failDisk(func(disk *diskFault) { disk.stalled = true })},
	"slow":    {points: []int{2, 4}, countsAsLoss: true, minDuration: 2 * time.Second, maxDuration: 8 * time.Second, inject: failDisk(func(disk *diskFault) { disk.slowdown = 30 })},
	"full":    {points: []int{3, 4}, countsAsLoss: true, minDuration: 2 * time.Second, maxDuration: 10 * time.Second, inject: failDisk(func(disk *diskFault) { disk.full = true })},
	"refuse":  {points: []int{4}, countsAsLoss: true, minDuration: 2 * time.Second, maxDuration: 10 * time.Second, inject: failDisk(func(disk *diskFault) { disk.refusesWrites = true })},
	"lost":    {points: []int{2}, minDuration: 4 * time.Second, maxDuration: 20 * time.Second, inject: loseReplies},
	"storm":   {points: []int{2, 4}, minDuration: 3 * time.Second, maxDuration: 15 * time.Second, inject: raiseLoad},
	"reseed":  {points: []int{1, 3}, minDuration: time.Second, maxDuration: 2 * time.Second, inject: changeSeeds},
	"exile":   {forCounters: true, countsAsLoss: true, wholeRegion: true, minDuration: 12 * time.Second, maxDuration: 30 * time.Second, inject: isolateRegion},
	"bridge":  {forCounters: true, minDuration: 2 * time.Second, maxDuration: 25 * time.Second, inject: cutRegions(true)},
	"mute":    {forCounters: true, minDuration: 2 * time.Second, maxDuration: 25 * time.Second, inject: cutRegions(false)},
	"halves":  {forCounters: true, minDuration: 2 * time.Second, maxDuration: 15 * time.Second, inject: cutInHalves},
	"routers": {points: []int{1}, minDuration: 500 * time.Millisecond, maxDuration: 2 * time.Second, inject: restartRouters},
}

// Faults returns the names of all kinds of faults, sorted.
func Faults() []string { return sortedKeys(faultCatalogue) }

// isolate cuts the links of a machine with all others, in one direction or both.
func isolate(in bool, out bool) func(*Cluster, *Machine) func() {
	return func(cluster *Cluster, machine *Machine) func() {
		others := cluster.machines
		for _, other := range others {
			if other == machine {
				continue
			}
			if in {
				cluster.cutLink(other.name, machine.name)
			}
			if out {
				cluster.cutLink(machine.name, other.name)
			}
		}
		return func() {
			for _, other := range others {
				cluster.healLink(other.name, machine.name)
				cluster.healLink(machine.name, other.name)
			}
		}
	}
}

// isolateRegion cuts a machine's region off from the others, in one run of three
// in the outward direction alone.
func isolateRegion(cluster *Cluster, machine *Machine) func() {
	outwardOnly := cluster.drawOneIn("one way", 3)
	eachLink := func(change func(from string, to string)) {
		for _, inside := range cluster.machines {
			for _, outside := range cluster.machines {
				if inside.region == machine.region && outside.region != machine.region {
					change(inside.name, outside.name)
					if !outwardOnly {
						change(outside.name, inside.name)
					}
				}
			}
		}
	}
	eachLink(cluster.cutLink)
	return func() { eachLink(cluster.healLink) }
}

// cutRegions cuts a machine's region off from one other, or has it send there in vain.
// Both reach the rest.
func cutRegions(bothWays bool) func(*Cluster, *Machine) func() {
	return func(cluster *Cluster, machine *Machine) func() {
		controllers := cluster.controllers()
		other := controllers[cluster.drawBelow("other", len(controllers))].region
		if other == machine.region {
			return nil
		}
		return cluster.cutBetween(func(from *Machine, to *Machine) bool {
			return (from.region == machine.region && to.region == other) ||
				(bothWays && from.region == other && to.region == machine.region)
		})
	}
}

// cutInHalves cuts the controllers into two halves; routers reach both.
func cutInHalves(cluster *Cluster, _ *Machine) func() {
	half := map[*Machine]bool{}
	controllers := cluster.controllers()
	first := cluster.drawBelow("half", len(controllers))
	for offset := range len(controllers) / 2 {
		half[controllers[(first+offset)%len(controllers)]] = true
	}
	return cluster.cutBetween(func(from *Machine, to *Machine) bool {
		return !from.isRouter && !to.isRouter && half[from] != half[to]
	})
}

// cutBetween cuts the links between machines that are selected, and returns what heals
// them.
func (c *Cluster) cutBetween(selected func(from *Machine, to *Machine) bool) func() {
	var cut [][2]string
	for _, from := range c.machines {
		for _, to := range c.machines {
			if from != to && selected(from, to) {
				cut = append(cut, [2]string{from.name, to.name})
				c.cutLink(from.name, to.name)
			}
		}
	}
	c.activeCuts++
	return func() {
		c.activeCuts--
		c.lastCutEnd = c.now()
		for _, link := range cut {
			c.healLink(link[0], link[1])
		}
	}
}

// partitionPair cuts two machines off from each other, which both reach the rest.
func partitionPair(cluster *Cluster, machine *Machine) func() {
	controllers := cluster.controllers()
	other := controllers[cluster.drawBelow("other", len(controllers))]
	if other == machine {
		return nil
	}
	cluster.cutLink(machine.name, other.name)
	cluster.cutLink(other.name, machine.name)
	return func() {
		cluster.healLink(machine.name, other.name)
		cluster.healLink(other.name, machine.name)
	}
}

// freeze suspends a machine: nothing there runs until it ends.
func freeze(_ *Cluster, machine *Machine) func() {
	machine.frozen = machine.process != nil
	return machine.unfreeze
}

// takeDown has a machine go down in some way and start again.
func takeDown(goDown func(*Machine)) func(*Cluster, *Machine) func() {
	return func(_ *Cluster, machine *Machine) func() {
		goDown(machine)
		return machine.powerOn
	}
}

// takeAllDown has all controllers go down at once.
func takeAllDown(goDown func(*Machine)) func(*Cluster, *Machine) func() {
	return func(cluster *Cluster, _ *Machine) func() {
		controllers := cluster.controllers()
		for _, machine := range controllers {
			goDown(machine)
		}
		return func() {
			for _, machine := range controllers {
				machine.powerOn()
			}
		}
	}
}

const (
	// logFile is the file of a controller's write-ahead log.
	logFile = "registers"
	// tailMargin is how many bytes must follow a corrupted one: more than a frame
	// has, since damage in the last frame can't be told from a torn write.
	tailMargin = 32 << 10
)

// corruptLog goes down and has a bit flipped in the log.
func (m *Machine) corruptLog() {
	m.losePower()
	if m.disk.FlipBitWithin(logFile, int(m.disk.Size(logFile))-tailMargin) >= 0 {
		m.diskLost = true
		m.recordDiskLoss()
		m.cluster.count("journals spoilt")
	}
}

// replace removes a machine for good; an empty one starts at another address.
func replace(cluster *Cluster, machine *Machine) func() {
	removeMachine(cluster, machine)
	successor := cluster.addMachine(Location{Zone: machine.zone, Region: machine.region}, machine.isRouter)
	successor.activeFaults, successor.lastFaultChange, successor.diskLost = 1, cluster.now(), true
	return func() {
		successor.start(false)
		successor.activeFaults, successor.lastFaultChange = 0, cluster.now()
	}
}

// replacePlanned starts the successor before it has the old machine shut down.
func replacePlanned(cluster *Cluster, machine *Machine) func() {
	successor := cluster.addMachine(Location{Zone: machine.zone, Region: machine.region}, machine.isRouter)
	successor.start(false)
	successor.lastFaultChange, successor.diskLost = cluster.now(), true
	machine.leaving = true
	machine.shutDown()
	return func() {
		machine.kill()
		machine.removed = true
	}
}

// removeMachine removes a machine for good and puts none in its place.
func removeMachine(_ *Cluster, machine *Machine) func() {
	machine.losePower()
	machine.removed = true
	return nil
}

// terminate shuts a process down and starts another.
func terminate(_ *Cluster, machine *Machine) func() {
	machine.shutDown()
	return func() {
		machine.kill()
		machine.start(false)
	}
}

// failDisk has a disk fail in some way.
func failDisk(fail func(*diskFault)) func(*Cluster, *Machine) func() {
	return func(_ *Cluster, machine *Machine) func() {
		fail(&machine.diskFault)
		return func() {
			machine.diskFault.clear()
			machine.unstallDisk()
		}
	}
}

// loseReplies loses most replies to the clients on their way.
func loseReplies(cluster *Cluster, _ *Machine) func() {
	cluster.replyLossRate = 0.4 + 0.5*cluster.drawFraction("share lost")
	return func() { cluster.replyLossRate = 0 }
}

// raiseLoad has the clients issue commands faster.
func raiseLoad(cluster *Cluster, _ *Machine) func() {
	cluster.highLoad = true
	return func() { cluster.highLoad = false }
}

// changeSeeds has the settings of processes that start from now on name other
// seeds.
func changeSeeds(cluster *Cluster, _ *Machine) func() {
	controllers := cluster.controllers()
	first := cluster.drawBelow("seed", len(controllers))
	cluster.seedMachines = nil
	for offset := range min(seedCount, len(controllers)) {
		cluster.seedMachines = append(cluster.seedMachines, controllers[(first+offset)%len(controllers)])
	}
	return nil
}

// restartRouters kills all routers, which start beside whatever is there.
func restartRouters(cluster *Cluster, _ *Machine) func() {
	var routers []*Machine
	for _, machine := range cluster.machines {
		if machine.isRouter {
			machine.kill()
			routers = append(routers, machine)
		}
	}
	return func() {
		for _, machine := range routers {
			machine.start(false)
		}
	}
}
