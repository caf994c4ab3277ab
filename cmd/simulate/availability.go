package main

import (
	"fmt"
	"time"
)

// availabilityCommand measures, in simulated time, how commands are served:
// without faults, and while the owner of the configuration is lost again and
// again.
type availabilityCommand struct {
	Site      []string      `help:"Deployment that is played; may be given again." default:"three,five,nine"`
	From      uint64        `help:"First seed." default:"1"`
	Seeds     int           `help:"How many seeds of each row." default:"4"`
	Jobs      int           `help:"How many processes at once." default:"2"`
	Length    time.Duration `help:"Simulated time of each run." default:"60s"`
	Operators int           `help:"How many clients issue commands; each has up to eight in flight." default:"8"`
	Hurry     bool          `help:"Have the clients issue commands eight times as fast." default:"true" negatable:""`
	Within    time.Duration `help:"End after this time, whatever was played." default:"30m"`
}

// ownerFaults are what befalls the owner in the rows of each site, those of
// simulation.OwnerFaults in the order of the table.
var ownerFaults = []string{"quiet", "kill", "freeze", "cut"}

// run plays the seeds of each row and prints a table.
func (a availabilityCommand) run() (int, error) {
	if a.Seeds < 1 || a.Jobs < 1 {
		return 0, errCounts
	}
	var rows []row
	for _, site := range a.Site {
		for _, ownerFault := range ownerFaults {
			flags := runFlags{Site: site, Length: a.Length, Operators: a.Operators, Quiet: true, Hurry: a.Hurry, Service: ownerFault}
			if _, err := flags.options(); err != nil {
				return 0, err
			}
			rows = append(rows, row{name: site + ", " + ownerFault, flags: flags})
		}
	}
	summaries := runRows(rows, a.From, a.Seeds, a.Jobs, a.Within)
	fmt.Println("simulated seconds; commands are acknowledged after (median, 99 in 100); silence is the longest without an acknowledgement after a loss of the owner")
	fmt.Println("| site, owner | seeds, broken | changes a second | median | 99 in 100 | losses | silence, median | worst |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for index, row := range rows {
		fmt.Println(summaries[index].availabilityRow(row.name))
	}
	return printRowFailures(rows, summaries, a.Seeds), nil
}

// availabilityRow is the summary's row of the table.
func (s *summary) availabilityRow(name string) string {
	measured := s.availability
	row := fmt.Sprintf("| %s | %d, %d | ", name, len(s.played), len(s.violating))
	if measured.Duration == 0 || len(measured.AckLatencies) == 0 {
		return row + "none accepted | | | | | |"
	}
	acks, silences := appendSeconds(nil, measured.AckLatencies), appendSeconds(nil, measured.Silences)
	row += fmt.Sprintf("%.1f | %.3f | %.3f | ", float64(measured.Changes)/measured.Duration.Seconds(), quantile(acks, 0.5), quantile(acks, 0.99))
	if len(silences) == 0 {
		return row + "0 | | |"
	}
	return row + fmt.Sprintf("%d | %.2f | %.2f |", len(silences), quantile(silences, 0.5), quantile(silences, 1))
}
