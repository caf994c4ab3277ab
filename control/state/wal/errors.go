package wal

import (
	"errors"
	"fmt"
)

var (
	// ErrClosed is returned by Save after Close, and by calls of Save that Close
	// interrupts.
	ErrClosed = errors.New("wal: closed")
	// ErrRecordSize is returned by Save for a record that is empty or longer than
	// 32 MiB.
	ErrRecordSize = errors.New("wal: record size is not between 1 byte and 32 MiB")
	// ErrLimitExceeded is returned by Save if the record cannot be appended and
	// the snapshot is longer than Options.MaxBytes, and by Open if the records do
	// not fit into a rewritten file.
	ErrLimitExceeded = errors.New("wal: file would exceed MaxBytes")
	// ErrUnsupportedVersion matches a *VersionError.
	ErrUnsupportedVersion = errors.New("wal: unsupported format version")
)

// VersionError reports a file in a format version that this build does not read.
// The file is left unchanged.
type VersionError struct {
	File string
	// Found is the version of the file, Want the version that this build reads.
	Found, Want uint32
}

// Error names the file, both versions and the remedy.
func (v *VersionError) Error() string {
	return fmt.Sprintf("%s has format version %d, this build reads %d: start the build that wrote the file", v.File, v.Found, v.Want)
}

// Is reports whether target is ErrUnsupportedVersion.
func (v *VersionError) Is(target error) bool { return target == ErrUnsupportedVersion }

// Corruption reports that synced bytes of a file are damaged. Open has then
// quarantined the file, and the log starts empty.
type Corruption struct {
	// File is the name of the log; QuarantinedAs is the name under which the
	// damaged file is kept.
	File, QuarantinedAs string
	// Offset is a lower bound of the position of the first damaged byte; Bytes is
	// the length of the file.
	Offset, Bytes int64
	// Reason describes the damage in human-readable form.
	Reason string
}

// Error names the file, the position and kind of the damage, and the name under
// which the file is kept.
func (c *Corruption) Error() string {
	return fmt.Sprintf("wal: %s is corrupted at or after byte %d of %d: %s; it was renamed to %s, and the log starts empty", c.File, c.Offset, c.Bytes, c.Reason, c.QuarantinedAs)
}
