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
	// ErrRecordSize is told to a record that is empty or longer than 32 MiB.
	ErrRecordSize = errors.New("journal: no record may have this length")
	// ErrNoSpace is told to records that would take more than Options.Limit.
	ErrNoSpace = errors.New("journal: no room")
)

// Options are what a journal is opened with.
type Options struct {
	FS   FS
	Name string
	// Snapshot gives records that stand for the whole present state; it is asked
	// when the file is written anew, and must stand for every record that was
	// handed to Save by then, also for those that wait.
	Snapshot func() [][]byte
	// MaxBytes is how many bytes the file may have; 0 is no limit. While it is
	// written anew there are two, and one that was set aside may be a third. A
	// state that is longer is refused, and the last that was not stays.
	MaxBytes int64
	// MinCompactBytes is how many bytes a file may grow to before it is written anew,
	// whatever the length of what it stands for; 0 is 1 MiB.
	MinCompactBytes int64
}

// Log is an open journal. One thread writes; records that wait together
// share one sync.
type Log struct {
	// Corruption is what Open found wrong with the file; nil if nothing. The file
	// was set aside, and the disk counts as blank.
	Corruption *Corruption

	options   Options
	queue     chan pendingRecord
	done      chan struct{}
	closeOnce sync.Once

	file       File
	generation uint64
	frames     uint64
	length     int64
	compactAt  int64
	// nameAmbiguous says that the name may stand for the old file or the new one: only
	// a file written anew settles that.
	nameAmbiguous bool
}

type pendingRecord struct {
	record []byte
	result chan error
}

// Open reads the records of a journal, cuts a torn tail and starts writing
// after it. A damaged file gives no records: see Journal.Damage. One of another
// version is ErrUnsupportedVersion. All that it read lasts when it returns.
func Open(options Options) (*Log, [][]byte, error) {
	if options.MinCompactBytes == 0 {
		options.MinCompactBytes = 1 << 20
	}
	opened := &Log{options: options, queue: make(chan pendingRecord, 256), done: make(chan struct{})}
	records, err := opened.load()
	if err != nil {
		return nil, nil, fmt.Errorf("journal: %w", err)
	}
	go opened.run()
	return opened, records, nil
}

func (l *Log) load() ([][]byte, error) {
	disk, name := l.options.FS, l.options.Name
	content, err := disk.Read(name)
	if err != nil {
		return nil, err
	}
	found, err := parse(content)
	if err != nil {
		return nil, err
	}
	l.generation = found.generation
	if err = disk.Remove(tempName(name)); err != nil {
		return nil, err
	}
	if found.corruption != nil {
		found.corruption.File, found.corruption.QuarantinedAs = name, quarantineName(name)
		l.Corruption = found.corruption
		if err = disk.Rename(name, quarantineName(name)); err == nil {
			err = disk.SyncFolder()
		}
		if err != nil {
			return nil, err
		}
		found = fileContents{}
	}
	if found.length == 0 {
		return found.records, l.rewriteFile(found.records)
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
	l.file, l.frames, l.length = file, found.frames, found.length
	l.compactAt = l.capped(l.options.MinCompactBytes)
	return found.records, nil
}

// Save writes a record and returns once a sync has covered it. After an error
// the record may or may not be there.
func (l *Log) Save(record []byte) error {
	if len(record) == 0 || len(record) > maxRecordBytes {
		return fmt.Errorf("%w: %d bytes", ErrRecordSize, len(record))
	}
	waiting := pendingRecord{record: record, result: make(chan error, 1)}
	select {
	case l.queue <- waiting:
	case <-l.done:
		return ErrClosed
	}
	select {
	case err := <-waiting.result:
		return err
	case <-l.done:
		return ErrClosed
	}
}

// Close ends the journal; records that wait are refused.
func (l *Log) Close() { l.closeOnce.Do(func() { close(l.done) }) }

func (l *Log) run() {
	for {
		select {
		case <-l.done:
			l.closeFile()
			return
		case first := <-l.queue:
			batch := l.nextBatch(first)
			err := l.writeBatch(batch)
			for _, waiting := range batch {
				waiting.result <- err
			}
		}
	}
}

func (l *Log) nextBatch(first pendingRecord) []pendingRecord {
	batch, size := []pendingRecord{first}, lengthPrefixSize+len(first.record)
	for size < maxBatchBytes {
		select {
		case next := <-l.queue:
			batch, size = append(batch, next), size+lengthPrefixSize+len(next.record)
		default:
			return batch
		}
	}
	return batch
}
