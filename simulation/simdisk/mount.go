package simdisk

import (
	"bytes"
	"fmt"

	"onyxwell/control/state/wal"
)

// mount is the disk as one process sees it.
type mount struct {
	disk *Disk
	life int64
}

// Read gives a whole file; a missing one is empty.
func (m *mount) Read(name string) ([]byte, error) {
	if _, err := m.disk.act(m.life, ActRead, int(m.disk.Bytes(name))); err != nil {
		return nil, err
	}
	defer m.disk.mu.Unlock()
	if found := m.disk.names[name]; found != nil {
		return bytes.Clone(found.now), nil
	}
	return nil, nil
}

// Create opens an empty file.
func (m *mount) Create(name string) (wal.File, error) {
	disk := m.disk
	if _, err := disk.act(m.life, ActCreate, 0); err != nil {
		return nil, err
	}
	defer disk.mu.Unlock()
	found := disk.names[name]
	if found == nil {
		found = &content{}
		disk.step(nameStep{name: name, content: found})
	} else {
		found.do(change{cut: true})
	}
	return &file{mount: m, content: found}, nil
}

// Append opens a file and cuts it to the length.
func (m *mount) Append(name string, length int64) (wal.File, error) {
	disk := m.disk
	if _, err := disk.act(m.life, ActAppend, 0); err != nil {
		return nil, err
	}
	defer disk.mu.Unlock()
	found := disk.names[name]
	if found == nil {
		return nil, fmt.Errorf("%w: %s", ErrMissing, name)
	}
	if int64(len(found.now)) != length {
		found.do(change{cut: true, offset: length})
	}
	return &file{mount: m, content: found, offset: length}, nil
}

// Rename gives a file another name.
func (m *mount) Rename(from string, to string) error {
	disk := m.disk
	if _, err := disk.act(m.life, ActRename, 0); err != nil {
		return err
	}
	defer disk.mu.Unlock()
	found := disk.names[from]
	if found == nil {
		return fmt.Errorf("%w: %s", ErrMissing, from)
	}
	disk.step(nameStep{name: to, content: found})
	disk.step(nameStep{name: from})
	return nil
}

// Remove takes a file away; a missing one is no fault.
func (m *mount) Remove(name string) error {
	disk := m.disk
	if _, err := disk.act(m.life, ActRemove, 0); err != nil {
		return err
	}
	defer disk.mu.Unlock()
	if disk.names[name] != nil {
		disk.step(nameStep{name: name})
	}
	return nil
}

// SyncDir makes all names last.
func (m *mount) SyncDir() error {
	disk := m.disk
	if _, err := disk.act(m.life, ActFolder, 0); err != nil {
		return err
	}
	defer disk.mu.Unlock()
	for _, step := range disk.loose {
		step.in(disk.lasting)
	}
	disk.loose = nil
	return nil
}

// file is an open file of a process.
type file struct {
	mount   *mount
	content *content
	offset  int64
}

// Write adds bytes after those that were written through this file.
func (f *file) Write(written []byte) (int, error) {
	disk := f.mount.disk
	partly, err := disk.act(f.mount.life, ActWrite, len(written))
	if err != nil && !partly {
		return 0, err
	}
	defer disk.mu.Unlock()
	if partly {
		written = written[:disk.pick(len(written)+1)]
	}
	if disk.options.Limit > 0 && disk.used()+int64(len(written)) > disk.options.Limit {
		return 0, ErrFull
	}
	f.content.do(change{offset: f.offset, bytes: bytes.Clone(written)})
	f.offset += int64(len(written))
	disk.written += int64(len(written))
	return len(written), err
}

// Sync makes all bytes of the file last.
func (f *file) Sync() error {
	disk := f.mount.disk
	partly, err := disk.act(f.mount.life, ActSync, 0)
	if err != nil && !partly {
		return err
	}
	defer disk.mu.Unlock()
	for _, change := range f.content.loose {
		f.content.synced = change.in(f.content.synced)
	}
	f.content.loose = nil
	return err
}

// Close ends the use of the file and syncs nothing.
func (f *file) Close() error { return nil }
