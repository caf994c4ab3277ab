// Package journal keeps records in an append-only file: each has a length and
// a checksum, a torn tail is cut, a long file is written anew, and a record
// counts only once a sync has covered it.
package journal

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

// Disk is the folder that the journal lives in.
type Disk interface {
	// Read gives a whole file; a missing one is empty.
	Read(name string) ([]byte, error)
	// Create opens an empty file.
	Create(name string) (File, error)
	// Append opens a file for appending after its first length bytes.
	Append(name string, length int64) (File, error)
	// Rename gives a file another name and makes that last.
	Rename(from string, to string) error
}

// Folder is a disk in a folder of the file system.
type Folder string

// Read gives a whole file; a missing one is empty.
func (folder Folder) Read(name string) ([]byte, error) {
	content, fault := os.ReadFile(filepath.Join(string(folder), name))
	if os.IsNotExist(fault) {
		return nil, nil
	}
	return content, fault
}

// Create opens an empty file, making the folder where it is missing.
func (folder Folder) Create(name string) (File, error) {
	if fault := os.MkdirAll(string(folder), 0o755); fault != nil {
		return nil, fault
	}
	return os.OpenFile(filepath.Join(string(folder), name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o644)
}

// Append opens a file and cuts it to the length.
func (folder Folder) Append(name string, length int64) (File, error) {
	file, fault := os.OpenFile(filepath.Join(string(folder), name), os.O_WRONLY, 0o644)
	if fault != nil {
		return nil, fault
	}
	if fault = file.Truncate(length); fault == nil {
		_, fault = file.Seek(length, io.SeekStart)
	}
	if fault != nil {
		_ = file.Close()
		return nil, fault
	}
	return file, nil
}

// Rename gives a file another name and syncs the folder.
func (folder Folder) Rename(from string, to string) error {
	if fault := os.Rename(filepath.Join(string(folder), from), filepath.Join(string(folder), to)); fault != nil {
		return fault
	}
	opened, fault := os.Open(string(folder))
	if fault != nil {
		return fault
	}
	defer opened.Close()
	return opened.Sync()
}
