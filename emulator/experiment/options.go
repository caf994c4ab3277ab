// Package experiment puts routers between emulated runners and many clients,
// injects faults into the runners' responses, restarts, freezes and reloads the
// routers, and has a checker report the violated rules.
//
// The requests, and the faults of each attempt at each runner, are drawn from the
// seed. Which runner a request reaches, and when, varies from run to run.
package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"onyxwell/base/clock"
	"onyxwell/emulator/client"
	"onyxwell/emulator/runner"
)

// Options are an experiment's size and faults.
type Options struct {
	// Clock measures the time; nil is the machine's.
	Clock    clock.Clock
	Requests int
	// Clients is how many clients send, one request at a time each.
	Clients int
	Routers int
	Runners int
	Seed    uint64
	Faults  runner.FaultRates
	// RoundSize is after how many requests the routers settle and the rules are
	// checked, so that the history of a long experiment fits into memory.
	RoundSize int
	// ClientTimeout is how long a client waits for a response; one in ten waits a
	// tenth of it.
	ClientTimeout time.Duration
	// ClearSuspicionInterval is how often all suspected runners are cleared without a
	// probe, so that faulty runners keep getting requests; 0 leaves it to probes.
	ClearSuspicionInterval time.Duration
	// RestartInterval is the pause between two restarts of routers, two of three
	// graceful, each third a crash; 0 is none.
	RestartInterval time.Duration
	// RouterProgram is the command line of a router process, which calls Serve; empty
	// has the routers run in this process.
	RouterProgram []string
	// FreezeInterval is the pause between two freezes of router processes, 0 is none.
	FreezeInterval time.Duration
	// HangupInterval is the pause between two SIGHUPs to router processes, each with
	// changed node settings; 0 is none.
	HangupInterval time.Duration
	// MalformedRate is the share of malformed requests, from 0 to 1. MalformedKinds
	// are those that are drawn; empty is all.
	MalformedRate  float64
	MalformedKinds []string
	// Progress is called after each round but the last with the number of requests
	// sent. It may be nil.
	Progress func(sent int)
	// NewRouter makes the routers of this process; nil is NewDataPlane.
	NewRouter RouterFactory
}

// Defaults returns the options of a small experiment without faults.
func Defaults() Options {
	return Options{
		Requests: 10000, Clients: 48, Routers: 2, Runners: 12, Seed: 1, Faults: runner.FaultRates{}, RoundSize: 20000,
		ClientTimeout: 2 * time.Second, ClearSuspicionInterval: 10 * time.Millisecond,
	}
}

// minClientTimeout is the shortest ClientTimeout.
const minClientTimeout = 50 * time.Millisecond

// Check returns an error that names all invalid options by their flags, in one
// line.
func (o Options) Check() error {
	var problems []string
	need := func(ok bool, format string, values ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, values...))
		}
	}
	for _, count := range []struct {
		name  string
		value int
		limit int
	}{
		{"requests", o.Requests, 1 << 40}, {"clients", o.Clients, 10000},
		{"routers", o.Routers, 64}, {"runners", o.Runners, 1000}, {"round", o.RoundSize, 1 << 40},
	} {
		need(count.value >= 1 && count.value <= count.limit, "%s %d: 1 to %d is wanted", count.name, count.value, count.limit)
	}
	need(o.ClientTimeout >= minClientTimeout, "patience %v: %v or more is wanted", o.ClientTimeout, minClientTimeout)
	need(o.ClearSuspicionInterval >= 0, "forgive %v: 0 or more is wanted", o.ClearSuspicionInterval)
	need(o.RestartInterval >= 0, "restart %v: 0 or more is wanted", o.RestartInterval)
	for _, signal := range []struct {
		name     string
		interval time.Duration
	}{{"freeze", o.FreezeInterval}, {"hup", o.HangupInterval}} {
		need(signal.interval == 0 || (signal.interval > 0 && len(o.RouterProgram) > 0),
			"%s %v: 0 is wanted, or more with routers in processes of their own (--processes)", signal.name, signal.interval)
	}
	need(o.MalformedRate >= 0 && o.MalformedRate <= 1, "rude %g: 0 to 1 is wanted", o.MalformedRate)
	need(len(o.MalformedKinds) == 0 || o.MalformedRate != 0, "rude-kind without a part of the requests: rude is wanted as well")
	for _, name := range o.MalformedKinds {
		need(slices.Contains(client.MalformedKinds(), name), "rude-kind %q: one of %s is wanted", name, strings.Join(client.MalformedKinds(), ", "))
	}
	if err := o.Faults.Check(); err != nil {
		problems = append(problems, err.Error())
	}
	if len(problems) > 0 {
		return fmt.Errorf("experiment: %s", strings.Join(problems, "; "))
	}
	return nil
}

// CommandLine returns the command line that runs the experiment again. It says so
// where NewRouter is set, which no command line can give.
func (o Options) CommandLine() string {
	text := fmt.Sprintf("emulator experiment --requests %d --clients %d --routers %d --runners %d --seed %d --round %d --patience %v --forgive %v",
		o.Requests, o.Clients, o.Routers, o.Runners, o.Seed, o.RoundSize, o.ClientTimeout, o.ClearSuspicionInterval)
	if o.RestartInterval > 0 {
		text += fmt.Sprintf(" --restart %v", o.RestartInterval)
	}
	if len(o.RouterProgram) > 0 {
		text += " --processes"
	}
	if o.FreezeInterval > 0 {
		text += fmt.Sprintf(" --freeze %v", o.FreezeInterval)
	}
	if o.HangupInterval > 0 {
		text += fmt.Sprintf(" --hup %v", o.HangupInterval)
	}
	if o.MalformedRate > 0 {
		text += fmt.Sprintf(" --rude %g", o.MalformedRate)
		for _, name := range o.MalformedKinds {
			text += " --rude-kind " + name
		}
	}
	if o.Faults.String() == runner.AllFaults().String() {
		text += " --mix all"
	} else {
		for _, rate := range strings.Fields(o.Faults.String()) {
			text += " --trouble " + rate
		}
	}
	if o.NewRouter != nil {
		text += "\nbut with other routers, made by Options.NewRouter"
	}
	return text
}
