package simdisk

import (
	"bytes"
	"fmt"

	"onyxwell/control/state/wal"
)

// mount is the disk as one process sees it.
type mount struct {
	disk       *Disk
	generation int64
}

// Read gives a whole file; a missing one is empty.
func (m *mount) Read(name string) ([]byte, error) {
	if _, err := m.disk.begin(m.generation, OpRead, int(m.disk.Size(name))); err != nil {
		return nil, err
	}
	defer m.disk.mu.Unlock()
	if found := m.disk.files[name]; found != nil {
		return bytes.Clone(found.current), nil
	}
	return nil, nil
}

// Create opens an empty file.
func (m *mount) Create(name string) (wal.File, error) {
	disk := m.disk
	if _, err := disk.begin(m.generation, OpCreate, 0); err != nil {
		return nil, err
	}
	defer disk.mu.Unlock()
	found := disk.files[name]
	if found == nil {
		found = &fileContent{}
		disk.changeName(nameChange{name: name, content: found})
	} else {
		found.apply(change{truncate: true})
	}
	return &file{mount: m, content: found}, nil
}

// Append opens a file and cuts it to the length.
func (m *mount) Append(name string, length int64) (wal.File, error) {
	disk := m.disk
	if _, err := disk.begin(m.generation, OpAppend, 0); err != nil {
		return nil, err
	}
	defer disk.mu.Unlock()
	found := disk.files[name]
	if found == nil {
		return nil, fmt.Errorf("%w: %s", ErrNotExist, name)
	}
	if int64(len(found.current)) != length {
		found.apply(change{truncate: true, offset: length})
	}
	return &file{mount: m, content: found, offset: length}, nil
}

// Rename gives a file another name.
func (m *mount) Rename(from string, to string) error {
	disk := m.disk
	if _, err := disk.begin(m.generation, OpRename, 0); err != nil {
		return err
	}
	defer disk.mu.Unlock()
	found := disk.files[from]
	if found == nil {
		return fmt.Errorf("%w: %s", ErrNotExist, from)
	}
	disk.changeName(nameChange{name: to, content: found})
	disk.changeName(nameChange{name: from})
	return nil
}

// Remove takes a file away; a missing one is no fault.
func (m *mount) Remove(name string) error {
	disk := m.disk
	if _, err := disk.begin(m.generation, OpRemove, 0); err != nil {
		return err
	}
	defer disk.mu.Unlock()
	if disk.files[name] != nil {
		disk.changeName(nameChange{name: name})
	}
	return nil
}

// SyncDir makes all names last.
func (m *mount) SyncDir() error {
	disk := m.disk
	if _, err := disk.begin(m.generation, OpSyncFolder, 0); err != nil {
		return err
	}
	defer disk.mu.Unlock()
	for _, step := range disk.unsynced {
		step.applyTo(disk.durable)
	}
	disk.unsynced = nil
	return nil
}

// file is an open file of a process.
type file struct {
	mount   *mount
	content *fileContent
	offset  int64
}

// Write adds bytes after those that were written through this file.
func (f *file) Write(written []byte) (int, error) {
	disk := f.mount.disk
	partly, err := disk.begin(f.mount.generation, OpWrite, len(written))
	if err != nil && !partly {
		return 0, err
	}
	defer disk.mu.Unlock()
	if partly {
		written = written[:disk.drawBelow(len(written)+1)]
	}
	if disk.options.Capacity > 0 && disk.used()+int64(len(written)) > disk.options.Capacity {
		return 0, ErrFull
	}
	f.content.apply(change{offset: f.offset, bytes: bytes.Clone(written)})
	f.offset += int64(len(written))
	disk.bytesWritten += int64(len(written))
	return len(written), err
}

// Sync makes all bytes of the file last.
func (f *file) Sync() error {
	disk := f.mount.disk
	partly, err := disk.begin(f.mount.generation, OpSync, 0)
	if err != nil && !partly {
		return err
	}
	defer disk.mu.Unlock()
	for _, change := range f.content.unsynced {
		f.content.synced = change.applyTo(f.content.synced)
	}
	f.content.unsynced = nil
	return err
}

// Close ends the use of the file and syncs nothing.
func (f *file) Close() error { return nil }
