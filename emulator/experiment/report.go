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
	Requests   int
	Runs       int
	Rejections int
	Restarts   int
	Freezes    int
	// Hangups are the SIGHUPs that routers have acted on.
	Hangups int
	Elapsed clock.Span
	// FaultCounts is how often each trouble befell a request.
	FaultCounts map[string]int
	// Violations are the broken rules, the first few with their histories.
	Violations []oracle.Violation

	mu        sync.Mutex
	outcomes  map[oracle.Kind]map[string]int
	latencies map[oracle.Kind]*hdrhistogram.Histogram
}

func newReport(options Options) *Report {
	return &Report{
		options: options, FaultCounts: map[string]int{},
		outcomes: map[oracle.Kind]map[string]int{}, latencies: map[oracle.Kind]*hdrhistogram.Histogram{},
	}
}

func (r *Report) recordRun(run oracle.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.Rejected {
		r.Rejections++
	} else {
		r.Runs++
	}
}

// maxLatencyMicros wait that is told apart, in microseconds.
const maxLatencyMicros = 120_000_000

func (r *Report) recordResponse(wish client.Request, got oracle.Response, wait clock.Span) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := wish.Record.Kind
	if r.outcomes[kind] == nil {
		r.outcomes[kind] = map[string]int{}
		r.latencies[kind] = hdrhistogram.New(1, maxLatencyMicros, 3)
	}
	r.outcomes[kind][outcome(wish, got)]++
	_ = r.latencies[kind].RecordValue(min(maxLatencyMicros, max(1, wait.Microseconds())))
}

func outcome(wish client.Request, got oracle.Response) string {
	if !got.Complete && wish.Abandons {
		return "left"
	}
	if got.Status == 0 {
		return "no answer"
	}
	if !got.Complete {
		return "cut"
	}
	return fmt.Sprint(got.Status)
}

func (r *Report) addViolations(found []oracle.Violation) {
	r.Violations = append(r.Violations, found...)
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

// maxShown is how many broken rules are shown with their histories.
const maxShown = 5

// Print prints the report.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d of %d requests in %.1f s, %.0f a second; %d runs, %d refusals by runners, %d restarts, %d freezes and %d SIGHUPs of routers\n\n", r.options.Seed,
		r.Requests, r.options.Requests, r.Elapsed.Seconds(), float64(r.Requests)/max(r.Elapsed.Seconds(), 1e-9), r.Runs, r.Rejections, r.Restarts, r.Freezes, r.Hangups)
	r.printOutcomes(out)
	r.printFaults(out)
	if len(r.Violations) == 0 {
		fmt.Fprintln(out, "no rule broken")
		return
	}
	fmt.Fprintf(out, "RULES BROKEN: %d; again:\n  %s\n", len(r.Violations), r.options.CommandLine())
	for _, verdict := range r.Violations[:min(maxShown, len(r.Violations))] {
		fmt.Fprintf(out, "\n%s, attempt %s: %s\n", verdict.Rule, verdict.Attempt, verdict.Reason)
		for _, line := range verdict.History {
			fmt.Fprintf(out, "  %s\n", line)
		}
	}
}

func (r *Report) printOutcomes(out io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "kind\trequests\twaits ms p50\tp90\tp99\tp99.9\tmost\toutcomes")
	for _, kind := range []oracle.Kind{oracle.Safe, oracle.Unsafe, oracle.Stream, oracle.Resumable, oracle.Malformed} {
		waits := r.latencies[kind]
		if waits == nil {
			continue
		}
		fmt.Fprintf(table, "%s\t%d", kind, waits.TotalCount())
		for _, quantile := range []float64{50, 90, 99, 99.9, 100} {
			fmt.Fprintf(table, "\t%.1f", float64(waits.ValueAtQuantile(quantile))/1000)
		}
		fmt.Fprintf(table, "\t%s\n", formatOutcomes(r.outcomes[kind]))
	}
	_ = table.Flush()
	fmt.Fprintln(out)
}

func formatOutcomes(outcomes map[string]int) string {
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

func (r *Report) printFaults(out io.Writer) {
	if r.options.Faults.String() == "" {
		return
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, trouble := range runner.Faults {
		if rate := r.options.Faults[trouble.Name]; rate > 0 {
			fmt.Fprintf(table, "%s\t%g\t%d times\n", trouble.Name, rate, r.FaultCounts[trouble.Name])
		}
	}
	_ = table.Flush()
	fmt.Fprintln(out)
}
