// Package compress makes long bodies short for the way between daemons and for the
// disk, with the standard library's deflate.
package compress

import (
	"bytes"
	"compress/flate"
	"io"
)

const (
	// worth is the length from which a body is packed; below it the time costs
	// more than the bytes.
	worth = 1 << 10
	// limit bounds what a body may unpack to.
	limit = 64 << 20
)

// Pack gives a body as it travels; false says that it stays as it is.
func Pack(body []byte) ([]byte, bool) {
	if len(body) < worth {
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

// Unpack gives a body as it was; one that is not packed stays as it is.
func Unpack(body []byte, packed bool) ([]byte, error) {
	if !packed {
		return body, nil
	}
	reader := flate.NewReader(bytes.NewReader(body))
	defer reader.Close()
	return io.ReadAll(io.LimitReader(reader, limit))
}
