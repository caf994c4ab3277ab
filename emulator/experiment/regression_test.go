package experiment

import (
	"fmt"
	"testing"
	"time"

	"onyxwell/emulator/runner"
)

// Regression tests of faults that experiments found in the router.

// A body with neither length nor chunks ends with its connection: it is incomplete
// where that is reset, and complete where it is closed.
func TestRun_bodyEndedByReset(t *testing.T) {
	t.Parallel()
	faults := runner.FaultRates{runner.NoLength: 0.2, runner.NoLengthCut: 0.1, runner.CloseBody: 0.1, runner.SilenceBody: 0.01}
	if report := runExperiment(t, smallOptions(1, faults)); len(report.Violations) > 0 || report.FaultCounts[runner.NoLength] < 20 {
		t.Fatal(reportText(report))
	}
}

// All requests have to be served but those of strangers, of which a 401 is the answer,
// so it runs beside no other test.
func TestRun_bodyEndedByClose(t *testing.T) {
	options := smallOptions(1, runner.FaultRates{runner.NoLength: 0.5})
	options.ClientTimeout = 200 * time.Second
	report := runExperiment(t, options)
	if got := report.Outcomes(); len(report.Violations) > 0 || got["200"]+got["left"]+got["401"] != 400 || got["401"] == 0 || report.FaultCounts[runner.NoLength] < 100 {
		t.Fatal(reportText(report))
	}
}

func TestRun_badChunkFraming(t *testing.T) {
	t.Parallel()
	if report := runExperiment(t, smallOptions(1, runner.FaultRates{runner.LongChunk: 0.1})); len(report.Violations) > 0 {
		t.Fatal(reportText(report))
	}
}

// All runners are suspected, so that requests are queued when their time-out ends.
func TestRun_timeoutWhileQueued(t *testing.T) {
	t.Parallel()
	options := smallOptions(1, runner.FaultRates{runner.ResetUnanswered: 1, runner.LyingHealth: 1})
	options.Runners, options.ClientTimeout, options.ClearSuspicionInterval = 2, 90*time.Millisecond, 0
	if report := runExperiment(t, options); len(report.Violations) > 0 {
		t.Fatal(reportText(report))
	}
}

func TestRun_allFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report := runExperiment(t, smallOptions(seed, runner.AllFaults()))
			if len(report.Violations) > 0 || report.Requests != 400 || report.Runs < 250 || report.Outcomes()["200"] < 200 {
				t.Fatal(reportText(report))
			}
		})
	}
}

// An incarnation that has ended stays listed beside the next one at its address, so
// an attempt goes there twice. A copy of the first response precedes the second.
func TestRun_addressTriedTwice(t *testing.T) {
	t.Parallel()
	options := smallOptions(1, runner.FaultRates{runner.Takeover: 0.1, runner.ExtraLateSame: 0.5, runner.Refusal: 0.1})
	options.Requests = 2000
	if report := runExperiment(t, options); len(report.Violations) > 0 {
		t.Fatal(reportText(report))
	}
}

// Like the test above, with the first response marked as another attempt's, and late
// responses to the attempt on other connections, of which a takeover leaves half
// open.
func TestRun_lateResponsesOnOtherConnections(t *testing.T) {
	t.Parallel()
	options := smallOptions(1, runner.FaultRates{runner.Takeover: 0.2, runner.OtherAttempt: 0.3, runner.ExtraLate: 0.7, runner.ExtraIdle: 0.2})
	options.Requests, options.RoundSize, options.Runners = 1200, 300, 4
	if report := runExperiment(t, options); len(report.Violations) > 0 || report.Rejections < 1000 {
		t.Fatal(reportText(report))
	}
}

// TestRun_idsRiseByAnyStep guards against a router that cuts streams whose ids rise by more
// than one: without faults, every request but those of strangers is served.
func TestRun_idsRiseByAnyStep(t *testing.T) {
	t.Parallel()
	options := smallOptions(3, runner.FaultRates{})
	options.ClientTimeout = 200 * time.Second
	report := runExperiment(t, options)
	if got := report.Outcomes(); len(report.Violations) > 0 || got["200"]+got["left"]+got["401"] != 400 {
		t.Fatal(reportText(report))
	}
}
