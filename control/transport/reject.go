package transport

import (
	"errors"
	"fmt"

	"onyxwell/base/errkind"
)

// RejectReason says why a message was rejected unread.
type RejectReason int

// The reasons. A message for which none of the others is known is Malformed.
const (
	// Malformed: truncated, damaged, or followed by further bytes.
	Malformed RejectReason = iota
	// SchemaMismatch: encoded by a build that knows the message in another form.
	SchemaMismatch
	// ForeignDeployment: the tag is that of another deployment.
	ForeignDeployment
	// TooLarge: the body is over the limit of the calls that it came to.
	TooLarge
	// UnknownMessage: no message of that name or kind is handled here.
	UnknownMessage
	rejectReasonCount
)

// rejectReasonNames are part of the log, of the metrics and of the status.
var rejectReasonNames = [rejectReasonCount]string{"torn", "version", "deployment", "oversized", "unknown"}

// RejectReasonNames returns the names of all reasons, indexed by reason.
func RejectReasonNames() []string { return rejectReasonNames[:] }

// String returns the reason's name as the log, the metrics and the status have it.
func (r RejectReason) String() string { return rejectReasonNames[r] }

// rejectError is an error of kind BadRequest with the reason of the rejection.
type rejectError struct {
	reason RejectReason
	err    error
}

// Error implements error.
func (r *rejectError) Error() string { return r.err.Error() }

// Unwrap returns the error that carries the kind.
func (r *rejectError) Unwrap() error { return r.err }

func rejectf(reason RejectReason, format string, args ...any) error {
	return &rejectError{reason: reason, err: errkind.Errorf(errkind.BadRequest, "%s: %s", reason, fmt.Sprintf(format, args...))}
}

// rejectReasonByKind holds the rejections that other packages decide on.
var rejectReasonByKind = map[errkind.Kind]RejectReason{
	errkind.BodyTooLarge: TooLarge,
	errkind.UnknownCall:  UnknownMessage,
}

// RejectReasonOf returns the reason of an error with which a message was rejected.
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
