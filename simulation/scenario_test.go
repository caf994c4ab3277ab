package simulation

import "time"

// wipeBesideStaleReplica has a command be committed by the first two of three
// controllers alone, and the second lose its disk. The links between the third and
// the first stay cut.
func wipeBesideStaleReplica(cluster *Cluster) (first *Machine, second *Machine, third *Machine) {
	first, second, third = cluster.machines[0], cluster.machines[1], cluster.machines[2]
	cluster.sleep(time.Second)
	cluster.executeChange(cluster.changeCommand(0, 1, false))
	cluster.executeZone(true)
	cluster.sleep(time.Second)
	isolate(true, true)(cluster, third)
	cluster.executeZone(false)
	second.wipe()
	return first, second, third
}

// executeZone drains the first zone, or ends that.
func (c *Cluster) executeZone(drained bool) {
	op, _ := c.execute(c.zoneCommand(c.options.Site.Locations[0].Zone, drained))
	c.record(op)
}

// reconnect opens the links between two machines; what they held back is lost with
// the connections.
func (c *Cluster) reconnect(machine *Machine, other *Machine) {
	c.link(machine.name, other.name).queued, c.link(other.name, machine.name).queued = nil, nil
	c.healLink(machine.name, other.name)
	c.healLink(other.name, machine.name)
}

// disconnect cuts the links between two machines.
func (c *Cluster) disconnect(machine *Machine, other *Machine) {
	c.cutLink(machine.name, other.name)
	c.cutLink(other.name, machine.name)
}

// pollZone reads the first zone at the targets until the run's faults end.
func (c *Cluster) pollZone(targets ...*Machine) {
	for c.now() < c.options.Duration {
		for _, target := range targets {
			c.readZone(target, c.options.Site.Locations[0].Zone)
		}
		c.sleep(50 * time.Millisecond)
	}
}

// blankDiskBesideStaleReplica leaves the wiped disk and the machine that missed the
// command alone with each other.
func blankDiskBesideStaleReplica(cluster *Cluster) {
	first, second, third := wipeBesideStaleReplica(cluster)
	cluster.disconnect(first, second)
	cluster.reconnect(second, third)
	second.powerOn()
	cluster.pollZone(third)
}

// newVoterBesideStaleReplica does so as soon as the wiped disk votes again.
func newVoterBesideStaleReplica(cluster *Cluster) {
	first, second, third := wipeBesideStaleReplica(cluster)
	cluster.reconnect(second, third)
	second.powerOn()
	for !isVoter(second) && cluster.now() < cluster.options.Duration {
		cluster.sleep(2 * time.Millisecond)
	}
	cluster.disconnect(first, second)
	cluster.pollZone(second, third)
}
