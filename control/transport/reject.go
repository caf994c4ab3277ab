package transport

import (
	"errors"
	"fmt"

	"onyxwell/base/errkind"
)

// RejectReason says why a message was rejected before it was processed.
type RejectReason int

// The reasons for rejecting a message. Malformed is also the reason if no other applies.
const (
	// Malformed means that the message is truncated, corrupt or has trailing bytes.
	Malformed RejectReason = iota
	// SchemaMismatch means that the message was encoded by a build that has another
	// schema for it.
	SchemaMismatch
	// ForeignDeployment means that the message has the tag of another deployment.
	ForeignDeployment
	// TooLarge means that the body exceeds the limit of the mux that received it.
	TooLarge
	// UnknownMessage means that no handler exists for the name or kind of the message.
	UnknownMessage
	rejectReasonCount
)

// rejectReasonNames has the names that appear in log lines, metrics and the status.
var rejectReasonNames = [rejectReasonCount]string{"torn", "version", "deployment", "oversized", "unknown"}

// RejectReasonNames returns the names of all reasons, indexed by reason.
func RejectReasonNames() []string { return rejectReasonNames[:] }

// String returns the name of the reason as used in log lines, metrics and the status.
func (r RejectReason) String() string { return rejectReasonNames[r] }

// rejectError is an error of kind BadRequest with a RejectReason.
type rejectError struct {
	reason RejectReason
	err    error
}

// Error implements the error interface.
func (r *rejectError) Error() string { return r.err.Error() }

// Unwrap returns the underlying error, which has the errkind.Kind.
func (r *rejectError) Unwrap() error { return r.err }

func rejectf(reason RejectReason, format string, args ...any) error {
	return &rejectError{reason: reason, err: errkind.Errorf(errkind.BadRequest, "%s: %s", reason, fmt.Sprintf(format, args...))}
}

// rejectReasonByKind maps the errors with which other packages reject a message to
// reasons.
var rejectReasonByKind = map[errkind.Kind]RejectReason{
	errkind.BodyTooLarge: TooLarge,
	errkind.UnknownCall:  UnknownMessage,
}

// RejectReasonOf returns the reason why a message was rejected with err. It returns
// Malformed if err gives no other reason.
func RejectReasonOf(err error) RejectReason {
	var rejected *rejectError
	if errors.As(err, &rejected) {
		return rejected.reason
	}
	if reason, ok := rejectReasonByKind[errkind.KindOf(err)]; ok {
		return reason
	}
	return Malformed
}
