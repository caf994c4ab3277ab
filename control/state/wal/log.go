// Package wal implements a write-ahead log: an append-only file of records.
//
// Invariants:
//   - Save returns nil only after a sync has covered the record;
//   - one frame is written per sync, with a checksum over all its records, so a
//     crash tears at most the last frame, and Open truncates a torn tail;
//   - a file whose synced bytes are damaged is distinguished from a torn one,
//     quarantined, and read as empty;
//   - a file that has grown long is replaced atomically by a snapshot.
package wal

import (
	"errors"
	"fmt"
	"sync"
)

// Options configures a Log.
type Options struct {
	// FS is the directory that contains the log, Name the name of its file.
	FS   FS
	Name string
	// Snapshot returns records that represent the whole current state. It is
	// called when the file is compacted, and must cover every record that was
	// passed to Save by then, including those that are still queued.
	Snapshot func() [][]byte
	// MaxBytes bounds the length of the file; 0 means no limit. During a
	// compaction there are two files, and a quarantined one may be a third. A
	// snapshot that is longer is rejected, and the file is kept as it is.
	MaxBytes int64
	// MinCompactBytes is the length below which a file is not compacted; 0 means
	// 1 MiB.
	MinCompactBytes int64
}

const (
	defaultMinCompactBytes = 1 << 20
	queueLength            = 256
)

// Log is an open write-ahead log. A single goroutine writes; records that are
// queued at the same time share one sync. Save and Close are safe for concurrent
// use.
type Log struct {
	// Corruption is the damage that Open found in the file, or nil.
	Corruption *Corruption

	options   Options
	queue     chan pendingRecord
	done      chan struct{}
	closeOnce sync.Once

	// The fields below are used by the writer goroutine only. file is nil after
	// an error, until the file is reopened or replaced.
	file       File
	generation uint64
	frames     uint64
	length     int64
	compactAt  int64
	// nameAmbiguous means that, after a failed replacement, the name may refer to
	// either the old or the new file. Only another replacement resolves this.
	nameAmbiguous bool
}

type pendingRecord struct {
	record []byte
	result chan error
}

// Open reads the records of a log, truncates a torn tail and starts the writer.
// All records that it returns are durable. A corrupted file yields no records:
// see Log.Corruption. A file of another format version results in a
// *VersionError.
func Open(options Options) (*Log, [][]byte, error) {
	if options.MinCompactBytes == 0 {
		options.MinCompactBytes = defaultMinCompactBytes
	}
	l := &Log{options: options, queue: make(chan pendingRecord, queueLength), done: make(chan struct{})}
	records, err := l.load()
	if err != nil {
		return nil, nil, fmt.Errorf("wal: open %s: %w", options.Name, err)
	}
	go l.run()
	return l, records, nil
}

func (l *Log) load() ([][]byte, error) {
	fs, name := l.options.FS, l.options.Name
	content, err := fs.Read(name)
	if err != nil {
		return nil, err
	}
	parsed, err := parse(content)
	if err != nil {
		var versionErr *VersionError
		if errors.As(err, &versionErr) {
			versionErr.File = name
		}
		return nil, err
	}
	l.generation = parsed.generation
	if err = fs.Remove(tempName(name)); err != nil {
		return nil, err
	}
	if parsed.corruption != nil {
		if err = l.quarantine(parsed.corruption); err != nil {
			return nil, err
		}
		parsed = parsedFile{}
	}
	if parsed.length == 0 {
		return parsed.records, l.rewriteFile(parsed.records)
	}
	return parsed.records, l.resume(parsed)
}

// quarantine renames a damaged file, so that a new one can be created under the
// log's name.
func (l *Log) quarantine(corruption *Corruption) error {
	fs, name := l.options.FS, l.options.Name
	corruption.File, corruption.QuarantinedAs = name, quarantineName(name)
	l.Corruption = corruption
	if err := fs.Rename(name, quarantineName(name)); err != nil {
		return err
	}
	return fs.SyncDir()
}

// resume opens the file for appending after its intact frames.
func (l *Log) resume(parsed parsedFile) error {
	file, err := l.options.FS.Append(l.options.Name, parsed.length)
	if err != nil {
		return err
	}
	// The process that wrote the frames may have ended before it synced them.
	if err = file.Sync(); err == nil {
		err = l.options.FS.SyncDir()
	}
	if err != nil {
		_ = file.Close()
		return err
	}
	l.file, l.frames, l.length = file, parsed.frames, parsed.length
	l.compactAt = l.capped(l.options.MinCompactBytes)
	return nil
}

// Save appends a record and returns once a sync has covered it. After an error
// the record may or may not be in the log.
func (l *Log) Save(record []byte) error {
	if len(record) == 0 || len(record) > maxRecordBytes {
		return fmt.Errorf("%w: %d bytes", ErrRecordSize, len(record))
	}
	pending := pendingRecord{record: record, result: make(chan error, 1)}
	select {
	case l.queue <- pending:
	case <-l.done:
		return ErrClosed
	}
	select {
	case err := <-pending.result:
		return err
	case <-l.done:
		return ErrClosed
	}
}

// Close stops the writer; calls of Save in progress return ErrClosed. It does not
// wait for a write in progress, as a stalled disk must not block the process.
func (l *Log) Close() { l.closeOnce.Do(func() { close(l.done) }) }

// run is the writer goroutine.
func (l *Log) run() {
	defer l.closeFile()
	for {
		select {
		case <-l.done:
			return
		case first := <-l.queue:
			batch := l.nextBatch(first)
			err := l.writeBatch(batch)
			for _, pending := range batch {
				pending.result <- err
			}
		}
	}
}

// nextBatch adds queued records to the first one until the batch reaches
// maxBatchBytes.
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

// writeBatch makes a batch durable, either as a frame appended to the file or as
// part of the snapshot in a new file.
func (l *Log) writeBatch(batch []pendingRecord) error {
	records := make([][]byte, 0, len(batch))
	size := int64(frameHeaderSize)
	for _, pending := range batch {
		records = append(records, pending.record)
		size += lengthPrefixSize + int64(len(pending.record))
	}
	if l.file == nil || l.length+size > l.compactAt {
		compacted, err := l.compactOrReopen(size)
		if err != nil {
			return fmt.Errorf("wal: compact %s: %w", l.options.Name, err)
		}
		if compacted {
			return nil
		}
	}
	frame := encodeFrame(l.generation, l.frames+1, records)
	if err := writeAndSync(l.file, frame); err != nil {
		// The content after the last successful sync is unknown now, so this
		// handle is not used again.
		l.closeFile()
		return fmt.Errorf("wal: append to %s: %w", l.options.Name, err)
	}
	l.frames++
	l.length += int64(len(frame))
	return nil
}

func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
}
