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
	BaseVersion ids.Version
	// Current is the version in force, if CurrentKnown is set; otherwise a later
	// one than BaseVersion is.
	Current      ids.Version
	CurrentKnown bool
}

// Error is the text of the kind and the versions.
func (v *VersionConflictError) Error() string { return v.Unwrap().Error() }

// Unwrap gives the error of the kind.
func (v *VersionConflictError) Unwrap() error {
	current := "a newer version"
	if v.CurrentKnown {
		current = fmt.Sprintf("version %d", v.Current)
	}
	return errkind.Errorf(errkind.VersionConflict, "If-Match: %d is not in place, %s is", v.BaseVersion, current)
}

// ArchivedError reports a change on a version older than the record's recent
// history: the chunk under Key decides with Resolve whether it was applied. Where
// nobody looks it up, its kind is errkind.OutcomeExpired.
type ArchivedError struct {
	baseVersion ids.Version
	digest      []byte
	index       int64
}

// Error is the text of the kind and the version.
func (a *ArchivedError) Error() string { return a.Unwrap().Error() }

// Unwrap gives the error of the kind.
func (a *ArchivedError) Unwrap() error {
	return errkind.Errorf(errkind.OutcomeExpired, "If-Match: what was taken on %d is not remembered any more", a.baseVersion)
}

// Key is the register's key of the chunk that decides.
func (a *ArchivedError) Key() string { return chunkKey(a.index) }
