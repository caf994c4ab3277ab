// Package compress shrinks long bodies for messages between daemons and for the
// disk, with DEFLATE.
//
// Whether a body is compressed is stored or sent beside it. Decode(Encode(body))
// is body for every body of at most maxDecodedSize bytes.
package compress

import (
	"bytes"
	"compress/flate"
	"io"
)

const (
	// minSize is the length in bytes from which a body is compressed; below it the
	// processor time costs more than the bytes.
	minSize = 1 << 10
	// maxDecodedSize bounds the memory that a compressed body may claim, in bytes.
	// Decode drops what lies beyond.
	maxDecodedSize = 64 << 20
)

// Encode returns the body to store or send, and whether it is compressed. A body
// that is short, or that doesn't shrink, is returned as it is.
func Encode(body []byte) (encoded []byte, compressed bool) {
	if len(body) < minSize {
		return body, false
	}
	var buffer bytes.Buffer
	writer, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return body, false
	}
	if _, err = writer.Write(body); err == nil {
		err = writer.Close()
	}
	if err != nil || buffer.Len() >= len(body) {
		return body, false
	}
	return buffer.Bytes(), true
}

// Decode reverses Encode. It returns an error for a body that is cut short or
// corrupt; DEFLATE has no checksum, so not every corruption is found.
func Decode(encoded []byte, compressed bool) ([]byte, error) {
	if !compressed {
		return encoded, nil
	}
	reader := flate.NewReader(bytes.NewReader(encoded))
	defer reader.Close()
	return io.ReadAll(io.LimitReader(reader, maxDecodedSize))
}
