package simulation

import (
	"strings"
	"testing"
	"time"
)

// TestRun_drillMeasuresRecovery checks that a drill measures each loss, and that
// it reports a cluster that never recovers.
func TestRun_drillMeasuresRecovery(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	options := Options{Site: Sites["three"], Seed: 3, Duration: 24 * time.Second, Clients: 2, NoFaults: true, Drill: "wipe"}
	result := Run(t, options)
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	limit := time.Duration(options.Site.Bounds.CatchUpS * float64(time.Second))
	if len(result.RedundancyTimes["wipe"]) < 2 || result.Counts["trouble wipe"] != len(result.RedundancyTimes["wipe"]) {
		t.Errorf("%d losses, measured: %v", result.Counts["trouble wipe"], result.RedundancyTimes)
	}
	for _, took := range result.RedundancyTimes["wipe"] {
		if took <= 0 || took > limit {
			t.Errorf("fully replicated after %s, catch_up_s is %s", took, limit)
		}
	}

	options.bug = rejectVoterChanges()
	result = Run(t, options)
	if took := result.RedundancyTimes["wipe"]; len(took) != 1 || took[0] < recoveryTimeout || len(result.Violations) == 0 || !strings.Contains(result.Violations[0], "after wipe still") {
		t.Errorf("no voter is ever replaced, and yet: %v, %v", result.RedundancyTimes, result.Violations)
	}
}

// TestDrillCatalogue_faultsExist checks that each step is a fault of the
// catalogue.
func TestDrillCatalogue_faultsExist(t *testing.T) {
	for _, drill := range drillCatalogue {
		for _, step := range drill.steps {
			if _, ok := faultCatalogue[step]; !ok && step != stepRemove {
				t.Errorf("%s: there is no fault %s", drill.name, step)
			}
		}
	}
}
