package experiment

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"onyxwell/emulator/client"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/runner"
)

// Report is what an experiment saw. Its exported fields are set once Run returns.
type Report struct {
	options Options
	// Requests is how many were sent, in Elapsed. Runs is how many of them runners ran,
	// Rejections how many they rejected; a retried one counts again.
	Requests   int
	Runs       int
	Rejections int
	// Restarts and Freezes are those of routers, Hangups the SIGHUPs that routers have
	// acted on.
	Restarts int
	Freezes  int
	Hangups  int
	Elapsed  time.Duration
	// FaultCounts is how often each fault was injected, by name.
	FaultCounts map[string]int
	// Violations are the violated rules.
	Violations []oracle.Violation

	mu        sync.Mutex // guards what follows, and Runs and Rejections during Run
	outcomes  map[oracle.Kind]map[string]int
	latencies map[oracle.Kind]*hdrhistogram.Histogram // in microseconds
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

const (
	// maxLatencyMicros is the highest recorded latency; longer ones count as it.
	maxLatencyMicros = 120_000_000
	// latencyDigits is to how many significant digits latencies are recorded.
	latencyDigits = 3
	// maxShown is how many violations are printed.
	maxShown = 5
)

func (r *Report) recordResponse(req client.Request, resp oracle.Response, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := req.Record.Kind
	if r.outcomes[kind] == nil {
		r.outcomes[kind] = map[string]int{}
		r.latencies[kind] = hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
	}
	r.outcomes[kind][outcome(req, resp)]++
	_ = r.latencies[kind].RecordValue(min(maxLatencyMicros, max(1, latency.Microseconds())))
}

// outcome returns the name of how a request ended.
func outcome(req client.Request, resp oracle.Response) string {
	if !resp.Complete && req.Abandons {
		return "left"
	}
	if resp.Status == 0 {
		return "no answer"
	}
	if !resp.Complete {
		return "cut"
	}
	return fmt.Sprint(resp.Status)
}

func (r *Report) addViolations(violations []oracle.Violation) {
	r.Violations = append(r.Violations, violations...)
}

// Outcomes returns how many requests ended in which way: with a complete response,
// by its status; "cut", with an incomplete one; "no answer", with none; "left",
// abandoned by the client.
func (r *Report) Outcomes() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	total := map[string]int{}
	for _, outcomes := range r.outcomes {
		for name, count := range outcomes {
			total[name] += count
		}
	}
	return total
}

// Print prints the report, with the history of the first few violations.
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
	for _, violation := range r.Violations[:min(maxShown, len(r.Violations))] {
		fmt.Fprintf(out, "\n%s, attempt %s: %s\n", violation.Rule, violation.Attempt, violation.Reason)
		for _, line := range violation.History {
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
		latencies := r.latencies[kind]
		if latencies == nil {
			continue
		}
		fmt.Fprintf(table, "%s\t%d", kind, latencies.TotalCount())
		for _, quantile := range []float64{50, 90, 99, 99.9, 100} {
			fmt.Fprintf(table, "\t%.1f", float64(latencies.ValueAtQuantile(quantile))/1000)
		}
		fmt.Fprintf(table, "\t%s\n", formatOutcomes(r.outcomes[kind]))
	}
	_ = table.Flush()
	fmt.Fprintln(out)
}

func formatOutcomes(outcomes map[string]int) string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		text += fmt.Sprintf("%s: %d  ", name, outcomes[name])
	}
	return text
}

func (r *Report) printFaults(out io.Writer) {
	if r.options.Faults.String() == "" {
		return
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, fault := range runner.Faults {
		if rate := r.options.Faults[fault.Name]; rate > 0 {
			fmt.Fprintf(table, "%s\t%g\t%d times\n", fault.Name, rate, r.FaultCounts[fault.Name])
		}
	}
	_ = table.Flush()
	fmt.Fprintln(out)
}
