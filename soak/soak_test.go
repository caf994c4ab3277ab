package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/emulator/runner"
)

// TestRun_shortWithAllFaults is the short form of a soak: real processes for some seconds,
// with every kind of trouble drawn from, and runners that misbehave.
func TestRun_shortWithAllFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "soak")
	if text, err := exec.Command("go", "build", "-o", program, "onyxwell/cmd/soak").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	options := DefaultOptions()
	options.Duration, options.BurstInterval, options.DaemonCommand, options.RunnerFaults = 5*clock.Second, clock.Second, []string{program, "daemon"}, runner.AllFaults()
	options.Dir, options.Subnet = t.TempDir(), 180
	limited, release := context.WithTimeout(context.Background(), 90*clock.Second)
	defer release()
	report, err := Run(scope.New(scope.Options{}).WithContext(limited), options)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Findings) > 0 || report.Served == 0 || report.Acknowledged == 0 || report.Reads == 0 || report.ProcessStarts <= 9 {
		var text strings.Builder
		report.Print(&text)
		t.Error(text.String())
	}
}

func TestOptions_invalidValuesNamed(t *testing.T) {
	options := DefaultOptions()
	if err := options.Validate(); err != nil {
		t.Fatal(err)
	}
	options.Clients, options.MalformedRate, options.Faults, options.Routers = 0, 2, []string{"flood"}, 30
	for _, want := range []string{"clients 0", "rude 2", `trouble "flood"`, "daemons"} {
		if err := options.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not among %v", want, err)
		}
	}
}

// TestConfigHistory_plantedViolations plants what no order of all acts explains.
func TestConfigHistory_plantedViolations(t *testing.T) {
	acked := func(id string, base int64, version int64, done clock.Instant) *configChange {
		return &configChange{id: id, baseVersion: base, version: version, valid: true, status: 200, answeredAt: done}
	}
	invalid := acked("c", 2, 3, 30)
	invalid.valid = false
	refused := &configChange{id: "r", baseVersion: 1, version: 9, valid: true, status: 412, answeredAt: 25}
	cases := []struct {
		name    string
		changes []*configChange
		reads   []configRead
		promise string
	}{
		{"all is well", []*configChange{acked("a", 0, 1, 10), acked("b", 1, 2, 20), refused}, []configRead{{11, 12, 1, "a"}, {15, 30, 1, "a"}, {31, 32, 2, "b"}}, ""},
		{"two winners on one base", []*configChange{acked("a", 0, 1, 10), acked("b", 0, 2, 20)}, nil, "CONFIG"},
		{"two winners of one version", []*configChange{acked("a", 0, 2, 10), acked("b", 1, 2, 20)}, nil, "CONFIG"},
		{"an invalid change acknowledged", []*configChange{invalid}, nil, "CONFIG"},
		{"an invalid change in force", []*configChange{{id: "c", valid: false}}, []configRead{{1, 2, 3, "c"}}, "CONFIG"},
		{"another change under a version", []*configChange{acked("a", 0, 1, 10), acked("b", 0, 7, 1)}[:1], []configRead{{11, 12, 1, "first"}}, "CONFIG"},
		{"an old read after an acknowledgement", []*configChange{acked("a", 0, 1, 10), acked("b", 1, 2, 20)}, []configRead{{21, 22, 1, "a"}}, "STALE"},
		{"an old read after a newer one", []*configChange{acked("a", 0, 1, 10), {id: "b", baseVersion: 1, version: 2, valid: true}}, []configRead{{11, 12, 2, "b"}, {13, 14, 1, "a"}}, "STALE"},
	}
	for _, example := range cases {
		found := map[string]bool{}
		(&configHistory{changes: example.changes, reads: example.reads}).check(func(promise string, _ string, _ ...any) { found[promise] = true })
		if (example.promise == "") != (len(found) == 0) || (example.promise != "" && !found[example.promise]) {
			t.Errorf("%s: found %v", example.name, found)
		}
	}
}
