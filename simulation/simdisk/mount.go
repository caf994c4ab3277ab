package simdisk

import (
	"bytes"
	"fmt"

	"onyxwell/control/state/wal"
)

// mount implements wal.FS for one process.
type mount struct {
	disk       *Disk
	generation int64
}

// Read implements wal.FS.
func (m *mount) Read(name string) ([]byte, error) {
	if _, err := m.disk.begin(m.generation, OpRead, int(m.disk.Size(name))); err != nil {
		return nil, err
	}
	defer m.disk.mu.Unlock()
	if content := m.disk.files[name]; content != nil {
		return bytes.Clone(content.current), nil
	}
	return nil, nil
}

// Create implements wal.FS.
func (m *mount) Create(name string) (wal.File, error) {
	if _, err := m.disk.begin(m.generation, OpCreate, 0); err != nil {
		return nil, err
	}
	defer m.disk.mu.Unlock()
	content := m.disk.files[name]
	if content == nil {
		content = &fileContent{}
		m.disk.changeName(nameChange{name: name, content: content})
	} else {
		content.apply(change{truncate: true})
	}
	return &file{mount: m, content: content}, nil
}

// Append implements wal.FS.
func (m *mount) Append(name string, length int64) (wal.File, error) {
	if _, err := m.disk.begin(m.generation, OpAppend, 0); err != nil {
		return nil, err
	}
	defer m.disk.mu.Unlock()
	content := m.disk.files[name]
	if content == nil {
		return nil, fmt.Errorf("%w: %s", ErrNotExist, name)
	}
	if int64(len(content.current)) != length {
		content.apply(change{truncate: true, offset: length})
	}
	return &file{mount: m, content: content, offset: length}, nil
}

// Rename implements wal.FS.
func (m *mount) Rename(from string, to string) error {
	if _, err := m.disk.begin(m.generation, OpRename, 0); err != nil {
		return err
	}
	defer m.disk.mu.Unlock()
	content := m.disk.files[from]
	if content == nil {
		return fmt.Errorf("%w: %s", ErrNotExist, from)
	}
	m.disk.changeName(nameChange{name: to, content: content})
	m.disk.changeName(nameChange{name: from})
	return nil
}

// Remove implements wal.FS.
func (m *mount) Remove(name string) error {
	if _, err := m.disk.begin(m.generation, OpRemove, 0); err != nil {
		return err
	}
	defer m.disk.mu.Unlock()
	if m.disk.files[name] != nil {
		m.disk.changeName(nameChange{name: name})
	}
	return nil
}

// SyncDir implements wal.FS.
func (m *mount) SyncDir() error {
	if _, err := m.disk.begin(m.generation, OpSyncDir, 0); err != nil {
		return err
	}
	defer m.disk.mu.Unlock()
	for _, change := range m.disk.unsynced {
		change.applyTo(m.disk.durable)
	}
	m.disk.unsynced = nil
	return nil
}

// file implements wal.File.
type file struct {
	mount   *mount
	content *fileContent
	offset  int64
}

// Write implements wal.File: it writes after what was written through this file.
func (f *file) Write(body []byte) (int, error) {
	disk := f.mount.disk
	partial, err := disk.begin(f.mount.generation, OpWrite, len(body))
	if err != nil && !partial {
		return 0, err
	}
	defer disk.mu.Unlock()
	if partial {
		body = body[:disk.drawBelow(len(body)+1)]
	}
	if disk.options.Capacity > 0 && disk.used()+int64(len(body)) > disk.options.Capacity {
		return 0, ErrFull
	}
	f.content.apply(change{offset: f.offset, bytes: bytes.Clone(body)})
	f.offset += int64(len(body))
	disk.bytesWritten += int64(len(body))
	return len(body), err
}

// Sync implements wal.File.
func (f *file) Sync() error {
	disk := f.mount.disk
	partial, err := disk.begin(f.mount.generation, OpSync, 0)
	if err != nil && !partial {
		return err
	}
	defer disk.mu.Unlock()
	for _, change := range f.content.unsynced {
		f.content.synced = change.applyTo(f.content.synced)
	}
	f.content.unsynced = nil
	return err
}

// Close implements wal.File; it syncs nothing.
func (f *file) Close() error { return nil }
