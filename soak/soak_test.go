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

// TestShortSoak is the short form of a soak: real processes for some seconds,
// with every kind of trouble drawn from, and runners that misbehave.
func TestShortSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "soak")
	if text, err := exec.Command("go", "build", "-o", program, "onyxwell/cmd/soak").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	options := Defaults()
	options.Length, options.Every, options.Program, options.Mix = 5*clock.Second, clock.Second, []string{program, "daemon"}, runner.AllFaults()
	options.Folder, options.Subnet = t.TempDir(), 180
	limited, release := context.WithTimeout(context.Background(), 90*clock.Second)
	defer release()
	report, err := Run(scope.New(scope.Options{}).WithContext(limited), options)
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Findings) > 0 || report.Served == 0 || report.Acknowledged == 0 || report.Reads == 0 || report.Starts <= 9 {
		var text strings.Builder
		report.Show(&text)
		t.Error(text.String())
	}
}

func TestOptionsThatDoNotFitAreNamed(t *testing.T) {
	options := Defaults()
	if err := options.Check(); err != nil {
		t.Fatal(err)
	}
	options.Clients, options.Rude, options.Kinds, options.Routers = 0, 2, []string{"flood"}, 30
	for _, want := range []string{"clients 0", "rude 2", `trouble "flood"`, "daemons"} {
		if err := options.Check(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not among %v", want, err)
		}
	}
}

// TestLedgerFindsPlantedViolations plants what no order of all acts explains.
func TestLedgerFindsPlantedViolations(t *testing.T) {
	acked := func(id string, base int64, version int64, done clock.Instant) *change {
		return &change{id: id, base: base, version: version, valid: true, status: 200, done: done}
	}
	invalid := acked("c", 2, 3, 30)
	invalid.valid = false
	refused := &change{id: "r", base: 1, version: 9, valid: true, status: 412, done: 25}
	cases := []struct {
		name    string
		changes []*change
		reads   []read
		promise string
	}{
		{"all is well", []*change{acked("a", 0, 1, 10), acked("b", 1, 2, 20), refused}, []read{{11, 12, 1, "a"}, {15, 30, 1, "a"}, {31, 32, 2, "b"}}, ""},
		{"two winners on one base", []*change{acked("a", 0, 1, 10), acked("b", 0, 2, 20)}, nil, "CONFIG"},
		{"two winners of one version", []*change{acked("a", 0, 2, 10), acked("b", 1, 2, 20)}, nil, "CONFIG"},
		{"an invalid change acknowledged", []*change{invalid}, nil, "CONFIG"},
		{"an invalid change in force", []*change{{id: "c", valid: false}}, []read{{1, 2, 3, "c"}}, "CONFIG"},
		{"another change under a version", []*change{acked("a", 0, 1, 10), acked("b", 0, 7, 1)}[:1], []read{{11, 12, 1, "first"}}, "CONFIG"},
		{"an old read after an acknowledgement", []*change{acked("a", 0, 1, 10), acked("b", 1, 2, 20)}, []read{{21, 22, 1, "a"}}, "STALE"},
		{"an old read after a newer one", []*change{acked("a", 0, 1, 10), {id: "b", base: 1, version: 2, valid: true}}, []read{{11, 12, 2, "b"}, {13, 14, 1, "a"}}, "STALE"},
	}
	for _, example := range cases {
		found := map[string]bool{}
		(&ledger{changes: example.changes, reads: example.reads}).judge(func(promise string, _ string, _ ...any) { found[promise] = true })
		if (example.promise == "") != (len(found) == 0) || (example.promise != "" && !found[example.promise]) {
			t.Errorf("%s: found %v", example.name, found)
		}
	}
}
