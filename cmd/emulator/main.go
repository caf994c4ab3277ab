// Emulator runs model runners that misbehave at set rates, and experiments with
// routers in front of them.
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

	"github.com/alecthomas/kong"

	"onyxwell/base/program"
	"onyxwell/emulator/client"
	"onyxwell/emulator/experiment"
	"onyxwell/emulator/runner"
)

// Exit statuses.
const (
	statusOK         = 0
	statusError      = 1
	statusViolation  = 2
	statusIncomplete = 3
)

// faultFlags are the flags of all commands that inject faults.
type faultFlags struct {
	Faults []string `name:"trouble" help:"A fault and the share of the requests that it is injected into, as in extra-late=0.1; may be given often. --list-troubles shows the names." placeholder:"NAME=RATE" sep:"none"`
	Mix    string   `help:"The rates to begin with: none, or all faults together at the rates that --list-troubles shows." enum:"none,all" default:"none"`
	Seed   uint64   `help:"What requests and faults are drawn from: the same seed draws the same. Which runner a request comes to, and when, still varies from run to run." default:"1"`
}

func (f faultFlags) rates() (runner.FaultRates, error) {
	rates := runner.FaultRates{}
	if f.Mix == "all" {
		rates = runner.AllFaults()
	}
	for _, text := range f.Faults {
		if err := rates.Set(text); err != nil {
			return nil, fmt.Errorf("%w (--list-troubles shows all)", err)
		}
	}
	return rates, nil
}

type commandLine struct {
	Run        runCommand        `cmd:"" help:"Run one emulated runner until interrupted, and print a line for each request that arrives. A path that holds /stream/ or /resumable/ is answered with events, any other with a plain body; bodies carry attempt, service and seal in each line. A request needs an id: curl -H 'Onyxwell-Attempt-Id: a1' http://127.0.0.1:8080/safe/1."`
	Experiment experimentCommand `cmd:"" help:"Put real routers between emulated runners and clients, in this process unless --processes is given, and report which rules were broken; an interrupt ends it early, with a report. As in: emulator experiment --mix all --requests 20000 --clients 64. Status 0: none; 1: a wrong setting; 2: a rule was broken; 3: stopped before the end, none broken so far."`
	Router     struct{}          `cmd:"" hidden:"" help:"Run a router of an experiment, which gets its orders on standard input."`
	ListFaults listFaults        `name:"list-troubles" help:"Show all faults with their rates in the mix of all, then stop."`
	Version    kong.VersionFlag  `help:"Print the version and stop."`
}

type listFaults bool

// BeforeReset prints the list in place of running a command.
func (listFaults) BeforeReset(app *kong.Kong) error {
	table := tabwriter.NewWriter(app.Stdout, 0, 4, 2, ' ', 0)
	rates := runner.AllFaults()
	for _, fault := range runner.Faults {
		fmt.Fprintf(table, "%s\t%g\t%s\n", fault.Name, rates[fault.Name], fault.Description)
	}
	_ = table.Flush()
	app.Exit(statusOK)
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the command of a command line until it is done or the context ends, and
// returns the exit status.
func run(ctx context.Context, args []string, stdout io.Writer, stderr io.Writer) int {
	var line commandLine
	exited := false // --help, --version or --list-troubles
	parser, err := kong.New(&line, kong.Name("emulator"), kong.Writers(stdout, stderr),
		kong.Vars{"version": "emulator " + program.Version, "rude": strings.Join(client.MalformedKinds(), ", ")},
		kong.Exit(func(int) { exited = true }),
		kong.Description("Emulates model runners over real connections, with faults injected at set rates, "+
			"and checks whether routers in front of them keep every response with its request and send nothing twice."))
	var parsed *kong.Context
	if err == nil {
		if parsed, err = parser.Parse(args); err != nil {
			err = fmt.Errorf("%w (--help shows what there is)", err)
		}
	}
	if exited {
		return statusOK
	}
	status := statusOK
	if err == nil {
		status, err = line.execute(ctx, parsed.Command(), stdout, stderr)
	}
	if err != nil {
		fmt.Fprintf(stderr, "emulator: %v\n", err)
		return statusError
	}
	return status
}

func (c *commandLine) execute(ctx context.Context, command string, stdout io.Writer, stderr io.Writer) (int, error) {
	switch command {
	case "run":
		return statusOK, c.Run.run(ctx, stdout)
	case "experiment":
		discardHTTPLog()
		return c.Experiment.run(ctx, stdout, stderr)
	case "router":
		discardHTTPLog()
		return statusOK, experiment.Serve(ctx, os.Stdin, stdout)
	}
	return 0, fmt.Errorf("no command %q", command)
}

// discardHTTPLog silences the HTTP client, which logs every unsolicited byte that a
// runner sends.
func discardHTTPLog() { log.SetOutput(io.Discard) }
