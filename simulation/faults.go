package simulation

// What troubles do; each gives back what ends it.

func cutOff(in bool, out bool) func(*Cluster, *Machine) func() {
	return func(world *Cluster, machine *Machine) func() {
		others := world.machines
		for _, other := range others {
			if other == machine {
				continue
			}
			if in {
				world.cutLink(other.name, machine.name)
			}
			if out {
				world.cutLink(machine.name, other.name)
			}
		}
		return func() {
			for _, other := range others {
				world.healLink(other.name, machine.name)
				world.healLink(machine.name, other.name)
			}
		}
	}
}

func cutRegion(world *Cluster, machine *Machine) func() {
	oneWay := world.drawOneIn("one way", 3)
	each := func(act func(from string, to string)) {
		for _, near := range world.machines {
			for _, far := range world.machines {
				if near.region == machine.region && far.region != machine.region {
					act(near.name, far.name)
					if !oneWay {
						act(far.name, near.name)
					}
				}
			}
		}
	}
	each(world.cutLink)
	return func() { each(world.healLink) }
}

// cutPair cuts two machines from each other, which both reach the rest.
func cutPair(world *Cluster, machine *Machine) func() {
	targets := world.controllers()
	other := targets[world.drawBelow("other", len(targets))]
	if other == machine {
		return nil
	}
	world.cutLink(machine.name, other.name)
	world.cutLink(other.name, machine.name)
	return func() {
		world.healLink(machine.name, other.name)
		world.healLink(other.name, machine.name)
	}
}

func freeze(world *Cluster, machine *Machine) func() {
	machine.frozen = machine.process != nil
	return func() {
		if machine.frozen {
			machine.frozen = false
			machine.resume()
		}
	}
}

func (m *Machine) losePower() {
	m.kill()
	m.disk.LosePower()
	m.poweredOff = true
}

func (m *Machine) wipe() {
	m.losePower()
	m.disk.Wipe()
	m.recordDiskLoss()
	if meddle := m.cluster.options.bug.OnWipe; meddle != nil {
		meddle(m)
	}
}

// tailMargin is how many bytes must follow a spoilt one: more than a frame has, since
// the last frame can't be told from a torn one.
const tailMargin = 32 << 10

// corruptLog damages the journal.
func (m *Machine) corruptLog() {
	m.losePower()
	if m.disk.FlipBitWithin("registers", int(m.disk.Size("registers"))-tailMargin) >= 0 {
		m.recordDiskLoss()
		m.cluster.count("journals spoilt")
	}
}

func takeDown(fall func(*Machine)) func(*Cluster, *Machine) func() {
	return func(world *Cluster, machine *Machine) func() {
		fall(machine)
		return machine.powerOn
	}
}

func (m *Machine) powerOn() {
	m.poweredOff = false
	m.start(false)
}

// replace takes a machine away for good; an empty one comes at another address.
func replace(world *Cluster, machine *Machine) func() {
	machine.losePower()
	machine.removed = true
	successor := world.addMachine(Location{Zone: machine.zone, Region: machine.region}, machine.isRouter)
	successor.activeFaults, successor.lastFaultChange = 1, world.now()
	return func() {
		successor.start(false)
		successor.activeFaults, successor.lastFaultChange = 0, world.now()
	}
}

// replacePlanned starts the successor first, then has the old one leave.
func replacePlanned(world *Cluster, machine *Machine) func() {
	successor := world.addMachine(Location{Zone: machine.zone, Region: machine.region}, machine.isRouter)
	successor.start(false)
	successor.lastFaultChange = world.now()
	machine.leaving = true
	if machine.process != nil {
		machine.process.cancel()
	}
	return func() {
		machine.kill()
		machine.removed = true
	}
}

// terminate is a SIGTERM, after which the machine starts again.
func terminate(world *Cluster, machine *Machine) func() {
	if machine.process != nil {
		machine.process.cancel()
	}
	return func() {
		machine.kill()
		machine.start(false)
	}
}

// strikeAll strikes all controllers at once; they are back soon.
func strikeAll(fall func(*Machine)) func(*Cluster, *Machine) func() {
	return func(world *Cluster, _ *Machine) func() {
		struck := world.controllers()
		for _, machine := range struck {
			fall(machine)
		}
		return func() {
			for _, machine := range struck {
				machine.powerOn()
			}
		}
	}
}

func injectDiskFault(begin func(*diskFault)) func(*Cluster, *Machine) func() {
	return func(world *Cluster, machine *Machine) func() {
		begin(&machine.diskFault)
		return func() {
			machine.diskFault.stalled, machine.diskFault.slow, machine.diskFault.refuses, machine.diskFault.full = false, 0, false, false
			machine.unstallDisk()
		}
	}
}

// loseReplies loses most answers to the operators on their way.
func loseReplies(world *Cluster, _ *Machine) func() {
	world.replyLossRate = 0.4 + 0.5*world.drawFraction("share lost")
	return func() { world.replyLossRate = 0 }
}

// raiseLoad has the operators hurry.
func raiseLoad(world *Cluster, _ *Machine) func() {
	world.highLoad = true
	return func() { world.highLoad = false }
}

// changeSeeds has boot files name other seeds from now on.
func changeSeeds(world *Cluster, _ *Machine) func() {
	targets := world.controllers()
	first := world.drawBelow("seed", len(targets))
	world.seedMachines = nil
	for offset := range min(3, len(targets)) {
		world.seedMachines = append(world.seedMachines, targets[(first+offset)%len(targets)])
	}
	return nil
}

// restartRouters kills the routers, which start beside whatever is there.
func restartRouters(world *Cluster, _ *Machine) func() {
	var struck []*Machine
	for _, machine := range world.machines {
		if machine.isRouter {
			machine.kill()
			struck = append(struck, machine)
		}
	}
	return func() {
		for _, machine := range struck {
			machine.start(false)
		}
	}
}
