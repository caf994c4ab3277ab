// Replay plays a recorded day of requests against routers and tells the
// outcomes by route.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"onyxwell/base/ids"
	"onyxwell/base/program"
	"onyxwell/base/scope"
	"onyxwell/replay"
)

type commandLine struct {
	Day     string           `arg:"" help:"The recorded day: a file of JSON lines, or - for standard input."`
	Router  []ids.Address    `required:"" help:"Front addresses of routers, drawn by chance for each request."`
	Speed   float64          `help:"How many times as fast as recorded." default:"1"`
	Limit   time.Duration    `help:"How long one request may take." default:"15s"`
	JSON    bool             `name:"json" help:"Print the outcomes as JSON."`
	Version kong.VersionFlag `help:"Print the version and stop."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

func run(arguments []string, input io.Reader, out io.Writer, errors io.Writer) int {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("replay"), kong.Writers(out, errors), kong.Vars{"version": "replay " + program.Version},
		kong.Description("Plays a recorded day of requests against routers and tells the outcomes by route."))
	if err == nil {
		_, err = parser.Parse(arguments)
	}
	if err == nil && line.Speed <= 0 {
		err = fmt.Errorf("--speed wants a number above 0")
	}
	var records []replay.Record
	if err == nil {
		records, err = readRecords(line.Day, input)
	}
	if err != nil {
		fmt.Fprintf(errors, "replay: %v\n", err)
		return 1
	}
	outcomes := replay.Play(scope.New(scope.Options{}), records, replay.Options{
		Routers: line.Router, Speed: line.Speed, Timeout: line.Limit, Client: replay.NewClient(64),
	})
	return writeReport(out, outcomes, line.JSON)
}

func readRecords(path string, input io.Reader) ([]replay.Record, error) {
	if path == "-" {
		return replay.Read(input)
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

func writeReport(out io.Writer, outcomes []replay.RouteSummary, asJSON bool) int {
	if asJSON {
		if err := json.NewEncoder(out).Encode(outcomes); err != nil {
			return 1
		}
		return 0
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "route\trequests\tbroken\tfirst p50 ms\tfirst p99 ms\tstatuses")
	for _, outcome := range outcomes {
		statuses, _ := json.Marshal(outcome.Statuses)
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.1f\t%s\n", outcome.Route, outcome.Requests, outcome.Incomplete, outcome.FirstByteP50MS, outcome.FirstByteP99MS,
			strings.Trim(string(statuses), "{}"))
	}
	_ = table.Flush()
	return 0
}
