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
	if err := size.Check(8 << 20); err != nil {
		t.Fatal(err)
	}
	size.Routes, size.Runners = 0, 1<<20
	err := size.Check(8 << 20)
	if err == nil || !strings.Contains(err.Error(), "routes") || !strings.Contains(err.Error(), "runners") {
		t.Fatalf("%v", err)
	}
	size = small()
	size.Hollow = 700
	if err := size.Check(1 << 20); err == nil || !strings.Contains(err.Error(), "memory") {
		t.Fatalf("%v", err)
	}
}

func TestBootFilesAreGood(t *testing.T) {
	size := small()
	size.Regions, size.Zones = 3, 2
	layout := size.layout()
	for _, zone := range layout.AllZones() {
		for number := range 3 {
			if _, err := boot.Parse(layout.Settings(layout.Machine(zone, number), "/tmp", true, layout.Seeds())); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func TestFitsFindSlopes(t *testing.T) {
	var results []Result
	for _, runners := range []int{100, 200, 400} {
		results = append(results, Result{Size: Size{Runners: runners}, BytesOut: 50 + 3*float64(runners)})
	}
	fits, err := Fits("runners", results)
	if err != nil {
		t.Fatal(err)
	}
	for _, fit := range fits {
		if fit.Measure == "bytes out/s of a daemon" && (math.Abs(fit.Slope-3) > 1e-9 || math.Abs(fit.At-50) > 1e-6 || fit.Residual > 1e-6 || fit.Reckon(1000) < 3049) {
			t.Fatalf("%+v", fit)
		}
	}
	if _, err := Fits("runners", results[:2]); err == nil {
		t.Fatal("two points are enough for a line")
	}
	if _, err := Fits("moons", results); err == nil {
		t.Fatal("an unknown variable is fitted")
	}
}

// TestSmallEstate runs the whole thing once: a real controller and a real router
// beside two hollow daemons.
func TestSmallEstate(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs+string(filepath.Separator), "onyxwell/cmd/router", "onyxwell/cmd/fleet-controller")
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	result, err := Run(context.Background(), Options{Size: small(), Programs: programs, Say: func(text string) { t.Log(text) }})
	if err != nil {
		t.Fatal(err)
	}
	if result.Changes == 0 || result.Messages <= 0 || result.ControllerMB <= 0 || result.Daemons != 4 {
		t.Fatalf("%+v", result)
	}
	if _, err := Run(context.Background(), Options{Size: small(), Programs: t.TempDir()}); err == nil {
		t.Fatal("a run without programs succeeds")
	}
}
