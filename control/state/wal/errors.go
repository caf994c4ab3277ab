package wal

import (
	"errors"
	"fmt"
)

var (
	// ErrClosed is returned by Save after Close.
	ErrClosed = errors.New("wal: closed")
	// ErrRecordSize is returned by Save for a record that is empty or longer than
	// 32 MiB.
	ErrRecordSize = errors.New("wal: record size out of bounds")
	// ErrLimitExceeded is returned by Save if the snapshot is longer than
	// Options.MaxBytes.
	ErrLimitExceeded = errors.New("wal: no space within the limit")
	// ErrUnsupportedVersion matches a *VersionError.
	ErrUnsupportedVersion = errors.New("wal: unsupported format version")
)

// VersionError reports a file in a format that this build does not read. The
// file is left as it is.
type VersionError struct {
	File string
	// Found is the version of the file, Want that of this build.
	Found, Want uint32
}

// Error names the file, both versions and what to do.
func (v *VersionError) Error() string {
	return fmt.Sprintf("%s has format version %d, this build reads %d: start the build that wrote the file", v.File, v.Found, v.Want)
}

// Is reports whether target is ErrUnsupportedVersion.
func (v *VersionError) Is(target error) bool { return target == ErrUnsupportedVersion }

// Corruption reports that synced bytes of a file are damaged. Open has set the
// file aside then, and the log starts empty.
type Corruption struct {
	// File is the name of the log, QuarantinedAs the one that the damaged file is
	// kept under.
	File, QuarantinedAs string
	// Offset is the earliest position of the first damaged byte, Bytes the length
	// of the file.
	Offset, Bytes int64
	// Reason says what was wrong, for people.
	Reason string
}

// Error names the file, the position, the reason and what was done.
func (c *Corruption) Error() string {
	return fmt.Sprintf("wal: %s is damaged at byte %d of %d: %s; it is kept as %s, and the log starts empty", c.File, c.Offset, c.Bytes, c.Reason, c.QuarantinedAs)
}
