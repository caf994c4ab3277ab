package simulation

import (
	"testing"

	"onyxwell/base/clock"
)

func TestRun_withoutFaults(t *testing.T) {
	result := Run(t, Options{Site: Sites["three"], Seed: 1, Duration: 20 * clock.Second, Clients: 2, NoFaults: true})
	for _, text := range result.Broken {
		t.Error(text)
	}
	t.Log(result.Counts, result.Whole)
}
