package transport

import (
	"fmt"

	"onyxwell/base/errkind"
)

// StoredValueError means that this build can't decode the stored value of a
// register key. If the value has another schema, Err has the fingerprints of the
// schema that this build expects and of the one that was found.
type StoredValueError struct {
	Key string
	Err error
}

// NewStoredValueError returns an error of kind errkind.Internal that wraps a
// *StoredValueError. The kind is Internal because the stored value is at fault, not
// the request that reads it.
func NewStoredValueError(key string, err error) error {
	return errkind.Errorf(errkind.Internal, "%w", &StoredValueError{Key: key, Err: err})
}

// UnmarshalStored decodes the stored value of a register key. It returns the zero
// value if the key was never written.
func UnmarshalStored[Value any](key string, stored []byte) (Value, error) {
	var value Value
	if len(stored) == 0 {
		return value, nil
	}
	value, err := Unmarshal[Value](stored)
	if err != nil {
		return value, NewStoredValueError(key, err)
	}
	return value, nil
}

// Error names the key, the reason why its value can't be decoded, and the remedy.
func (s *StoredValueError) Error() string {
	reason := errkind.DetailOf(s.Err)
	if reason == "" {
		reason = s.Err.Error()
	}
	return fmt.Sprintf("key %s: the stored value can't be read: %s: run the build that wrote it", s.Key, reason)
}

// Unwrap returns the decoding error.
func (s *StoredValueError) Unwrap() error { return s.Err }
