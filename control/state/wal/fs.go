// Package wal keeps records in an append-only file: each has a length and
// a checksum, a torn tail is cut, a long file is written anew, and a record
// counts only once a sync has covered it.
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

// FS is the folder that the journal lives in. A name that was made, renamed
// or removed lasts only once SyncFolder has returned, and bytes once Sync has.
type FS interface {
	// Read gives a whole file; a missing one is empty.
	Read(name string) ([]byte, error)
	// Create opens an empty file; one that is there is emptied.
	Create(name string) (File, error)
	// Append opens a file for appending after its first length bytes.
	Append(name string, length int64) (File, error)
	// Rename gives a file another name, in place of one that has it.
	Rename(from string, to string) error
	// Remove takes a file away; a missing one is no fault.
	Remove(name string) error
	// SyncFolder makes the names of all files last.
	SyncFolder() error
}

// Dir is a disk in a folder of the file system.
type Dir string

// Read gives a whole file; a missing one is empty.
func (d Dir) Read(name string) ([]byte, error) {
	content, err := os.ReadFile(filepath.Join(string(d), name))
	if os.IsNotExist(err) {
		return nil, nil
	}
	return content, err
}

// Create opens an empty file, making the folder where it is missing.
func (d Dir) Create(name string) (File, error) {
	if err := mkdirAllSynced(string(d)); err != nil {
		return nil, err
	}
	return os.OpenFile(filepath.Join(string(d), name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
}

// mkdirAllSynced makes a folder and those above it; each that it makes is synced
// into the one above.
func mkdirAllSynced(path string) error {
	if found, err := os.Stat(path); err == nil && found.IsDir() {
		return nil
	}
	above := filepath.Dir(path)
	if above != path {
		if err := mkdirAllSynced(above); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, 0o755); err != nil && !os.IsExist(err) {
		return err
	}
	return Dir(above).SyncFolder()
}

// Append opens a file and cuts it to the length.
func (d Dir) Append(name string, length int64) (File, error) {
	file, err := os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY, 0o644)
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
func (d Dir) Rename(from string, to string) error {
	return os.Rename(filepath.Join(string(d), from), filepath.Join(string(d), to))
}

// Remove takes a file away; a missing one is no fault.
func (d Dir) Remove(name string) error {
	err := os.Remove(filepath.Join(string(d), name))
	if os.IsNotExist(err) {
		return nil
	}
	return err
}

// SyncFolder makes the names of all files last.
func (d Dir) SyncFolder() error {
	opened, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer opened.Close()
	return opened.Sync()
}
