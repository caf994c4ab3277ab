// Room asks a fleet-controller how much room each model family has left before
// its requests run late.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/program"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/planning/headroom"
)

type commandLine struct {
	Controller []ids.Address    `arg:"" optional:"" help:"Control addresses to ask, one after another; by default the seeds of the boot file."`
	Boot       string           `help:"Path of the boot file." placeholder:"FILE"`
	JSON       bool             `name:"json" help:"Print the report as it came."`
	Limit      time.Duration    `help:"How long one controller may take." default:"2s"`
	Version    kong.VersionFlag `help:"Print the version and stop."`
}

type reportRequest struct{}

// Encode makes the call.
func (reportRequest) Encode() httpcall.OutgoingRequest {
	return httpcall.OutgoingRequest{Method: "GET", Path: "/room"}
}

type reportResponse struct {
	body   []byte
	report headroom.Report
}

// Decode reads the report.
func (r *reportResponse) Decode(told httpcall.RawResponse) error {
	if told.Status != 200 {
		return errkind.Errorf(errkind.NotReady, "the controller answered %d: %s", told.Status, told.Body)
	}
	r.body = told.Body
	return json.Unmarshal(told.Body, &r.report)
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(arguments []string, out io.Writer, errors io.Writer) int {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("room"), kong.Writers(out, errors), kong.Vars{"version": "room " + program.Version},
		kong.Description("Tells how many times its load each model family can bear before its requests run late."))
	if err == nil {
		_, err = parser.Parse(arguments)
	}
	if err == nil && len(line.Controller) == 0 {
		line.Controller, err = seedAddresses(line.Boot)
	}
	if err != nil {
		fmt.Fprintf(errors, "room: %v\n", err)
		return 1
	}
	answer, err := fetchReport(line)
	if err != nil {
		fmt.Fprintf(errors, "room: %v\n", err)
		return 1
	}
	if line.JSON {
		_, _ = out.Write(append(answer.body, '\n'))
		return 0
	}
	writeReport(out, answer.report)
	return 0
}

func seedAddresses(path string) ([]ids.Address, error) {
	if path == "" {
		path = settings.Path()
	}
	settings, err := settings.Read(path)
	if err != nil {
		return nil, err
	}
	return settings.Seeds, nil
}

func fetchReport(line commandLine) (reportResponse, error) {
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: httpcall.Dialer{Timeout: line.Limit, UserTimeout: line.Limit}, IdleTimeout: line.Limit, MaxIdlePerHost: 1})
	var last error
	for _, address := range line.Controller {
		short, release := scope.New(scope.Options{}).WithTimeout(line.Limit)
		answer, err := httpcall.Do[reportResponse](short, client, address, reportRequest{})
		release()
		if err == nil {
			return answer, nil
		}
		last = fmt.Errorf("%s: %w", address, err)
	}
	return reportResponse{}, last
}

func writeReport(out io.Writer, report headroom.Report) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, family := range report.Services {
		if !family.HasData {
			fmt.Fprintf(table, "%s\ttoo few answers seen for an estimate\n", family.Service)
			continue
		}
		fmt.Fprintf(table, "%s\tload %.1f/s\tused %.0f%%\troom for %.1f times the load\n", family.Service, family.LoadPerS, 100*family.Utilization, family.GrowthTogether)
		for _, route := range family.Routes {
			fmt.Fprintf(table, "  %s\tload %.1f/s\tfirst %.0f of %.0f ms\talone %.1f times, with all others %.1f times\n",
				route.Name, route.LoadPerS, route.FirstTokenMS, route.TargetMS, route.GrowthAlone, route.GrowthTogether)
		}
		for _, region := range family.Regions {
			fmt.Fprintf(table, "  in %s\t%d ready\t%d not\tused %.0f%%\n", region.Region, region.Ready, region.NotReady, 100*region.Utilization)
		}
	}
	for _, routers := range report.Routers {
		fmt.Fprintf(table, "routers in %s\t%d ready\tof %d\t\n", routers.Region, routers.Ready, routers.Known)
	}
	_ = table.Flush()
}
