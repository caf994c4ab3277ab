package transport

import (
	"fmt"

	"onyxwell/base/errkind"
)

// StoredValueError reports the value of a register's key that this build can't
// decode. Err names the form that this build expects and the one that was found.
type StoredValueError struct {
	Key string
	Err error
}

// NewStoredValueError returns a *StoredValueError under the kind errkind.Internal:
// the value is at fault, not the request that met it.
func NewStoredValueError(key string, err error) error {
	return errkind.Errorf(errkind.Internal, "%w", &StoredValueError{Key: key, Err: err})
}

// UnmarshalStored decodes the value of a register's key; one that was never written is the
// zero value.
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

// Error names the key, what is wrong with its value, and what to do.
func (s *StoredValueError) Error() string {
	reason := errkind.DetailOf(s.Err)
	if reason == "" {
		reason = s.Err.Error()
	}
	return fmt.Sprintf("key %s: the stored value can't be read: %s: run the build that wrote it", s.Key, reason)
}

// Unwrap returns the decoder's error.
func (s *StoredValueError) Unwrap() error { return s.Err }
