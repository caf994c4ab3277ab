package store

import (
	"fmt"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// VersionConflictError rejects a change whose base version is not the current version
// and that was not applied to that version earlier. Its kind is
// errkind.VersionConflict.
type VersionConflictError struct {
	// BaseVersion is the version that the change is based on.
	BaseVersion ids.Version
	// Current is the current version if CurrentKnown is set. Otherwise it is only
	// known that the current version is newer than BaseVersion.
	Current      ids.Version
	CurrentKnown bool
}

// Error returns a text with the kind and the versions.
func (v *VersionConflictError) Error() string { return v.Unwrap().Error() }

// Unwrap returns an error of kind errkind.VersionConflict.
func (v *VersionConflictError) Unwrap() error {
	current := "a newer version"
	if v.CurrentKnown {
		current = fmt.Sprintf("version %d", v.Current)
	}
	return errkind.Errorf(errkind.VersionConflict, "If-Match: version %d is not the current version, %s is", v.BaseVersion, current)
}

// ArchivedError reports a change whose base version is older than the recent history
// in the record. To learn whether the change was applied, read the chunk under Key and
// call Resolve with it. A caller that does not do so gets an error of kind
// errkind.OutcomeExpired.
type ArchivedError struct {
	baseVersion ids.Version
	digest      []byte
	index       int64
}

// Error returns a text with the kind and the base version.
func (a *ArchivedError) Error() string { return a.Unwrap().Error() }

// Unwrap returns an error of kind errkind.OutcomeExpired.
func (a *ArchivedError) Unwrap() error {
	return errkind.Errorf(errkind.OutcomeExpired, "If-Match: the outcome of changes to version %d is no longer known", a.baseVersion)
}

// Key returns the register's key of the chunk that shows whether the change was
// applied.
func (a *ArchivedError) Key() string { return chunkKey(a.index) }
