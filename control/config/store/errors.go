package store

import (
	"fmt"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// VersionConflictError refuses a change on a version that is not in force, and on
// which this change was never applied. Its kind is errkind.VersionConflict.
type VersionConflictError struct {
	// BaseVersion is the one that the change asked for.
	BaseVersion ids.Serial
	// Current is the version in force, if CurrentKnown is set; otherwise a later
	// one than BaseVersion is.
	Current      ids.Serial
	CurrentKnown bool
}

// Error is the text of the kind and the versions.
func (e *VersionConflictError) Error() string { return e.Unwrap().Error() }

// Unwrap gives the error of the kind.
func (e *VersionConflictError) Unwrap() error {
	current := "a newer version"
	if e.CurrentKnown {
		current = fmt.Sprintf("version %d", e.Current)
	}
	return errkind.Errorf(errkind.VersionConflict, "If-Match: %d is not in place, %s is", e.BaseVersion, current)
}

// ArchivedError reports a change on a version older than the record's recent
// history: the chunk under Key decides with Resolve whether it was applied. Where
// nobody looks it up, its kind is errkind.OutcomeExpired.
type ArchivedError struct {
	baseVersion ids.Serial
	digest      []byte
	index       int64
}

// Error is the text of the kind and the version.
func (e *ArchivedError) Error() string { return e.Unwrap().Error() }

// Unwrap gives the error of the kind.
func (e *ArchivedError) Unwrap() error {
	return errkind.Errorf(errkind.OutcomeExpired, "If-Match: what was taken on %d is not remembered any more", e.baseVersion)
}

// Key is the register's key of the chunk that decides.
func (e *ArchivedError) Key() string { return chunkKey(e.index) }
