package simulation

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"

	"onyxwell/base/clock"
	"onyxwell/base/random"
)

// oldDataDir holds what the controllers of site "three" had on their disks when
// the build before stored forms had names of their own (40dc010) stopped: the
// configuration of version 2, taken as order 2, and zone-1 evacuated.
const oldDataDir = "testdata/data-dir-40dc010"

// restoreDisks puts the files of a folder on the disks of the controllers.
func restoreDisks(t *testing.T, world *Cluster, folder string) {
	t.Helper()
	for _, machine := range world.controllers() {
		files, err := os.ReadDir(filepath.Join(folder, machine.name))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			content, err := os.ReadFile(filepath.Join(folder, machine.name, file.Name()))
			if err != nil {
				t.Fatal(err)
			}
			machine.disk.PutSynced(file.Name(), content)
		}
	}
}

// TestOldDisks_areServedByThisBuild starts controllers on disks that an older
// build wrote: they have its configuration under its version, acknowledge its
// newest order again, refuse one that lost, and take the next.
func TestOldDisks_areServedByThisBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newCluster(Options{Site: Sites["three"], Seed: 1})
		random.SetSource(world.jitter)
		defer random.SetSource(nil)
		restoreDisks(t, world, oldDataDir)
		for _, machine := range world.machines {
			machine.start(false)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			world.sleep(4 * clock.Second)
			checkOldState(t, world)
		}()
		world.runUntil(60 * clock.Second)
		select {
		case <-done:
		default:
			t.Error("the orders got no answers")
		}
		world.stopping = true
		for _, machine := range world.machines {
			machine.removed = true
			machine.kill()
		}
		synctest.Wait()
		for world.step(world.now() + 120*clock.Second) {
		}
		for _, text := range world.violations {
			t.Error(text)
		}
	})
}

func checkOldState(t *testing.T, world *Cluster) {
	readVersion := func(want int64) {
		t.Helper()
		if version, found := world.readConfig(8 * clock.Second); !found || version != want {
			t.Errorf("the configuration has version %d (%v), not %d", version, found, want)
		}
	}
	readVersion(2)
	world.lastCommandID = 1
	orders := []struct {
		name string
		clientCommand
		want outcome
	}{
		{"the newest order again", world.changeCommand(1, 2, false), accepted},
		{"another order on top of a version that is no longer current", world.changeCommand(1, 2, false), rejected},
		{"the evacuation again", world.zoneCommand("zone-1", true), accepted},
		{"the next order", world.changeCommand(2, 3, false), accepted},
		{"the end of the evacuation", world.zoneCommand("zone-1", false), accepted},
	}
	for _, sent := range orders {
		if did, body := world.execute(sent.clientCommand); did.outcome != sent.want {
			t.Errorf("%s: %s, not %s: %s", sent.name, outcomeNames[did.outcome], outcomeNames[sent.want], body)
		}
	}
	readVersion(3)
}
