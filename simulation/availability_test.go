package simulation

import (
	"testing"

	"onyxwell/base/clock"
)

// TestRun_measuresAvailability checks that a run measures what is taken, and how long nothing is
// after each loss of the owner.
func TestRun_measuresAvailability(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	for _, strike := range OwnerFaults() {
		options := Options{Site: Sites["three"], Seed: 1, Duration: 30 * clock.Second, Clients: 2, NoFaults: true, OwnerFault: strike}
		result := Run(t, options)
		for _, text := range result.Broken {
			t.Errorf("%s: %s", strike, text)
		}
		measured := result.Service
		if measured.Changes == 0 || len(measured.Acks) < measured.Changes || measured.Span < 21*clock.Second || measured.Span > 22*clock.Second {
			t.Errorf("%s: %d changes and %d acknowledgements in %s", strike, measured.Changes, len(measured.Acks), measured.Span)
		}
		if len(measured.Silences) != result.Counts["owners lost"] || (strike == "quiet") != (len(measured.Silences) == 0) {
			t.Errorf("%s: %d losses, measured: %v", strike, result.Counts["owners lost"], measured.Silences)
		}
		for _, silence := range measured.Silences {
			if silence <= 0 || silence > 20*clock.Second {
				t.Errorf("%s: nobody served for %s", strike, silence)
			}
		}
	}
}
