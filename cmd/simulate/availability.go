package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// availabilityCommand is the command that measures how orders are taken, in simulated time:
// without trouble, and while the owner of the configuration is lost again and
// again.
type availabilityCommand struct {
	Site      []string      `help:"Deployment that is played; may be given again." default:"three,five,nine"`
	From      uint64        `help:"First seed." default:"1"`
	Seeds     int           `help:"How many seeds of each row." default:"4"`
	Jobs      int           `help:"How many processes at once." default:"2"`
	Length    time.Duration `help:"Simulated time of each run." default:"60s"`
	Operators int           `help:"How many give orders; each has up to eight under way." default:"8"`
	Hurry     bool          `help:"Have the operators give orders eight times as fast." default:"true" negatable:""`
	Within    time.Duration `help:"End after this time, whatever was played." default:"30m"`
}

// ownerFaults are the rows: what befalls the owner, or nothing.
var ownerFaults = []string{"quiet", "kill", "freeze", "cut"}

// run plays the seeds of each row and prints a table.
func (a availabilityCommand) run() (int, error) {
	if a.Seeds < 1 || a.Jobs < 1 {
		return 0, errors.New("--seeds and --jobs want a number above 0")
	}
	sets := map[string]runFlags{}
	var order []string
	for _, site := range a.Site {
		for _, strike := range ownerFaults {
			set := runFlags{Site: site, Length: a.Length, Operators: a.Operators, Quiet: true, Hurry: a.Hurry, Service: strike}
			if _, err := set.options(); err != nil {
				return 0, err
			}
			name := site + ", " + strike
			order, sets[name] = append(order, name), set
		}
	}
	totals := runAll(order, sets, a.From, a.Seeds, a.Jobs, a.Within)
	fmt.Println("simulated seconds; orders are acknowledged after (median, 99 in 100); silence is the longest without an acknowledgement after a loss of the owner")
	fmt.Println("| site, owner | seeds, broken | changes a second | median | 99 in 100 | losses | silence, median | worst |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	status := 0
	for _, name := range order {
		fmt.Println(totals[name].availabilityRow(name))
	}
	for _, name := range order {
		status = max(status, totals[name].printFailures(name, a.Seeds))
	}
	return status, nil
}

// availabilityRow is a row of the table.
func (s *summary) availabilityRow(name string) string {
	measured := s.availability
	row := fmt.Sprintf("| %s | %d, %d | ", name, len(s.played), len(s.violating))
	if measured.Duration == 0 || len(measured.AckLatencies) == 0 {
		return row + "none taken | | | | | |"
	}
	row += fmt.Sprintf("%.1f | %.3f | %.3f | ", float64(measured.Changes)/measured.Duration.Seconds(), quantile(measured.AckLatencies, 0.5), quantile(measured.AckLatencies, 0.99))
	if len(measured.Silences) == 0 {
		return row + "0 | | |"
	}
	return row + fmt.Sprintf("%d | %.2f | %.2f |", len(measured.Silences), quantile(measured.Silences, 0.5), quantile(measured.Silences, 1))
}

// quantile is the quantile of some spans in seconds.
func quantile(spans []time.Duration, share float64) float64 {
	var values []float64
	for _, span := range spans {
		values = append(values, span.Seconds())
	}
	slices.Sort(values)
	return stat.Quantile(share, stat.Empirical, values, nil)
}
