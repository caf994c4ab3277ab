package register

import (
	"errors"
)

// fakeDisk is a simulated Store: what was synced survives everything but a
// wipe. A failing save may or may not reach it; the save after a failed one
// writes the whole state, as the write-ahead log does.
type fakeDisk struct {
	records    [][]byte
	failing    bool
	dirty      bool
	generation int
	snapshot   func() [][]byte
	oneIn      func(n int) bool
}

func (f *fakeDisk) Save(record []byte) error {
	if f.failing {
		f.dirty = true
		if f.oneIn(2) {
			f.records = append(f.records, record)
		}
		return errors.New("model: the save failed")
	}
	f.records = append(f.records, record)
	if f.dirty {
		f.records, f.dirty = f.snapshot(), false
	}
	return nil
}

// diskSession is a disk as one process sees it. During a save other events
// may happen, a crash of the process among them; what was not synced by then
// is lost.
type diskSession struct {
	disk       *fakeDisk
	cluster    *cluster
	generation int
	// running means that the process is past its start.
	running bool
}

func (d *diskSession) Save(record []byte) error {
	if d.running && d.cluster.eventDepth < 2 && d.cluster.oneIn(10) {
		d.cluster.eventDepth++
		d.cluster.randomEvent()
		d.cluster.eventDepth--
	}
	if d.generation != d.disk.generation {
		return errors.New("model: the process ended before the sync")
	}
	return d.disk.Save(record)
}
