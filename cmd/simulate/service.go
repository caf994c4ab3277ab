package main

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"
)

// service is the command that measures how orders are taken, in simulated time:
// without trouble, and while the owner of the configuration is lost again and
// again.
type service struct {
	Site      []string      `help:"Deployment that is played; may be given again." default:"three,five,nine"`
	From      uint64        `help:"First seed." default:"1"`
	Seeds     int           `help:"How many seeds of each row." default:"4"`
	Jobs      int           `help:"How many processes at once." default:"2"`
	Length    time.Duration `help:"Simulated time of each run." default:"60s"`
	Operators int           `help:"How many give orders; each has up to eight under way." default:"8"`
	Hurry     bool          `help:"Have the operators give orders eight times as fast." default:"true" negatable:""`
	Within    time.Duration `help:"End after this time, whatever was played." default:"30m"`
}

// struck are the rows: what befalls the owner, or nothing.
var struck = []string{"quiet", "kill", "freeze", "cut"}

// play plays the seeds of each row and prints a table.
func (s service) play() (int, error) {
	if s.Seeds < 1 || s.Jobs < 1 {
		return 0, errors.New("--seeds and --jobs want a number above 0")
	}
	sets := map[string]setting{}
	var order []string
	for _, site := range s.Site {
		for _, strike := range struck {
			set := setting{Site: site, Length: s.Length, Operators: s.Operators, Quiet: true, Hurry: s.Hurry, Service: strike}
			if _, err := set.options(); err != nil {
				return 0, err
			}
			name := site + ", " + strike
			order, sets[name] = append(order, name), set
		}
	}
	totals := each(order, sets, s.From, s.Seeds, s.Jobs, s.Within)
	fmt.Println("simulated seconds; orders are acknowledged after (median, 99 in 100); silence is the longest without an acknowledgement after a loss of the owner")
	fmt.Println("| site, owner | seeds, broken | changes a second | median | 99 in 100 | losses | silence, median | worst |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	status := 0
	for _, name := range order {
		fmt.Println(totals[name].served(name))
	}
	for _, name := range order {
		status = max(status, totals[name].complain(name, s.Seeds))
	}
	return status, nil
}

// served is a row of the table.
func (s *sum) served(name string) string {
	measured := s.service
	row := fmt.Sprintf("| %s | %d, %d | ", name, len(s.played), len(s.broken))
	if measured.Span == 0 || len(measured.Acks) == 0 {
		return row + "none taken | | | | | |"
	}
	row += fmt.Sprintf("%.1f | %.3f | %.3f | ", float64(measured.Changes)/measured.Span.Seconds(), part(measured.Acks, 0.5), part(measured.Acks, 0.99))
	if len(measured.Silences) == 0 {
		return row + "0 | | |"
	}
	return row + fmt.Sprintf("%d | %.2f | %.2f |", len(measured.Silences), part(measured.Silences, 0.5), part(measured.Silences, 1))
}

// part is the quantile of some spans in seconds.
func part(spans []time.Duration, share float64) float64 {
	var values []float64
	for _, span := range spans {
		values = append(values, span.Seconds())
	}
	slices.Sort(values)
	return stat.Quantile(share, stat.Empirical, values, nil)
}
