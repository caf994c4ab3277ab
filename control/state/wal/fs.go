package wal

import (
	"io"
	"os"
	"path/filepath"
)

// File is a file that is open for appending.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// FS is the directory that contains a log. The creation, renaming or removal of a
// file is durable only once SyncDir has returned, and written bytes only once
// Sync has.
type FS interface {
	// Read returns the content of a file; a missing file reads as empty.
	Read(name string) ([]byte, error)
	// Create opens an empty file for appending; an existing file is truncated.
	Create(name string) (File, error)
	// Append opens a file for appending after its first length bytes and
	// truncates the rest.
	Append(name string, length int64) (File, error)
	// Rename renames a file, replacing any file that has the new name.
	Rename(from string, to string) error
	// Remove removes a file; a missing file is not an error.
	Remove(name string) error
	// SyncDir makes all creations, renamings and removals of files durable.
	SyncDir() error
}

// Dir is the FS of a directory of the operating system.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Read returns the content of a file; a missing file reads as empty.
func (d Dir) Read(name string) ([]byte, error) {
	content, err := os.ReadFile(d.path(name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	return content, err
}

// Create opens an empty file for appending; a missing directory is created.
func (d Dir) Create(name string) (File, error) {
	if err := mkdirAllSynced(string(d)); err != nil {
		return nil, err
	}
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
}

// mkdirAllSynced creates a directory and its missing parents, and syncs the
// parent of each one that it creates.
func mkdirAllSynced(path string) error {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return nil
	}
	parent := filepath.Dir(path)
	if parent != path {
		if err := mkdirAllSynced(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, 0o755); err != nil && !os.IsExist(err) {
		return err
	}
	return Dir(parent).SyncDir()
}

// Append opens a file for appending after its first length bytes and truncates
// the rest.
func (d Dir) Append(name string, length int64) (File, error) {
	file, err := os.OpenFile(d.path(name), os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	if err = file.Truncate(length); err == nil {
		_, err = file.Seek(length, io.SeekStart)
	}
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}

// Rename renames a file, replacing any file that has the new name.
func (d Dir) Rename(from string, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file; a missing file is not an error.
func (d Dir) Remove(name string) error {
	err := os.Remove(d.path(name))
	if os.IsNotExist(err) {
		return nil
	}
	return err
}

// SyncDir makes all creations, renamings and removals of files durable.
func (d Dir) SyncDir() error {
	dir, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
