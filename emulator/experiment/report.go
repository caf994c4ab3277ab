package experiment

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"

	"onyxwell/base/clock"
	"onyxwell/emulator/client"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/runner"
)

// Report is what an experiment saw.
type Report struct {
	options Options
	// Requests were sent, in Spent; Runs ran at runners, Refusals were turned
	// away there.
	Requests int
	Runs     int
	Refusals int
	Restarts int
	Freezes  int
	// Hangups are the SIGHUPs that routers have acted on.
	Hangups int
	Spent   clock.Span
	// Met is how often each trouble befell a request.
	Met map[string]int
	// Verdicts are the broken rules, the first few with their histories.
	Verdicts []oracle.Verdict

	mu       sync.Mutex
	outcomes map[oracle.Kind]map[string]int
	waits    map[oracle.Kind]*hdrhistogram.Histogram
}

func newReport(options Options) *Report {
	return &Report{
		options: options, Met: map[string]int{},
		outcomes: map[oracle.Kind]map[string]int{}, waits: map[oracle.Kind]*hdrhistogram.Histogram{},
	}
}

func (r *Report) ran(run oracle.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.Refused {
		r.Refusals++
	} else {
		r.Runs++
	}
}

// longest wait that is told apart, in microseconds.
const longest = 120_000_000

func (r *Report) got(wish client.Request, got oracle.Got, wait clock.Span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := wish.Asked.Kind
	if r.outcomes[kind] == nil {
		r.outcomes[kind] = map[string]int{}
		r.waits[kind] = hdrhistogram.New(1, longest, 3)
	}
	r.outcomes[kind][outcomeOf(wish, got)]++
	_ = r.waits[kind].RecordValue(min(longest, max(1, wait.Microseconds())))
}

func outcomeOf(wish client.Request, got oracle.Got) string {
	if !got.Whole && wish.Leaves {
		return "left"
	}
	if got.Status == 0 {
		return "no answer"
	}
	if !got.Whole {
		return "cut"
	}
	return fmt.Sprint(got.Status)
}

func (r *Report) judge(found []oracle.Verdict) {
	r.Verdicts = append(r.Verdicts, found...)
}

// Outcomes counts the ends of all requests by name: a status, cut, left or no
// answer.
func (r *Report) Outcomes() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]int{}
	for _, outcomes := range r.outcomes {
		for name, count := range outcomes {
			all[name] += count
		}
	}
	return all
}

// mostShown is how many broken rules are shown with their histories.
const mostShown = 5

// Show prints the report.
func (r *Report) Show(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d of %d requests in %.1f s, %.0f a second; %d runs, %d refusals by runners, %d restarts, %d freezes and %d SIGHUPs of routers\n\n", r.options.Seed,
		r.Requests, r.options.Requests, r.Spent.Seconds(), float64(r.Requests)/max(r.Spent.Seconds(), 1e-9), r.Runs, r.Refusals, r.Restarts, r.Freezes, r.Hangups)
	r.showOutcomes(out)
	r.showTroubles(out)
	if len(r.Verdicts) == 0 {
		fmt.Fprintln(out, "no rule broken")
		return
	}
	fmt.Fprintf(out, "RULES BROKEN: %d; again:\n  %s\n", len(r.Verdicts), r.options.Again())
	for _, verdict := range r.Verdicts[:min(mostShown, len(r.Verdicts))] {
		fmt.Fprintf(out, "\n%s, attempt %s: %s\n", verdict.Rule, verdict.Attempt, verdict.Why)
		for _, line := range verdict.History {
			fmt.Fprintf(out, "  %s\n", line)
		}
	}
}

func (r *Report) showOutcomes(out io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "kind\trequests\twaits ms p50\tp90\tp99\tp99.9\tmost\toutcomes")
	for _, kind := range []oracle.Kind{oracle.Safe, oracle.Unsafe, oracle.Stream, oracle.Resumable, oracle.Rude} {
		waits := r.waits[kind]
		if waits == nil {
			continue
		}
		fmt.Fprintf(table, "%s\t%d", kind, waits.TotalCount())
		for _, quantile := range []float64{50, 90, 99, 99.9, 100} {
			fmt.Fprintf(table, "\t%.1f", float64(waits.ValueAtQuantile(quantile))/1000)
		}
		fmt.Fprintf(table, "\t%s\n", sorted(r.outcomes[kind]))
	}
	_ = table.Flush()
	fmt.Fprintln(out)
}

func sorted(outcomes map[string]int) string {
	var names []string
	for name := range outcomes {
		names = append(names, name)
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf("%s: %d  ", name, outcomes[name])
	}
	return text
}

func (r *Report) showTroubles(out io.Writer) {
	if r.options.Mix.String() == "" {
		return
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, trouble := range runner.Troubles {
		if rate := r.options.Mix[trouble.Name]; rate > 0 {
			fmt.Fprintf(table, "%s\t%g\t%d times\n", trouble.Name, rate, r.Met[trouble.Name])
		}
	}
	_ = table.Flush()
	fmt.Fprintln(out)
}
