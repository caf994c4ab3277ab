// Soak runs the daemons as real processes under faults that overlap in time, and
// checks whether every guarantee held.
package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"onyxwell/base/program"
	"onyxwell/soak"
)

// daemonCommand is the command with which soak runs itself as a daemon.
const daemonCommand = "daemon"

// commandLine is what the arguments are parsed into; the names of its fields are
// the commands and flags.
type commandLine struct {
	Run      runCommand `cmd:"" help:"Run seeds and check the guarantees. Status 0: every one held; 1: an invalid flag, or a run that could not be made; 2: a guarantee was broken, with the command line that runs the seed again."`
	Troubles struct{}   `cmd:"" help:"List the faults, then stop."`
	Daemon   struct {
		Role      string   `arg:""`
		Arguments []string `arg:"" optional:"" passthrough:""`
	} `cmd:"" hidden:"" help:"Be a daemon of a run; the faults of its links are read from standard input."`
	Version kong.VersionFlag `help:"Print the version and stop."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run returns the exit status, as the help of the run command has it.
func run(arguments []string, stdout io.Writer, stderr io.Writer) int {
	// What follows the role is the daemon's own command line, not to be parsed here.
	if len(arguments) > 1 && arguments[0] == daemonCommand {
		return soak.RunDaemon(arguments[1], arguments[2:], os.Stdin)
	}
	status, err := execute(arguments, stdout, stderr)
	if err != nil {
		fmt.Fprintf(stderr, "soak: %v\n", err)
		return 1
	}
	return status
}

func execute(arguments []string, stdout io.Writer, stderr io.Writer) (status int, err error) {
	var line commandLine
	helpPrinted := false
	parser, err := kong.New(&line, kong.Name("soak"), kong.Writers(stdout, stderr), kong.Vars{"version": "soak " + program.Version},
		kong.Exit(func(int) { helpPrinted = true }),
		kong.Description("Runs controllers and routers as real processes on loopback addresses, with clients and operators, under faults and planned work that overlap: kills, pauses, partitions, lost responses, restarts. Then checks every guarantee."))
	if err != nil {
		return 0, err
	}
	parsed, err := parser.Parse(arguments)
	if helpPrinted {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if parsed.Command() == "troubles" {
		return 0, listFaults(stdout)
	}
	return line.Run.execute(stdout)
}

func listFaults(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, name := range soak.FaultNames() {
		fmt.Fprintf(table, "%s\t%s\n", name, soak.FaultDescription(name))
	}
	return table.Flush()
}
