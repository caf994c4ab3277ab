package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"onyxwell/emulator/experiment"
)

type experimentCommand struct {
	faultFlags
	Requests               int           `help:"How many requests are sent." default:"10000"`
	Clients                int           `help:"How many clients send, one request at a time each." default:"48"`
	Routers                int           `help:"How many routers there are." default:"2"`
	Runners                int           `help:"How many runners there are, of two services in turn." default:"12"`
	RoundSize              int           `name:"round" help:"After how many requests the routers settle and the rules are checked." default:"20000"`
	ClientTimeout          time.Duration `name:"patience" help:"How long a client waits for a response; one in ten waits a tenth of it." default:"2s"`
	Limit                  time.Duration `help:"When to stop before the end and report what was seen; 0s is no limit. An interrupt does the same." default:"0s"`
	RestartInterval        time.Duration `name:"restart" help:"The pause between two restarts of routers with requests in flight: two of three are graceful, each third is a crash. 0s is none." default:"0s"`
	Processes              bool          `help:"Run each router as a process of its own."`
	FreezeInterval         time.Duration `name:"freeze" help:"The pause between two freezes of routers with SIGSTOP, each of 50 ms to 3 s; --processes has to be given. 0s is none." default:"0s"`
	HangupInterval         time.Duration `name:"hup" help:"The pause between two SIGHUPs to routers with requests in flight: each reads its changed node settings and reloads its configuration; --processes has to be given. 0s is none." default:"0s"`
	MalformedRate          float64       `name:"rude" help:"The share of malformed requests: two lengths, odd targets, heads and bodies over the limit, truncated bodies. Each has to get a 4xx or a closed connection, and must not reach a runner." default:"0"`
	MalformedKinds         []string      `name:"rude-kind" help:"Which of them, with --rude: ${rude}; by default all." placeholder:"NAME"`
	ClearSuspicionInterval time.Duration `name:"forgive" help:"How often all suspected runners are cleared without a probe, so that faulty runners keep getting requests; 0s leaves it to probes." default:"10ms"`
}

func (e experimentCommand) run(ctx context.Context, stdout io.Writer, stderr io.Writer) (int, error) {
	rates, err := e.rates()
	if err != nil {
		return 0, err
	}
	if e.Limit < 0 {
		return 0, fmt.Errorf("limit %v: 0s or more is wanted", e.Limit)
	}
	options := experiment.Options{
		Requests: e.Requests, Clients: e.Clients, Routers: e.Routers, Runners: e.Runners, Seed: e.Seed, Faults: rates,
		RoundSize: e.RoundSize, ClientTimeout: e.ClientTimeout, ClearSuspicionInterval: e.ClearSuspicionInterval,
		RestartInterval: e.RestartInterval, FreezeInterval: e.FreezeInterval, HangupInterval: e.HangupInterval,
		MalformedRate: e.MalformedRate, MalformedKinds: e.MalformedKinds,
		Progress: func(sent int) { fmt.Fprintf(stderr, "%d of %d requests\n", sent, e.Requests) },
	}
	if e.Processes {
		executable, err := os.Executable()
		if err != nil {
			return 0, err
		}
		options.RouterProgram = []string{executable, "router"}
	}
	if e.Limit > 0 {
		limited, cancel := context.WithTimeout(ctx, e.Limit)
		defer cancel()
		ctx = limited
	}
	report, err := experiment.Run(ctx, options)
	if err != nil {
		return 0, err
	}
	report.Print(stdout)
	if len(report.Violations) > 0 {
		return statusViolation, nil
	}
	if report.Requests < e.Requests {
		fmt.Fprintf(stdout, "stopped after %d of %d requests\n", report.Requests, e.Requests)
		return statusIncomplete, nil
	}
	return statusOK, nil
}
