package simulation

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"

	"onyxwell/base/clock"
	"onyxwell/base/random"
)

// oldDisks holds what the controllers of site "three" had on their disks when
// the build before stored forms had names of their own (40dc010) stopped: the
// configuration of version 2, taken as order 2, and zone-1 evacuated.
const oldDisks = "testdata/data-dir-40dc010"

// restoreDisks puts the files of a folder on the disks of the controllers.
func restoreDisks(t *testing.T, world *World, folder string) {
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
			machine.disk.Put(file.Name(), content)
		}
	}
}

// TestOldDisks_areServedByThisBuild starts controllers on disks that an older
// build wrote: they have its configuration under its version, acknowledge its
// newest order again, refuse one that lost, and take the next.
func TestOldDisks_areServedByThisBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(Options{Site: Sites["three"], Seed: 1})
		random.SetSource(world.chance)
		defer random.SetSource(nil)
		restoreDisks(t, world, oldDisks)
		for _, machine := range world.machines {
			machine.start(false)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			world.sleep(4 * clock.Second)
			checkOldDisks(t, world)
		}()
		world.until(60 * clock.Second)
		select {
		case <-done:
		default:
			t.Error("the orders got no answers")
		}
		world.ending = true
		for _, machine := range world.machines {
			machine.gone = true
			machine.die()
		}
		synctest.Wait()
		for world.step(world.now() + 120*clock.Second) {
		}
		for _, text := range world.broken {
			t.Error(text)
		}
	})
}

func checkOldDisks(t *testing.T, world *World) {
	readVersion := func(want int64) {
		t.Helper()
		if version, found := world.readSettings(8 * clock.Second); !found || version != want {
			t.Errorf("the configuration has version %d (%v), not %d", version, found, want)
		}
	}
	readVersion(2)
	world.numbered = 1
	orders := []struct {
		name string
		order
		want outcome
	}{
		{"the newest order again", world.put(1, 2, false), taken},
		{"another order on top of a version that is no longer current", world.put(1, 2, false), refused},
		{"the evacuation again", world.zone("zone-1", true), taken},
		{"the next order", world.put(2, 3, false), taken},
		{"the end of the evacuation", world.zone("zone-1", false), taken},
	}
	for _, sent := range orders {
		if did, body := world.give(sent.order); did.outcome != sent.want {
			t.Errorf("%s: %s, not %s: %s", sent.name, outcomeNames[did.outcome], outcomeNames[sent.want], body)
		}
	}
	readVersion(3)
}
