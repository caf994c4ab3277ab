// Replay sends a recorded day of requests to routers and sums up the responses
// by route.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/program"
	"onyxwell/replay"
)

// maxIdlePerRouter is how many idle connections are kept to each router.
const maxIdlePerRouter = 64

// commandLine is what the flags are parsed into; the names of its fields are the
// flags.
type commandLine struct {
	Day     string           `arg:"" help:"The recorded day: a file of JSON lines, or - for standard input."`
	Router  []ids.Address    `required:"" help:"Front addresses of routers; each request goes to one drawn at random."`
	Speed   float64          `help:"How many times as fast as recorded requests are sent." default:"1"`
	Limit   time.Duration    `help:"Timeout of each request." default:"15s"`
	JSON    bool             `name:"json" help:"Print the summary as JSON."`
	Version kong.VersionFlag `help:"Print the version and stop."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// run returns the exit status: 0, or 1 where nothing was sent or the summary
// could not be printed.
func run(arguments []string, stdin io.Reader, stdout io.Writer, stderr io.Writer) int {
	line, err := parse(arguments, stdout, stderr)
	var records []replay.Record
	if err == nil {
		records, err = readRecords(line.Day, stdin)
	}
	if err != nil {
		fmt.Fprintf(stderr, "replay: %v\n", err)
		return 1
	}
	player := replay.Player{
		Routers: line.Router, Speed: line.Speed, Timeout: line.Limit,
		Client: replay.NewClient(maxIdlePerRouter), Clock: clock.NewMonotonic(),
	}
	summaries := player.Play(context.Background(), records)
	if !line.JSON {
		writeTable(stdout, summaries)
		return 0
	}
	if err := json.NewEncoder(stdout).Encode(summaries); err != nil {
		return 1
	}
	return 0
}

func parse(arguments []string, stdout io.Writer, stderr io.Writer) (commandLine, error) {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("replay"), kong.Writers(stdout, stderr), kong.Vars{"version": "replay " + program.Version},
		kong.Description("Sends a recorded day of requests to routers and sums up the responses by route."))
	if err != nil {
		return line, err
	}
	if _, err := parser.Parse(arguments); err != nil {
		return line, err
	}
	if line.Speed <= 0 {
		return line, errors.New("--speed wants a number above 0")
	}
	return line, nil
}

// readRecords reads the recorded day at a path; - is standard input.
func readRecords(path string, stdin io.Reader) ([]replay.Record, error) {
	if path == "-" {
		return replay.Read(stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	records, err := replay.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return records, nil
}

func writeTable(out io.Writer, summaries []replay.RouteSummary) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "route\trequests\tbroken\tfirst p50 ms\tfirst p99 ms\tstatuses")
	for _, summary := range summaries {
		statuses, _ := json.Marshal(summary.Statuses)
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.1f\t%s\n", summary.Route, summary.Requests, summary.Incomplete,
			summary.FirstByteP50MS, summary.FirstByteP99MS, strings.Trim(string(statuses), "{}"))
	}
	_ = table.Flush()
}
