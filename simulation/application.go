package simulation

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"onyxwell/emulator/oracle"
)

const (
	// An application's next call follows after a drawn pause between the two.
	minApplicationPause = 20 * time.Millisecond
	maxApplicationPause = 300 * time.Millisecond
	// applicationAttempts is how many controllers an application tries.
	applicationAttempts = 4
	// maxAmount bounds the amounts that are added.
	maxAmount = 1000
	// settledAfter is how long after a fault or a start a controller must serve the
	// applications of its zone, whoever else it reaches.
	settledAfter = 3 * time.Second
)

// application stands in a zone, and is cut off from others as its controller is. It
// adds to the counters and reads them at the controllers, near ones first.
type application struct {
	cluster  *Cluster
	name     string
	location Location
	calls    int
	adds     []*oracle.CounterAdd
}

// startApplications starts applications, one zone after another.
func (c *Cluster) startApplications(count int) {
	locations := c.options.Site.Locations
	for number := range count {
		a := &application{cluster: c, name: fmt.Sprint("application ", number), location: locations[number%len(locations)]}
		go a.run()
	}
}

// run calls until the faults end or the run stops.
func (a *application) run() {
	c := a.cluster
	for {
		c.sleep(c.drawBetween("pause "+a.name, minApplicationPause, maxApplicationPause))
		if c.stopping || c.now() >= c.options.Duration {
			return
		}
		a.calls++
		counter := counterNames[c.drawBelow("counter "+a.name, len(counterNames))]
		switch drawn := c.drawBelow("call "+a.name, 10); {
		case drawn < 5:
			a.add(counter)
		case drawn < 7:
			a.repeat()
		default:
			a.read(counter)
		}
	}
}

// add adds an amount under a new ID.
func (a *application) add(counter string) {
	c := a.cluster
	add := &oracle.CounterAdd{Counter: counter, ID: fmt.Sprint(a.name, "/", a.calls), Amount: 1 + int64(c.drawBelow("amount "+a.name, maxAmount))}
	c.counters.Record(add)
	a.adds = append(a.adds, add)
	a.send(add, a.targets())
}

// repeat sends an earlier add again, at any controllers.
func (a *application) repeat() {
	if len(a.adds) == 0 {
		return
	}
	targets := a.targets()
	if len(targets) == 0 {
		return
	}
	first := a.cluster.drawBelow("repeat at "+a.name, len(targets))
	a.send(a.adds[a.cluster.drawBelow("repeat "+a.name, len(a.adds))], append(targets[first:], targets[:first]...))
}

// send tries an add at the targets until one acknowledges it.
func (a *application) send(add *oracle.CounterAdd, targets []*Machine) {
	owed := a.servedAtHome(targets)
	for _, target := range targets[:min(len(targets), applicationAttempts)] {
		if a.attempt(add, target) {
			return
		}
	}
	a.checkServed(owed, targets, "an add")
}

// attempt sends an add to a controller and reports whether it was acknowledged.
func (a *application) attempt(add *oracle.CounterAdd, target *Machine) bool {
	c := a.cluster
	if target.process == nil {
		return false
	}
	process := target.process.number
	body, _ := json.Marshal(map[string]any{"id": add.ID, "changed_by": add.Amount})
	c.counters.Sent(add)
	status, answer := c.callControl(a.host(), target, http.MethodPost, "/tallies/"+add.Counter, body)
	c.count(fmt.Sprintf("adds %d", status))
	c.counters.Answered(add, status, oracle.CounterAck{
		At: c.now(), Process: controllerProcess{target, process}, Exposed: status == http.StatusOK && c.exposed(target),
	})
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusTooManyRequests {
		c.reportViolation("%s refuses an add: %d %.100s", target.name, status, answer)
	}
	return status == http.StatusOK
}

// read reads a total.
func (a *application) read(counter string) {
	targets := a.targets()
	owed := a.servedAtHome(targets)
	for _, target := range targets[:min(len(targets), applicationAttempts)] {
		if _, ok := a.cluster.readCounter(a.host(), target, counter); ok {
			return
		}
	}
	a.checkServed(owed, targets, "a read")
}

// servedAtHome returns the process of the zone's controller that owes service: it runs
// for settledAfter, whoever it reaches. It returns nil if there is none.
func (a *application) servedAtHome(targets []*Machine) *process {
	c := a.cluster
	if len(targets) == 0 || targets[0].zone != a.location.Zone || !targets[0].settled() || c.replyLossRate > 0 {
		return nil
	}
	return targets[0].process
}

// settled reports whether the machine's controller runs, and has for settledAfter, with
// no fault beginning or ending at its machine.
func (m *Machine) settled() bool {
	now := m.cluster.now()
	return m.running() && now-m.process.startedAt >= settledAfter && now-m.lastFaultChange >= settledAfter
}

// checkServed reports a call that was not served though the zone's controller owed it.
func (a *application) checkServed(owed *process, targets []*Machine, what string) {
	c := a.cluster
	if owed == nil || targets[0].process != owed || !targets[0].settled() || c.replyLossRate > 0 || c.stopping {
		return
	}
	c.reportViolation("%s of %s is not served, though %s runs", what, a.name, targets[0].name)
}

// targets returns the controllers, near ones first.
func (a *application) targets() []*Machine {
	controllers := a.cluster.controllers()
	slices.SortStableFunc(controllers, func(left, right *Machine) int { return a.distance(left) - a.distance(right) })
	return controllers
}

func (a *application) distance(machine *Machine) int {
	switch {
	case machine.zone == a.location.Zone:
		return 0
	case machine.region == a.location.Region:
		return 1
	}
	return 2
}

// host is the machine beside which the application stands: that of its zone's
// controller.
func (a *application) host() string {
	for _, machine := range a.targets() {
		if machine.zone == a.location.Zone {
			return machine.name
		}
	}
	return clientHost
}
