package scale

import (
	"context"
	"math"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"onyxwell/base/boot"
	"onyxwell/base/clock"
)

func small() Size {
	return Size{Regions: 1, Zones: 1, Hollow: 2, Routers: 1, Runners: 4, Routes: 3, ChangesPerS: 2, Warm: 6 * clock.Second, Span: 2 * clock.Second}
}

func TestSizesThatDoNotFitAreNamed(t *testing.T) {
	size := small()
	if fault := size.Check(8 << 20); fault != nil {
		t.Fatal(fault)
	}
	size.Routes, size.Runners = 0, 1<<20
	fault := size.Check(8 << 20)
	if fault == nil || !strings.Contains(fault.Error(), "routes") || !strings.Contains(fault.Error(), "runners") {
		t.Fatalf("%v", fault)
	}
	size = small()
	size.Hollow = 700
	if fault := size.Check(1 << 20); fault == nil || !strings.Contains(fault.Error(), "memory") {
		t.Fatalf("%v", fault)
	}
}

func TestBootFilesAreGood(t *testing.T) {
	size := small()
	size.Regions, size.Zones = 3, 2
	layout := size.layout()
	for _, zone := range layout.AllZones() {
		for number := range 3 {
			if _, fault := boot.Parse(layout.Settings(layout.Machine(zone, number), "/tmp", true, layout.Seeds())); fault != nil {
				t.Fatal(fault)
			}
		}
	}
}

func TestFitsFindSlopes(t *testing.T) {
	var results []Result
	for _, runners := range []int{100, 200, 400} {
		results = append(results, Result{Size: Size{Runners: runners}, BytesOut: 50 + 3*float64(runners)})
	}
	fits, fault := Fits("runners", results)
	if fault != nil {
		t.Fatal(fault)
	}
	for _, fit := range fits {
		if fit.Measure == "bytes out/s of a daemon" && (math.Abs(fit.Slope-3) > 1e-9 || math.Abs(fit.At-50) > 1e-6 || fit.Residual > 1e-6 || fit.Reckon(1000) < 3049) {
			t.Fatalf("%+v", fit)
		}
	}
	if _, fault := Fits("runners", results[:2]); fault == nil {
		t.Fatal("two points are enough for a line")
	}
	if _, fault := Fits("moons", results); fault == nil {
		t.Fatal("an unknown variable is fitted")
	}
}

// TestSmallEstate runs the whole thing once: a real controller and a real router
// beside two hollow daemons.
func TestSmallEstate(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs+string(filepath.Separator), "onyxwell/cmd/router", "onyxwell/cmd/fleet-controller")
	if text, fault := build.CombinedOutput(); fault != nil {
		t.Fatalf("%v: %s", fault, text)
	}
	result, fault := Run(context.Background(), Options{Size: small(), Programs: programs, Say: func(text string) { t.Log(text) }})
	if fault != nil {
		t.Fatal(fault)
	}
	if result.Changes == 0 || result.Messages <= 0 || result.ControllerMB <= 0 || result.Daemons != 4 {
		t.Fatalf("%+v", result)
	}
	if _, fault := Run(context.Background(), Options{Size: small(), Programs: t.TempDir()}); fault == nil {
		t.Fatal("a run without programs succeeds")
	}
}
