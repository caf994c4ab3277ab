// Scale runs an estate on loopback addresses and measures what control costs
// each daemon as one size grows.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"onyxwell/base/program"
	"onyxwell/scale"
)

type sizes struct {
	Regions  int           `help:"Regions." default:"3"`
	Zones    int           `help:"Zones of each region." default:"2"`
	Hollow   int           `help:"Hollow daemons of each zone." default:"14"`
	Routers  int           `help:"Real routers of each zone." default:"1"`
	Runners  int           `help:"Runners on the platform's list." default:"68"`
	Routes   int           `help:"Routes of the configuration." default:"3"`
	Tenants  int           `help:"Routes that have a home." default:"0"`
	Changes  float64       `help:"Configuration changes a second." default:"1"`
	Warm     time.Duration `help:"Time before anything is measured." default:"12s"`
	Span     time.Duration `help:"Time that is measured." default:"20s"`
	Programs string        `help:"Folder with the built daemons." default:"target" type:"existingdir"`
	Out      string        `help:"File to which each result is added, as one line of JSON." placeholder:"FILE" required:""`
}

type commandLine struct {
	Run struct {
		sizes
	} `cmd:"" help:"Run one estate."`
	Sweep struct {
		sizes
		Variable string `arg:"" help:"What changes: hollow, zones, regions, runners, routes, tenants or changes." enum:"hollow,zones,regions,runners,routes,tenants,changes"`
		Values   []int  `arg:"" help:"Its values, three or more."`
	} `cmd:"" help:"Run one estate for each value of one size."`
	Fit struct {
		Variable string  `arg:"" help:"The size that changed." enum:"hollow,zones,regions,runners,routes,tenants,changes"`
		File     string  `arg:"" help:"File with the results of its sweep." type:"existingfile"`
		At       float64 `help:"Reckon the measures at this size as well."`
	} `cmd:"" help:"Put lines through the results of a sweep."`
	Version kong.VersionFlag `help:"Print the version and stop."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func run(ctx context.Context, arguments []string, out io.Writer, complaints io.Writer) int {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("scale"), kong.Writers(out, complaints), kong.Vars{"version": "scale " + program.Version},
		kong.Description("Measures what control costs on an estate of real and hollow daemons, on loopback addresses."))
	var parsed *kong.Context
	if err == nil {
		parsed, err = parser.Parse(arguments)
	}
	if err == nil {
		commands := map[string]func() error{
			"run": func() error { return line.Run.sizes.sweep(ctx, out, "", nil) },
			"sweep <variable> <values>": func() error {
				return line.Sweep.sizes.sweep(ctx, out, line.Sweep.Variable, line.Sweep.Values)
			},
			"fit <variable> <file>": func() error { return fit(out, line.Fit.Variable, line.Fit.File, line.Fit.At) },
		}
		err = commands[parsed.Command()]()
	}
	if err != nil {
		fmt.Fprintf(complaints, "scale: %v\n", err)
		return 1
	}
	return 0
}

func (sizes sizes) size() scale.Size {
	return scale.Size{
		Regions: sizes.Regions, Zones: sizes.Zones, Hollow: sizes.Hollow, Routers: sizes.Routers, Runners: sizes.Runners,
		Routes: sizes.Routes, Tenants: sizes.Tenants, ChangesPerS: sizes.Changes, Warm: sizes.Warm, Span: sizes.Span,
	}
}

// sweep runs the estates one after another; the file must be writable before the
// first of them starts.
func (sizes sizes) sweep(ctx context.Context, out io.Writer, variable string, values []int) error {
	file, err := os.OpenFile(sizes.Out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	var estates []scale.Size
	for _, value := range values {
		size := sizes.size()
		scale.Variables[variable](&size, value)
		estates = append(estates, size)
	}
	if variable == "" {
		estates = []scale.Size{sizes.size()}
	}
	for _, size := range estates {
		result, err := scale.Run(ctx, scale.Options{Size: size, Programs: sizes.Programs, Say: func(text string) { fmt.Fprintln(out, text) }})
		if err != nil {
			return errors.Join(err, file.Close())
		}
		text, err := json.Marshal(result)
		if err == nil {
			_, err = file.Write(append(text, '\n'))
		}
		if err != nil {
			return errors.Join(err, file.Close())
		}
		fmt.Fprintf(out, "%s\n", text)
	}
	return file.Close()
}

func fit(out io.Writer, variable string, path string, at float64) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	var results []scale.Result
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var result scale.Result
		if err := json.Unmarshal(lines.Bytes(), &result); err != nil {
			return fmt.Errorf("%s, line %d: %w", path, len(results)+1, err)
		}
		results = append(results, result)
	}
	fits, err := scale.Fits(variable, results)
	if err != nil {
		return errors.Join(err, lines.Err())
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "measure\tat none\tone more adds\tresidual\tpoints\tfrom\tto\tat %g\n", at)
	for _, line := range fits {
		fmt.Fprintf(table, "%s\t%.3g\t%.3g\t%.2g\t%d\t%g\t%g\t%.4g\n", line.Measure, line.At, line.Slope, line.Residual, line.Points, line.Least, line.Most, line.Reckon(at))
	}
	return table.Flush()
}
