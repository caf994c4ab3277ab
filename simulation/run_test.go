package simulation

import (
	"fmt"
	"testing"
	"time"
)

// TestRun_withoutFaults checks that a cluster without faults keeps all promises.
func TestRun_withoutFaults(t *testing.T) {
	result := Run(t, Options{Site: Sites["three"], Seed: 1, Duration: 20 * time.Second, Clients: 2, NoFaults: true})
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	t.Log(result.Counts, result.RecoveryTimes)
}

// TestRun_fixedSeeds plays some seeds of each point, which must find nothing.
func TestRun_fixedSeeds(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	for _, test := range []struct {
		site  string
		point int
		seed  uint64
	}{{"three", 1, 11}, {"three", 2, 12}, {"three", 3, 13}, {"three", 4, 14}, {"five", 3, 15}, {"five", 4, 16}, {"six", 1, 17}, {"six", 2, 18}} {
		t.Run(fmt.Sprintf("%s_point%d_seed%d", test.site, test.point, test.seed), func(t *testing.T) {
			result := Run(t, Options{Site: Sites[test.site], Seed: test.seed, Point: test.point, Duration: 16 * time.Second, Clients: 2})
			for _, violation := range result.Violations {
				t.Error(violation)
			}
			t.Log(result.Counts, result.RecoveryTimes)
		})
	}
}

// TestRun_allFaultsInProcess plays a short run with all kinds of faults in this
// very process, so that the race detector sees it where there is one.
func TestRun_allFaultsInProcess(t *testing.T) {
	result := Run(t, Options{Site: Sites["three"], Seed: 21, Duration: 10 * time.Second, Clients: 1})
	for _, violation := range result.Violations {
		t.Error(violation)
	}
}
