package disk

import (
	"bytes"
	"fmt"

	"onyxwell/control/journal"
)

// mount is the disk as one process sees it.
type mount struct {
	disk *Disk
	life int64
}

// Read gives a whole file; a missing one is empty.
func (mount *mount) Read(name string) ([]byte, error) {
	if _, err := mount.disk.act(mount.life, ActRead, int(mount.disk.Bytes(name))); err != nil {
		return nil, err
	}
	defer mount.disk.lock.Unlock()
	if found := mount.disk.names[name]; found != nil {
		return bytes.Clone(found.now), nil
	}
	return nil, nil
}

// Create opens an empty file.
func (mount *mount) Create(name string) (journal.File, error) {
	disk := mount.disk
	if _, err := disk.act(mount.life, ActCreate, 0); err != nil {
		return nil, err
	}
	defer disk.lock.Unlock()
	found := disk.names[name]
	if found == nil {
		found = &content{}
		disk.step(nameStep{name: name, content: found})
	} else {
		found.do(change{cut: true})
	}
	return &file{mount: mount, content: found}, nil
}

// Append opens a file and cuts it to the length.
func (mount *mount) Append(name string, length int64) (journal.File, error) {
	disk := mount.disk
	if _, err := disk.act(mount.life, ActAppend, 0); err != nil {
		return nil, err
	}
	defer disk.lock.Unlock()
	found := disk.names[name]
	if found == nil {
		return nil, fmt.Errorf("%w: %s", ErrMissing, name)
	}
	if int64(len(found.now)) != length {
		found.do(change{cut: true, offset: length})
	}
	return &file{mount: mount, content: found, offset: length}, nil
}

// Rename gives a file another name.
func (mount *mount) Rename(from string, to string) error {
	disk := mount.disk
	if _, err := disk.act(mount.life, ActRename, 0); err != nil {
		return err
	}
	defer disk.lock.Unlock()
	found := disk.names[from]
	if found == nil {
		return fmt.Errorf("%w: %s", ErrMissing, from)
	}
	disk.step(nameStep{name: to, content: found})
	disk.step(nameStep{name: from})
	return nil
}

// Remove takes a file away; a missing one is no fault.
func (mount *mount) Remove(name string) error {
	disk := mount.disk
	if _, err := disk.act(mount.life, ActRemove, 0); err != nil {
		return err
	}
	defer disk.lock.Unlock()
	if disk.names[name] != nil {
		disk.step(nameStep{name: name})
	}
	return nil
}

// SyncFolder makes all names last.
func (mount *mount) SyncFolder() error {
	disk := mount.disk
	if _, err := disk.act(mount.life, ActFolder, 0); err != nil {
		return err
	}
	defer disk.lock.Unlock()
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
func (file *file) Write(written []byte) (int, error) {
	disk := file.mount.disk
	partly, err := disk.act(file.mount.life, ActWrite, len(written))
	if err != nil && !partly {
		return 0, err
	}
	defer disk.lock.Unlock()
	if partly {
		written = written[:disk.pick(len(written)+1)]
	}
	if disk.options.Limit > 0 && disk.used()+int64(len(written)) > disk.options.Limit {
		return 0, ErrFull
	}
	file.content.do(change{offset: file.offset, bytes: bytes.Clone(written)})
	file.offset += int64(len(written))
	disk.written += int64(len(written))
	return len(written), err
}

// Sync makes all bytes of the file last.
func (file *file) Sync() error {
	disk := file.mount.disk
	partly, err := disk.act(file.mount.life, ActSync, 0)
	if err != nil && !partly {
		return err
	}
	defer disk.lock.Unlock()
	for _, change := range file.content.loose {
		file.content.synced = change.in(file.content.synced)
	}
	file.content.loose = nil
	return err
}

// Close ends the use of the file and syncs nothing.
func (file *file) Close() error { return nil }
