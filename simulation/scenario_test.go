package simulation

import "onyxwell/base/clock"

// wipeBesideStaleReplica brings about what a wipe must not: the first two of three controllers
// hold an order that the third missed, and the second loses its disk. The links
// of the third to the first stay cut.
func wipeBesideStaleReplica(world *Cluster) (first *Machine, second *Machine, third *Machine) {
	first, second, third = world.machines[0], world.machines[1], world.machines[2]
	world.sleep(clock.Second)
	world.executeChange(world.changeCommand(0, 1, false))
	world.executeZone(true)
	world.sleep(clock.Second)
	cutOff(true, true)(world, third)
	world.executeZone(false)
	second.wipe()
	return first, second, third
}

// executeZone empties or refills the first zone.
func (c *Cluster) executeZone(empty bool) {
	did, _ := c.execute(c.zoneCommand(c.options.Site.Locations[0].Zone, empty))
	c.record(did)
}

// reconnect opens the links between two; what they held up is lost with the
// connections.
func (c *Cluster) reconnect(one *Machine, other *Machine) {
	c.link(one.name, other.name).queued, c.link(other.name, one.name).queued = nil, nil
	c.healLink(one.name, other.name)
	c.healLink(other.name, one.name)
}

func (c *Cluster) disconnect(one *Machine, other *Machine) {
	c.cutLink(one.name, other.name)
	c.cutLink(other.name, one.name)
}

// pollZone looks at the first zone until the run's troubles end.
func (c *Cluster) pollZone(targets ...*Machine) {
	for c.now() < c.options.Duration {
		for _, target := range targets {
			c.readZone(target, c.options.Site.Locations[0].Zone)
		}
		c.sleep(50 * clock.Millisecond)
	}
}

// blankDiskBesideStaleReplica leaves the wiped disk and the one that missed the order alone
// with each other.
func blankDiskBesideStaleReplica(world *Cluster) {
	first, second, third := wipeBesideStaleReplica(world)
	world.disconnect(first, second)
	world.reconnect(second, third)
	second.powerOn()
	world.pollZone(third)
}

// newVoterBesideStaleReplica does so as soon as the wiped disk votes again.
func newVoterBesideStaleReplica(world *Cluster) {
	first, second, third := wipeBesideStaleReplica(world)
	world.reconnect(second, third)
	second.powerOn()
	for !isVoter(second) && world.now() < world.options.Duration {
		world.sleep(2 * clock.Millisecond)
	}
	world.disconnect(first, second)
	world.pollZone(second, third)
}
