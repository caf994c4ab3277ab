package soak

import (
	"testing"
)

// TestRolloutRecord_plantedViolations plants rollouts that break their guarantees.
func TestRolloutRecord_plantedViolations(t *testing.T) {
	cases := []struct {
		name   string
		record *rolloutRecord
		broken int
	}{
		{"good, finished", &rolloutRecord{conditions: []string{"serving", "finished"}, ranOld: 100, ranNew: 900}, 0},
		{"bad, reverted", &rolloutRecord{bad: true, conditions: []string{"serving", "reverted"}, ranOld: 900, ranNew: 100}, 0},
		{"bad, finished", &rolloutRecord{bad: true, conditions: []string{"serving", "finished"}, ranOld: 900, ranNew: 100}, 1},
		{"bad, exposed too much", &rolloutRecord{bad: true, conditions: []string{"reverted"}, ranOld: 800, ranNew: 200}, 1},
		{"two verdicts", &rolloutRecord{conditions: []string{"serving", "reverted", "finished"}}, 1},
		{"serving after a verdict", &rolloutRecord{conditions: []string{"serving", "finished", "serving"}}, 1},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if broken := test.record.broken(); len(broken) != test.broken {
				t.Errorf("%q", broken)
			}
		})
	}
}
