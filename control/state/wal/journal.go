// Package wal keeps records in an append-only file: records that wait
// together share a frame with a checksum and a sync, a torn tail is cut, damage
// is told from it and set aside, a long file is written anew, and a record
// counts only once a sync has covered it.
package wal

import (
	"errors"
	"fmt"
	"sync"
)

// Faults of a journal.
var (
	// ErrClosed is told to records that came after the end.
	ErrClosed = errors.New("journal: closed")
	// ErrLength is told to a record that is empty or longer than 32 MiB.
	ErrLength = errors.New("journal: no record may have this length")
	// ErrRoom is told to records that would take more than Options.Limit.
	ErrRoom = errors.New("journal: no room")
)

// Options are what a journal is opened with.
type Options struct {
	Disk Disk
	Name string
	// Whole gives records that stand for the whole present state; it is asked
	// when the file is written anew, and must stand for every record that was
	// handed to Save by then, also for those that wait.
	Whole func() [][]byte
	// Limit is how many bytes the file may have; 0 is no limit. While it is
	// written anew there are two, and one that was set aside may be a third. A
	// state that is longer is refused, and the last that was not stays.
	Limit int64
	// Shortest is how many bytes a file may grow to before it is written anew,
	// whatever the length of what it stands for; 0 is 1 MiB.
	Shortest int64
}

// Journal is an open journal. One thread writes; records that wait together
// share one sync.
type Journal struct {
	// Damage is what Open found wrong with the file; nil if nothing. The file
	// was set aside, and the disk counts as blank.
	Damage *Damage

	options Options
	inbox   chan entry
	done    chan struct{}
	once    sync.Once

	file       File
	generation uint64
	frames     uint64
	length     int64
	rewrite    int64
	// adrift says that the name may stand for the old file or the new one: only
	// a file written anew settles that.
	adrift bool
}

type entry struct {
	record []byte
	told   chan error
}

// Open reads the records of a journal, cuts a torn tail and starts writing
// after it. A damaged file gives no records: see Journal.Damage. One of another
// version is ErrVersion. All that it read lasts when it returns.
func Open(options Options) (*Journal, [][]byte, error) {
	if options.Shortest == 0 {
		options.Shortest = 1 << 20
	}
	opened := &Journal{options: options, inbox: make(chan entry, 256), done: make(chan struct{})}
	records, err := opened.begin()
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	go opened.run()
	return opened, records, nil
}

func (j *Journal) begin() ([][]byte, error) {
	disk, name := j.options.Disk, j.options.Name
	content, err := disk.Read(name)
	if err != nil {
		return nil, err
	}
	found, err := parse(content)
	if err != nil {
		return nil, err
	}
	j.generation = found.generation
	if err = disk.Remove(newName(name)); err != nil {
		return nil, err
	}
	if found.damage != nil {
		found.damage.File, found.damage.Aside = name, asideName(name)
		j.Damage = found.damage
		if err = disk.Rename(name, asideName(name)); err == nil {
			err = disk.SyncFolder()
		}
		if err != nil {
			return nil, err
		}
		found = reading{}
	}
	if found.length == 0 {
		return found.records, j.fill(found.records)
	}
	file, err := disk.Append(name, found.length)
	if err != nil {
		return nil, err
	}
	// What a process before this one wrote need not have been synced yet.
	if err = file.Sync(); err == nil {
		err = disk.SyncFolder()
	}
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	j.file, j.frames, j.length = file, found.frames, found.length
	j.rewrite = j.bounded(j.options.Shortest)
	return found.records, nil
}

// Save writes a record and returns once a sync has covered it. After an error
// the record may or may not be there.
func (j *Journal) Save(record []byte) error {
	if len(record) == 0 || len(record) > recordLimit {
		return fmt.Errorf("%w: %d bytes", ErrLength, len(record))
	}
	waiting := entry{record: record, told: make(chan error, 1)}
	select {
	case j.inbox <- waiting:
	case <-j.done:
		return ErrClosed
	}
	select {
	case err := <-waiting.told:
		return err
	case <-j.done:
		return ErrClosed
	}
}

// Close ends the journal; records that wait are refused.
func (j *Journal) Close() { j.once.Do(func() { close(j.done) }) }

func (j *Journal) run() {
	for {
		select {
		case <-j.done:
			j.drop()
			return
		case first := <-j.inbox:
			batch := j.gather(first)
			err := j.write(batch)
			for _, waiting := range batch {
				waiting.told <- err
			}
		}
	}
}

func (j *Journal) gather(first entry) []entry {
	batch, size := []entry{first}, sizeLength+len(first.record)
	for size < batchLimit {
		select {
		case next := <-j.inbox:
			batch, size = append(batch, next), size+sizeLength+len(next.record)
		default:
			return batch
		}
	}
	return batch
}
