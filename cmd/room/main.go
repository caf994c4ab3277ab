// Room prints a controller's headroom report: by how much the load of each
// service can grow before its requests miss their latency target.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/program"
	"onyxwell/base/settings"
	"onyxwell/control/planning/headroom"
)

// commandLine is what the flags are parsed into; the names of its fields are the
// flags.
type commandLine struct {
	Controller []ids.Address    `arg:"" optional:"" help:"Control addresses, tried in order; by default the seeds of the boot file."`
	Boot       string           `help:"Path of the boot file." placeholder:"FILE"`
	JSON       bool             `name:"json" help:"Print the report as it was received."`
	Limit      time.Duration    `help:"Timeout of the request to each controller." default:"2s"`
	Version    kong.VersionFlag `help:"Print the version and stop."`
}

// reportRequest asks for the headroom report.
type reportRequest struct{}

// Encode returns the HTTP request.
func (reportRequest) Encode() httpcall.OutgoingRequest {
	return httpcall.OutgoingRequest{Method: http.MethodGet, Path: "/room"}
}

// reportResponse is the report, and the body that it was read from.
type reportResponse struct {
	body   []byte
	report headroom.Report
}

// Decode reads the HTTP response.
func (r *reportResponse) Decode(raw httpcall.RawResponse) error {
	if raw.Status != http.StatusOK {
		return errkind.Errorf(errkind.NotReady, "the controller answered %d: %s", raw.Status, raw.Body)
	}
	r.body = raw.Body
	return json.Unmarshal(raw.Body, &r.report)
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run returns the exit status: 0, or 1 where no report was received.
func run(arguments []string, stdout io.Writer, stderr io.Writer) int {
	line, err := parse(arguments, stdout, stderr)
	var resp reportResponse
	if err == nil {
		resp, err = fetchReport(context.Background(), line.Controller, line.Limit)
	}
	if err != nil {
		fmt.Fprintf(stderr, "room: %v\n", err)
		return 1
	}
	if line.JSON {
		_, _ = stdout.Write(append(resp.body, '\n'))
		return 0
	}
	writeTable(stdout, resp.report)
	return 0
}

func parse(arguments []string, stdout io.Writer, stderr io.Writer) (commandLine, error) {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("room"), kong.Writers(stdout, stderr), kong.Vars{"version": "room " + program.Version},
		kong.Description("Prints by how much the load of each service can grow before its requests miss their latency target."))
	if err != nil {
		return line, err
	}
	if _, err := parser.Parse(arguments); err != nil {
		return line, err
	}
	if len(line.Controller) == 0 {
		line.Controller, err = seedAddresses(line.Boot)
	}
	return line, err
}

// seedAddresses returns the seeds of a boot file, by default the machine's own.
func seedAddresses(bootFile string) ([]ids.Address, error) {
	if bootFile == "" {
		bootFile = settings.Path()
	}
	node, err := settings.Read(bootFile)
	if err != nil {
		return nil, err
	}
	return node.Seeds, nil
}

// fetchReport returns the report of the first controller that has one. The error
// is that of the last controller tried.
func fetchReport(ctx context.Context, controllers []ids.Address, timeout time.Duration) (reportResponse, error) {
	client := httpcall.NewClient(httpcall.ClientOptions{
		Dialer: httpcall.Dialer{Timeout: timeout, UserTimeout: timeout}, IdleTimeout: timeout, MaxIdlePerHost: 1,
	})
	var lastErr error
	for _, address := range controllers {
		limited, cancel := context.WithTimeout(ctx, timeout)
		resp, err := httpcall.Do[reportResponse](limited, client, address, reportRequest{})
		cancel()
		if err == nil {
			return resp, nil
		}
		lastErr = fmt.Errorf("%s: %w", address, err)
	}
	return reportResponse{}, lastErr
}

func writeTable(out io.Writer, report headroom.Report) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, service := range report.Services {
		if !service.HasData {
			fmt.Fprintf(table, "%s\ttoo few answers seen for an estimate\n", service.Service)
			continue
		}
		fmt.Fprintf(table, "%s\tload %.1f/s\tused %.0f%%\troom for %.1f times the load\n", service.Service, service.RequestsPerS, 100*service.Utilization, service.MaxGrowth)
		for _, route := range service.Routes {
			fmt.Fprintf(table, "  %s\tload %.1f/s\tfirst %.0f of %.0f ms\talone %.1f times, with all others %.1f times\n",
				route.Name, route.RequestsPerS, route.FirstTokenMS, route.TargetMS, route.MaxRouteGrowth, route.MaxGrowth)
		}
		for _, region := range service.Regions {
			fmt.Fprintf(table, "  in %s\t%d ready\t%d not\tused %.0f%%\n", region.Region, region.Ready, region.NotReady, 100*region.Utilization)
		}
	}
	for _, routers := range report.Routers {
		fmt.Fprintf(table, "routers in %s\t%d ready\tof %d\t\n", routers.Region, routers.Ready, routers.Known)
	}
	_ = table.Flush()
}
