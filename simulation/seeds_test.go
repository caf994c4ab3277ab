package simulation

import (
	"testing"

	"onyxwell/base/clock"
)

// TestRun_fixedSeeds plays some seeds of each point, which must find nothing.
func TestRun_fixedSeeds(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	for _, one := range []struct {
		site  string
		point int
		seed  uint64
	}{{"three", 1, 11}, {"three", 2, 12}, {"three", 3, 13}, {"three", 4, 14}, {"five", 3, 15}, {"five", 4, 16}, {"six", 1, 17}, {"six", 2, 18}} {
		result := Run(t, Options{Site: Sites[one.site], Seed: one.seed, Point: one.point, Duration: 16 * clock.Second, Clients: 2})
		for _, text := range result.Broken {
			t.Errorf("%s, point %d, seed %d: %s", one.site, one.point, one.seed, text)
		}
	}
}

// TestRun_allFaultsInProcess plays one short run with all that can go wrong in
// this very process, so that the race detector sees it where there is one.
func TestRun_allFaultsInProcess(t *testing.T) {
	result := Run(t, Options{Site: Sites["three"], Seed: 21, Duration: 10 * clock.Second, Clients: 1})
	for _, text := range result.Broken {
		t.Error(text)
	}
}
