// Emulator plays model runners that misbehave as they are told, and experiments
// with routers in front of them.
package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"onyxwell/base/program"
	"onyxwell/base/scope"
	"onyxwell/emulator/client"
	"onyxwell/emulator/experiment"
	"onyxwell/emulator/runner"
)

type faultFlags struct {
	Trouble []string `help:"A trouble and the part of the requests that it befalls, as in extra-late=0.1; may be given often. --list-troubles shows the names." placeholder:"NAME=RATE" sep:"none"`
	Mix     string   `help:"The rates to begin with: none, or all troubles together at the rates that --list-troubles shows." enum:"none,all" default:"none"`
	Seed    uint64   `help:"What requests and troubles are drawn from: the same seed draws the same. Which runner a request comes to, and when, still varies from run to run." default:"1"`
}

func (f faultFlags) rates() (runner.FaultRates, error) {
	mix := runner.FaultRates{}
	if f.Mix == "all" {
		mix = runner.AllFaults()
	}
	for _, text := range f.Trouble {
		if err := mix.Set(text); err != nil {
			return nil, fmt.Errorf("%w (--list-troubles shows all)", err)
		}
	}
	return mix, nil
}

type runCommand struct {
	faultFlags
	Address     string        `help:"Where to listen." default:"127.0.0.1:8080"`
	ID          string        `name:"id" help:"The id of the runner's first life." default:"i-1"`
	Service     []string      `help:"The services that may have the address; the first has it at the start, a takeover draws one." default:"desk"`
	Capacity    int           `help:"How many requests run at once." default:"32"`
	Queue       int           `help:"How many more may wait." default:"32"`
	Connections int           `help:"How many connections are accepted; 0 is no bound." default:"256"`
	Work        time.Duration `help:"How long a request takes before its answer or first event." default:"20ms"`
	Gap         time.Duration `help:"The pause between two events." default:"10ms"`
	ReadToken   time.Duration `help:"What each token of a prompt adds that is not kept." default:"0s"`
	CacheTokens float64       `help:"How many tokens of prompts are kept." default:"100000"`
	Cold        time.Duration `help:"How long a life is cold from its start: four times as slow." default:"0s"`
	ColdPerS    float64       `help:"How many requests a second a cold runner bears; at twice that it falls over. 0 is no bound." default:"0"`
	KeepIdle    time.Duration `help:"How long an idle connection is kept." default:"10s"`
	Silent      time.Duration `help:"The longest that a silent runner holds a connection." default:"5s"`
	Weights     int           `help:"The version of the weights; 0 is none." default:"0"`
	Phase       string        `help:"The phase that /report tells." default:"both"`
	Health      string        `help:"The path of the health answer." default:"/health"`
}

type experimentCommand struct {
	faultFlags
	Requests  int           `help:"How many requests are sent." default:"10000"`
	Clients   int           `help:"How many clients send, one request at a time each." default:"48"`
	Routers   int           `help:"How many routers there are." default:"2"`
	Runners   int           `help:"How many runners there are, of two services in turn." default:"12"`
	Round     int           `help:"After how many requests all comes to rest and is judged." default:"20000"`
	Patience  time.Duration `help:"How long a client waits for an answer; one in ten waits a tenth of it." default:"2s"`
	Limit     time.Duration `help:"When to stop before the end and tell what was seen; 0s is no limit. An interrupt does the same." default:"0s"`
	Restart   time.Duration `help:"The pause between two restarts of routers while requests are under way: two of three leave in order, each third breaks off. 0s is none." default:"0s"`
	Processes bool          `help:"Run each router as a process of its own."`
	Freeze    time.Duration `help:"The pause between two freezes of routers with SIGSTOP, each of 50 ms to 3 s; --processes has to be given. 0s is none." default:"0s"`
	Hangup    time.Duration `name:"hup" help:"The pause between two SIGHUPs to routers while requests are under way: each reads its changed boot file and takes its configuration anew; --processes has to be given. 0s is none." default:"0s"`
	Rude      float64       `help:"The part of the requests that no client should send: two lengths, odd targets, heads and bodies over the limit, bodies cut off. Each wants a 4xx or a closed connection, and no runner may see it." default:"0"`
	RudeKind  []string      `help:"Which of them, with --rude: ${rude}; by default all." placeholder:"NAME"`
	Forgive   time.Duration `help:"How often all doubts about runners are ended without a test, so that the load keeps going to those in trouble; 0s leaves it to health tests." default:"10ms"`
}

type commandLine struct {
	Run          runCommand        `cmd:"" help:"Play one runner until interrupted; each request that arrives is told in a line. A path that holds /stream/ or /resumable/ is answered with events, any other with a plain body; bodies carry attempt, service and run in each line. A request wants an id: curl -H 'Onyxwell-Attempt-Id: a1' http://127.0.0.1:8080/safe/1."`
	Experiment   experimentCommand `cmd:"" help:"Put real routers between emulated runners and clients, in this process unless --processes is given, and tell which rules were broken; an interrupt ends it early, with a report. As in: emulator experiment --mix all --requests 20000 --clients 64. Status 0: none; 1: a wrong setting; 2: a rule was broken; 3: stopped before the end, none broken so far."`
	Router       struct{}          `cmd:"" hidden:"" help:"Be a router of an experiment: orders come on standard input."`
	ListTroubles listFaults        `help:"Show all troubles with their rates in the mix of all, then stop."`
	Version      kong.VersionFlag  `help:"Print the version and stop."`
}

type listFaults bool

// BeforeReset shows the list in place of a command.
func (listFaults) BeforeReset(app *kong.Kong) error {
	table := tabwriter.NewWriter(app.Stdout, 0, 4, 2, ' ', 0)
	for _, trouble := range runner.Faults {
		fmt.Fprintf(table, "%s\t%g\t%s\n", trouble.Name, runner.AllFaults()[trouble.Name], trouble.Description)
	}
	_ = table.Flush()
	app.Exit(0)
	return nil
}

func main() {
	stopped, release := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer release()
	os.Exit(run(stopped, os.Args[1:], os.Stdout, os.Stderr))
}

func run(stopped context.Context, arguments []string, out io.Writer, errors io.Writer) int {
	var line commandLine
	shown := false
	parser, err := kong.New(&line, kong.Name("emulator"), kong.Writers(out, errors), kong.Vars{"version": "emulator " + program.Version, "rude": strings.Join(client.MalformedKinds(), ", ")},
		kong.Exit(func(int) { shown = true }),
		kong.Description("Plays model runners over real connections that behave as the pages say and misbehave as they are told, "+
			"and judges whether routers in front of them keep every answer with its caller and send nothing twice."))
	var parsed *kong.Context
	if err == nil {
		if parsed, err = parser.Parse(arguments); err != nil {
			err = fmt.Errorf("%w (--help shows what there is)", err)
		}
	}
	if shown {
		return 0
	}
	status := 0
	if err == nil {
		commands := map[string]func() (int, error){
			"run": func() (int, error) { return line.Run.run(stopped, out) },
			"router": func() (int, error) {
				log.SetOutput(io.Discard)
				return 0, experiment.Serve(scope.New(scope.Options{}).WithContext(stopped), os.Stdin, out)
			},
			"experiment": func() (int, error) { return line.Experiment.run(stopped, out, errors) },
		}
		status, err = commands[parsed.Command()]()
	}
	if err != nil {
		fmt.Fprintf(errors, "emulator: %v\n", err)
		return 1
	}
	return status
}

func (e experimentCommand) run(stopped context.Context, out io.Writer, errors io.Writer) (int, error) {
	mix, err := e.rates()
	if err != nil {
		return 0, err
	}
	if e.Limit < 0 {
		return 0, fmt.Errorf("limit %v: 0s or more is wanted", e.Limit)
	}
	// The HTTP client writes loose bytes of runners to the standard log.
	log.SetOutput(io.Discard)
	var program []string
	if e.Processes {
		own, err := os.Executable()
		if err != nil {
			return 0, err
		}
		program = []string{own, "router"}
	}
	top := scope.New(scope.Options{}).WithContext(stopped)
	if e.Limit > 0 {
		limited, release := top.WithTimeout(e.Limit)
		defer release()
		top = limited
	}
	report, err := experiment.Run(top, experiment.Options{
		Requests: e.Requests, Clients: e.Clients, Routers: e.Routers, Runners: e.Runners,
		Seed: e.Seed, Faults: mix, RoundSize: e.Round, ClientTimeout: e.Patience, ClearSuspicionInterval: e.Forgive, RestartInterval: e.Restart, FreezeInterval: e.Freeze, HangupInterval: e.Hangup, RouterProgram: program, MalformedRate: e.Rude, MalformedKinds: e.RudeKind,
		Progress: func(sent int) { fmt.Fprintf(errors, "%d of %d requests\n", sent, e.Requests) },
	})
	if err != nil {
		return 0, err
	}
	report.Print(out)
	if len(report.Violations) > 0 {
		return 2, nil
	}
	if report.Requests < e.Requests {
		fmt.Fprintf(out, "stopped after %d of %d requests\n", report.Requests, e.Requests)
		return 3, nil
	}
	return 0, nil
}
