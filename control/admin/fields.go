package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
)

// errNotObject is the error of objectFields for a text that is no JSON object.
var errNotObject = errors.New("not a JSON object")

// objectFields returns the values of the named fields of a JSON object, and skips all
// others: a table of all fields would take many times the bytes of the body. Of fields
// with the same name the last counts.
func objectFields(body []byte, names ...string) (map[string]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if start, err := decoder.Token(); err != nil || start != json.Delim('{') {
		return nil, errNotObject
	}
	fields := make(map[string]json.RawMessage, len(names))
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		if err := decodeField(decoder, fields, name, names); err != nil {
			return nil, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errNotObject
	}
	return fields, nil
}

// decodeField decodes the value of the next field, and stores it if the field is one of
// names.
func decodeField(decoder *json.Decoder, fields map[string]json.RawMessage, name json.Token, names []string) error {
	text, _ := name.(string)
	if !slices.Contains(names, text) {
		return decoder.Decode(&skippedValue{})
	}
	var value json.RawMessage
	err := decoder.Decode(&value)
	fields[text] = value
	return err
}

// skippedValue takes any JSON value and keeps nothing of it.
type skippedValue struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*skippedValue) UnmarshalJSON([]byte) error { return nil }
