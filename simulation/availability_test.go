package simulation

import (
	"testing"
	"time"
)

// TestRun_measuresAvailability checks that a run measures what is accepted, and
// how long nothing is after each loss of the owner.
func TestRun_measuresAvailability(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	for _, ownerFault := range OwnerFaults() {
		t.Run(ownerFault, func(t *testing.T) {
			result := Run(t, Options{Site: Sites["three"], Seed: 1, Duration: 30 * time.Second, Clients: 2, NoFaults: true, OwnerFault: ownerFault})
			for _, violation := range result.Violations {
				t.Error(violation)
			}
			measured := result.Availability
			if measured.Changes == 0 || len(measured.AckLatencies) < measured.Changes || measured.Duration < 21*time.Second || measured.Duration > 22*time.Second {
				t.Errorf("%d changes and %d acknowledgements in %s", measured.Changes, len(measured.AckLatencies), measured.Duration)
			}
			if len(measured.Silences) != result.Counts["owners lost"] || (ownerFault == "quiet") != (len(measured.Silences) == 0) {
				t.Errorf("%d losses, measured: %v", result.Counts["owners lost"], measured.Silences)
			}
			for _, silence := range measured.Silences {
				if silence <= 0 || silence > 20*time.Second {
					t.Errorf("no acknowledgement for %s", silence)
				}
			}
		})
	}
}
