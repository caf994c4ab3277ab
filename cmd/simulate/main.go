// Simulate runs whole controllers of onyxwell on a simulated clock, network and
// disk, seed after seed, and says whether a promise was broken.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"onyxwell/simulation"
)

// setting is what makes one run what it is.
type setting struct {
	Site      string        `help:"Deployment that is played: see 'simulate list'." default:"three"`
	Point     int           `help:"Draw the troubles of one of the points of docs/hardening.md, 1 to 4; 0 takes all." default:"0"`
	Trouble   []string      `help:"Draw only this kind of trouble; may be given again." placeholder:"NAME"`
	Length    time.Duration `help:"Simulated time during which troubles come." default:"40s"`
	Quiet     bool          `help:"Leave all troubles out."`
	Hurry     bool          `help:"Have the operators give orders eight times as fast."`
	Operators int           `help:"How many give orders; each has up to eight under way." default:"2"`
	Drill     string        `hidden:""`
	Service   string        `hidden:""`
}

type commandLine struct {
	Run struct {
		setting
		From   uint64        `help:"First seed." default:"1"`
		Seeds  int           `help:"How many seeds." default:"20"`
		Jobs   int           `help:"How many processes at once." default:"2"`
		Within time.Duration `help:"End after this time, whatever was played." default:"10m"`
	} `cmd:"" default:"withargs" help:"Play many seeds and sum them up (the default)."`
	Seed struct {
		setting
		Number uint64 `arg:"" help:"The seed."`
		Trace  bool   `help:"Write all that happens, a JSON line each."`
	} `cmd:"" help:"Play one seed again."`
	Redundancy redundancy `cmd:"" help:"Play each kind of loss again and again and tell how long it took until redundancy was whole again."`
	Service    service    `cmd:"" help:"Tell how many changes are taken and how long nobody serves after the owner of the configuration is lost."`
	List       struct{}   `cmd:"" help:"List the deployments and the troubles."`
	Batch      struct {
		setting
		From  uint64
		Seeds int
	} `cmd:"" hidden:""`
}

// options checks the settings and names the one that is wrong.
func (s setting) options() (simulation.Options, error) {
	site, found := simulation.Sites[s.Site]
	if !found {
		return simulation.Options{}, fmt.Errorf("--site: %q is not known; see 'simulate list'", s.Site)
	}
	known := map[string]bool{}
	for _, name := range simulation.Troubles() {
		known[name] = true
	}
	for _, name := range s.Trouble {
		if !known[name] {
			return simulation.Options{}, fmt.Errorf("--trouble: %q is not known; see 'simulate list'", name)
		}
	}
	checks := []struct {
		holds bool
		text  string
	}{
		{s.Point >= 0 && s.Point <= 4, "--point wants 0 to 4"},
		{s.Length >= 10*time.Second && s.Length <= time.Hour, "--length wants 10s to 1h"},
		{s.Operators >= 1 && s.Operators <= 16, "--operators wants 1 to 16"},
	}
	for _, check := range checks {
		if !check.holds {
			return simulation.Options{}, errors.New(check.text)
		}
	}
	return simulation.Options{Site: site, Point: s.Point, Only: s.Trouble, Length: s.Length, Operators: s.Operators, Quiet: s.Quiet, Hurry: s.Hurry, Drill: s.Drill, Service: s.Service}, nil
}

func main() { os.Exit(run(os.Args[1:])) }

func run(arguments []string) int {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("simulate"), kong.Description(
		"Runs whole controllers on a simulated clock, network and disk while machines are cut off, frozen, killed, wiped and replaced. The status is 1 where a promise was broken."))
	if err != nil {
		return complain(err)
	}
	parsed, err := parser.Parse(arguments)
	if err != nil {
		return complain(err)
	}
	commands := map[string]func() (int, error){
		"run":           func() (int, error) { return line.many() },
		"seed <number>": func() (int, error) { return line.one() },
		"batch":         func() (int, error) { return line.batch() },
		"redundancy":    func() (int, error) { return line.Redundancy.play() },
		"service":       func() (int, error) { return line.Service.play() },
		"list":          list,
	}
	status, err := commands[parsed.Command()]()
	if err != nil {
		return complain(err)
	}
	return status
}

func complain(err error) int {
	fmt.Fprintln(os.Stderr, "simulate:", err)
	return 2
}

func list() (int, error) {
	fmt.Println("deployments:")
	for _, name := range []string{"three", "close", "five", "six", "nine"} {
		site := simulation.Sites[name]
		fmt.Printf("  %-8s %d controllers, %d may be lost at once, %s between regions, %s a sync\n", name, len(site.Places), site.Losses, site.Far, site.Sync)
	}
	fmt.Println("troubles:")
	for _, name := range simulation.Troubles() {
		fmt.Println("  " + name)
	}
	return 0, nil
}
