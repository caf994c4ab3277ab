// Package compress makes long bodies short for the way between daemons and for the
// disk, with the standard library's deflate.
package compress

import (
	"bytes"
	"compress/flate"
	"io"
)

const (
	// minSize is the length from which a body is packed; below it the time costs
	// more than the bytes.
	minSize = 1 << 10
	// maxDecodedSize bounds what a body may unpack to.
	maxDecodedSize = 64 << 20
)

// Encode gives a body as it travels; false says that it stays as it is.
func Encode(body []byte) ([]byte, bool) {
	if len(body) < minSize {
		return body, false
	}
	var small bytes.Buffer
	writer, err := flate.NewWriter(&small, flate.DefaultCompression)
	if err != nil {
		return body, false
	}
	if _, err = writer.Write(body); err == nil {
		err = writer.Close()
	}
	if err != nil || small.Len() >= len(body) {
		return body, false
	}
	return small.Bytes(), true
}

// Decode gives a body as it was; one that is not packed stays as it is.
func Decode(body []byte, packed bool) ([]byte, error) {
	if !packed {
		return body, nil
	}
	reader := flate.NewReader(bytes.NewReader(body))
	defer reader.Close()
	return io.ReadAll(io.LimitReader(reader, maxDecodedSize))
}
