package register

import (
	"errors"
)

// fakeDisk simulates a Store: records that were saved survive everything except
// the loss of the disk. The record of a failed save may or may not be stored; the
// next successful save writes the whole state, as the write-ahead log does.
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
		return errors.New("simulation: the save failed")
	}
	f.records = append(f.records, record)
	if f.dirty {
		f.records, f.dirty = f.snapshot(), false
	}
	return nil
}

// diskSession is the Store of one process on a disk. During a save other events
// may happen, including a crash of the process; the record is lost then.
type diskSession struct {
	disk       *fakeDisk
	cluster    *cluster
	generation int
	// running means that the process has finished starting.
	running bool
}

func (d *diskSession) Save(record []byte) error {
	if d.running && d.cluster.eventDepth < 2 && d.cluster.oneIn(10) {
		d.cluster.eventDepth++
		d.cluster.randomEvent()
		d.cluster.eventDepth--
	}
	if d.generation != d.disk.generation {
		return errors.New("simulation: the process ended before the sync")
	}
	return d.disk.Save(record)
}
