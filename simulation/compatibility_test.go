package simulation

import (
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"onyxwell/base/random"
)

// oldDataDir holds what the controllers of site "three" had on their disks when
// the build before stored forms had names of their own (40dc010) stopped: the
// configuration of version 2, accepted as command 2, and zone-1 drained.
const oldDataDir = "testdata/data-dir-40dc010"

// restoreDisks puts the files of a folder on the disks of the controllers.
func restoreDisks(t *testing.T, cluster *Cluster, folder string) {
	t.Helper()
	for _, machine := range cluster.controllers() {
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
// newest command again, reject one that lost, and accept the next.
func TestOldDisks_areServedByThisBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(Options{Site: Sites["three"], Seed: 1})
		random.SetSource(cluster.jitter)
		defer random.SetSource(nil)
		restoreDisks(t, cluster, oldDataDir)
		for _, machine := range cluster.machines {
			machine.start(false)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			cluster.sleep(4 * time.Second)
			checkOldState(t, cluster)
		}()
		cluster.runUntil(60 * time.Second)
		select {
		case <-done:
		default:
			t.Error("the commands got no replies")
		}
		cluster.stopping = true
		cluster.stop()
		for _, text := range cluster.violations {
			t.Error(text)
		}
	})
}

// checkOldState checks what TestOldDisks promises.
func checkOldState(t *testing.T, cluster *Cluster) {
	readVersion := func(want int64) {
		t.Helper()
		if version, ok := cluster.readConfig(readTimeout); !ok || version != want {
			t.Errorf("the configuration has version %d (%v), not %d", version, ok, want)
		}
	}
	readVersion(2)
	cluster.lastCommandID = 1
	for _, step := range []struct {
		name    string
		command clientCommand
		want    outcome
	}{
		{"the newest command again", cluster.changeCommand(1, 2, false), accepted},
		{"another command on top of a version that is no longer current", cluster.changeCommand(1, 2, false), rejected},
		{"the evacuation again", cluster.zoneCommand("zone-1", true), accepted},
		{"the next command", cluster.changeCommand(2, 3, false), accepted},
		{"the end of the evacuation", cluster.zoneCommand("zone-1", false), accepted},
	} {
		if op, body := cluster.execute(step.command); op.outcome != step.want {
			t.Errorf("%s: %s, not %s: %s", step.name, outcomeNames[op.outcome], outcomeNames[step.want], body)
		}
	}
	readVersion(3)
}
