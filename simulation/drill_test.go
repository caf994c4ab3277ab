package simulation

import (
	"strings"
	"testing"

	"onyxwell/base/clock"
)

// TestRun_drillMeasuresRecovery checks that a run of one kind of loss measures each of them.
func TestRun_drillMeasuresRecovery(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	options := Options{Site: Sites["three"], Seed: 3, Duration: 24 * clock.Second, Clients: 2, NoFaults: true, Drill: "wipe"}
	result := Run(t, options)
	for _, text := range result.Broken {
		t.Error(text)
	}
	bound := clock.Span(options.Site.Bounds.CatchUpS * float64(clock.Second))
	if len(result.Redundancy["wipe"]) < 2 || result.Counts["trouble wipe"] != len(result.Redundancy["wipe"]) {
		t.Errorf("%d losses, measured: %v", result.Counts["trouble wipe"], result.Redundancy)
	}
	for _, took := range result.Redundancy["wipe"] {
		if took <= 0 || took > bound {
			t.Errorf("whole after %s, catch_up_s is %s", took, bound)
		}
	}
	// Where no seat is ever filled again, the same run says so.
	options.bug = rejectVoterChanges()
	result = Run(t, options)
	if took := result.Redundancy["wipe"]; len(took) != 1 || took[0] < recoveryTimeout || len(result.Broken) == 0 || !strings.Contains(result.Broken[0], "after wipe still") {
		t.Errorf("no seat is filled, and yet: %v, %v", result.Redundancy, result.Broken)
	}
}

// TestDrillCatalogue_faultsExist checks that each kind of loss is one that there is.
func TestDrillCatalogue_faultsExist(t *testing.T) {
	for _, one := range drillCatalogue {
		for _, step := range one.steps {
			if _, found := faultCatalogue[step]; !found && step != "gone" {
				t.Errorf("%s: %s is not known", one.name, step)
			}
		}
	}
}
