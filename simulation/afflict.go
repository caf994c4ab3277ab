package simulation

// What troubles do; each gives back what ends it.

func cutOff(in bool, out bool) func(*World, *Machine) func() {
	return func(world *World, machine *Machine) func() {
		others := world.machines
		for _, other := range others {
			if other == machine {
				continue
			}
			if in {
				world.cut(other.name, machine.name)
			}
			if out {
				world.cut(machine.name, other.name)
			}
		}
		return func() {
			for _, other := range others {
				world.heal(other.name, machine.name)
				world.heal(machine.name, other.name)
			}
		}
	}
}

func cutRegion(world *World, machine *Machine) func() {
	oneWay := world.once("one way", 3)
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
	each(world.cut)
	return func() { each(world.heal) }
}

// cutPair cuts two machines from each other, which both reach the rest.
func cutPair(world *World, machine *Machine) func() {
	targets := world.controllers()
	other := targets[world.below("other", len(targets))]
	if other == machine {
		return nil
	}
	world.cut(machine.name, other.name)
	world.cut(other.name, machine.name)
	return func() {
		world.heal(machine.name, other.name)
		world.heal(other.name, machine.name)
	}
}

func freeze(world *World, machine *Machine) func() {
	machine.frozen = machine.life != nil
	return func() {
		if machine.frozen {
			machine.frozen = false
			machine.wakeUp()
		}
	}
}

func (m *Machine) losePower() {
	m.die()
	m.disk.LosePower()
	m.dark = true
}

func (m *Machine) wipe() {
	m.losePower()
	m.disk.Wipe()
	m.losesDisk()
	if meddle := m.world.options.plant.Wiped; meddle != nil {
		meddle(m)
	}
}

// behind is how many bytes must follow a spoilt one: more than a frame has, since
// the last frame can't be told from a torn one.
const behind = 32 << 10

// spoil damages the journal.
func (m *Machine) spoil() {
	m.losePower()
	if m.disk.SpoilWithin("registers", int(m.disk.Bytes("registers"))-behind) >= 0 {
		m.losesDisk()
		m.world.count("journals spoilt")
	}
}

func goDown(fall func(*Machine)) func(*World, *Machine) func() {
	return func(world *World, machine *Machine) func() {
		fall(machine)
		return machine.comeBack
	}
}

func (m *Machine) comeBack() {
	m.dark = false
	m.start(false)
}

// replace takes a machine away for good; an empty one comes at another address.
func replace(world *World, machine *Machine) func() {
	machine.losePower()
	machine.gone = true
	successor := world.add(Place{Zone: machine.zone, Region: machine.region}, machine.carries)
	successor.troubled, successor.touched = 1, world.now()
	return func() {
		successor.start(false)
		successor.troubled, successor.touched = 0, world.now()
	}
}

// replacePlanned starts the successor first, then has the old one leave.
func replacePlanned(world *World, machine *Machine) func() {
	successor := world.add(Place{Zone: machine.zone, Region: machine.region}, machine.carries)
	successor.start(false)
	successor.touched = world.now()
	machine.leaves = true
	if machine.life != nil {
		machine.life.end()
	}
	return func() {
		machine.die()
		machine.gone = true
	}
}

// terminate is a SIGTERM, after which the machine starts again.
func terminate(world *World, machine *Machine) func() {
	if machine.life != nil {
		machine.life.end()
	}
	return func() {
		machine.die()
		machine.start(false)
	}
}

// herd strikes all controllers at once; they are back soon.
func herd(fall func(*Machine)) func(*World, *Machine) func() {
	return func(world *World, _ *Machine) func() {
		struck := world.controllers()
		for _, machine := range struck {
			fall(machine)
		}
		return func() {
			for _, machine := range struck {
				machine.comeBack()
			}
		}
	}
}

func ail(begin func(*diskTrouble)) func(*World, *Machine) func() {
	return func(world *World, machine *Machine) func() {
		begin(&machine.trouble)
		return func() {
			machine.trouble.stalled, machine.trouble.slow, machine.trouble.refuses, machine.trouble.full = false, 0, false, false
			machine.unstall()
		}
	}
}

// loseAnswers loses most answers to the operators on their way.
func loseAnswers(world *World, _ *Machine) func() {
	world.ackLost = 0.4 + 0.5*world.fraction("share lost")
	return func() { world.ackLost = 0 }
}

// storm has the operators hurry.
func storm(world *World, _ *Machine) func() {
	world.hurry = true
	return func() { world.hurry = false }
}

// reseed has boot files name other seeds from now on.
func reseed(world *World, _ *Machine) func() {
	targets := world.controllers()
	first := world.below("seed", len(targets))
	world.seeds = nil
	for offset := range min(3, len(targets)) {
		world.seeds = append(world.seeds, targets[(first+offset)%len(targets)])
	}
	return nil
}

// restartRouters kills the routers, which start beside whatever is there.
func restartRouters(world *World, _ *Machine) func() {
	var struck []*Machine
	for _, machine := range world.machines {
		if machine.carries {
			machine.die()
			struck = append(struck, machine)
		}
	}
	return func() {
		for _, machine := range struck {
			machine.start(false)
		}
	}
}
