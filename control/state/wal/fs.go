package wal

import (
	"io"
	"os"
	"path/filepath"
)

// File is an open file that is appended to.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// FS is the folder that a log lives in. A name that was created, renamed or
// removed is durable only once SyncDir has returned, and bytes once Sync has.
type FS interface {
	// Read returns the content of a file; a missing one is empty.
	Read(name string) ([]byte, error)
	// Create opens an empty file; an existing one is truncated.
	Create(name string) (File, error)
	// Append opens a file for appending after its first length bytes; the rest is
	// cut off.
	Append(name string, length int64) (File, error)
	// Rename gives a file another name, in place of the file that has it.
	Rename(from string, to string) error
	// Remove removes a file; a missing one is no error.
	Remove(name string) error
	// SyncDir makes the names of all files durable.
	SyncDir() error
}

// Dir is the FS of a directory of the operating system.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Read returns the content of a file; a missing one is empty.
func (d Dir) Read(name string) ([]byte, error) {
	content, err := os.ReadFile(d.path(name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	return content, err
}

// Create opens an empty file; a missing directory is made.
func (d Dir) Create(name string) (File, error) {
	if err := mkdirAllSynced(string(d)); err != nil {
		return nil, err
	}
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
}

// mkdirAllSynced makes a directory and its parents; each new one is synced into
// its parent.
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

// Append opens a file and cuts it to the length.
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

// Rename gives a file another name.
func (d Dir) Rename(from string, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file; a missing one is no error.
func (d Dir) Remove(name string) error {
	err := os.Remove(d.path(name))
	if os.IsNotExist(err) {
		return nil
	}
	return err
}

// SyncDir makes the names of all files durable.
func (d Dir) SyncDir() error {
	dir, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
