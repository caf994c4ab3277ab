package spread

import (
	"bytes"
	"compress/flate"
	"io"
)

const (
	// worthPacking is the length from which a body is compressed; below it the
	// time costs more than the bytes.
	worthPacking = 1 << 10
	// unpackedLimit bounds what a body may unpack to.
	unpackedLimit = 64 << 20
)

// packed gives an item as it travels. It is compressed once, where it is made,
// and passed on as it is.
func packed(item Item) Item {
	if len(item.Body) < worthPacking {
		return item
	}
	var small bytes.Buffer
	writer, fault := flate.NewWriter(&small, flate.DefaultCompression)
	if fault != nil {
		return item
	}
	if _, fault = writer.Write(item.Body); fault == nil {
		fault = writer.Close()
	}
	if fault != nil || small.Len() >= len(item.Body) {
		return item
	}
	item.Body, item.Packed = small.Bytes(), true
	return item
}

// unpacked gives an item as it is read.
func unpacked(item Item) (Item, error) {
	if !item.Packed {
		return item, nil
	}
	reader := flate.NewReader(bytes.NewReader(item.Body))
	defer reader.Close()
	body, fault := io.ReadAll(io.LimitReader(reader, unpackedLimit))
	if fault != nil {
		return item, fault
	}
	item.Body, item.Packed = body, false
	return item, nil
}
