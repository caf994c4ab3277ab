package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"testing"
)

// encodeFile gives a file of frames, one for each list of records.
func encodeFile(generation uint64, frames ...[][]byte) []byte {
	content := encodeHeader(generation, headerSize)
	for index, records := range frames {
		content = append(content, encodeFrame(generation, uint64(index+1), records)...)
	}
	return content
}

func recordsOf(all ...string) [][]byte {
	var records [][]byte
	for _, text := range all {
		records = append(records, []byte(text))
	}
	return records
}

func encodeLegacy(record string) []byte {
	made := binary.LittleEndian.AppendUint32(nil, uint32(len(record)))
	made = binary.LittleEndian.AppendUint32(made, crc32.ChecksumIEEE([]byte(record)))
	return append(made, record...)
}

func TestParse_cutsTornTail(t *testing.T) {
	frames := [][][]byte{recordsOf("one"), recordsOf("two", "three"), recordsOf("four")}
	whole := encodeFile(7, frames...)
	for cut := headerSize; cut <= len(whole); cut++ {
		ends, records, count := headerSize, 0, 0
		for _, framed := range frames {
			next := ends + len(encodeFrame(7, 1, framed))
			if next > cut {
				break
			}
			ends, records, count = next, records+len(framed), count+1
		}
		for _, tail := range [][]byte{nil, make([]byte, len(whole)-cut)} {
			read, err := parse(append(whole[:cut:cut], tail...))
			if err != nil || read.corruption != nil || len(read.records) != records || read.length != int64(ends) || read.frames != uint64(count) {
				t.Fatalf("cut at %d, %d NULs: %+v %v", cut, len(tail), read, err)
			}
		}
	}
}

// TestParse_detectsFlippedBytes flips each byte: before the last frame it is damage,
// in it no record of it is read.
func TestParse_detectsFlippedBytes(t *testing.T) {
	whole := encodeFile(7, recordsOf("one"), recordsOf("two", "three"), recordsOf("four"))
	last := len(whole) - len(encodeFrame(7, 3, recordsOf("four")))
	for at := range whole {
		spoilt := bytes.Clone(whole)
		spoilt[at] ^= 0x10
		read, err := parse(spoilt)
		if err != nil || (read.corruption != nil) != (at < last) || at >= last && len(read.records) != 3 {
			t.Fatalf("byte %d: %+v %v", at, read, err)
		}
		if read.corruption != nil && (read.corruption.Offset > int64(at) || read.corruption.Bytes != int64(len(whole)) || read.corruption.Reason == "") {
			t.Fatalf("byte %d: %+v", at, read.corruption)
		}
	}
	sealed := append(make([]byte, headerSize), encodeFrame(7, 1, recordsOf("one"))...)
	copy(sealed, encodeHeader(7, len(sealed)))
	for at := range sealed {
		spoilt := bytes.Clone(sealed)
		spoilt[at] ^= 0x10
		if read, err := parse(spoilt); err != nil || read.corruption == nil {
			t.Fatalf("byte %d of what was synced before it had its name: %+v %v", at, read, err)
		}
	}
}

// TestParse_unsyncedHoleIsTornTail loses parts of a frame that no sync covered,
// over bytes of an earlier file.
func TestParse_unsyncedHoleIsTornTail(t *testing.T) {
	synced := encodeFile(7, recordsOf("one"))
	stale := append(encodeFrame(6, 3, recordsOf("old")), encodeFrame(7, 2, recordsOf("a frame that was cut and lost"))...)
	torn := encodeFrame(7, 2, recordsOf("two", "three", "four"))
	torn[frameHeaderSize+lengthPrefixSize] ^= 1
	for _, tail := range [][]byte{torn, append(torn[:len(torn):len(torn)], stale...)} {
		if read, err := parse(append(synced[:len(synced):len(synced)], tail...)); err != nil || read.corruption != nil || read.length != int64(len(synced)) {
			t.Fatalf("%+v %v", read, err)
		}
	}
}

func TestParse_namesOtherFormats(t *testing.T) {
	newer := encodeHeader(3, headerSize)
	binary.LittleEndian.PutUint32(newer[8:], formatVersion+1)
	binary.LittleEndian.PutUint32(newer[headerSize-4:], crc32.ChecksumIEEE(newer[:headerSize-4]))
	if _, err := parse(newer); !errors.Is(err, ErrUnsupportedVersion) {
		t.Fatal(err)
	}
	if read, err := parse([]byte("PK\x03\x04 something else that is long enough")); err != nil || read.corruption == nil {
		t.Fatalf("%+v %v", read, err)
	}
	old := append(append(encodeLegacy("one"), encodeLegacy("two")...), encodeLegacy("three")[:9]...)
	if read, err := parse(old); err != nil || !read.legacy || len(read.records) != 2 || read.length != 0 {
		t.Fatalf("%+v %v", read, err)
	}
}

// FuzzParse reads anything; what is read once reads the same without its tail.
func FuzzParse(f *testing.F) {
	whole := encodeFile(7, recordsOf("one"), recordsOf("two", "three"))
	f.Add([]byte(nil))
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add(append(whole[:headerSize:headerSize], make([]byte, 64)...))
	f.Add(encodeLegacy("one"))
	f.Fuzz(func(t *testing.T, content []byte) {
		read, err := parse(content)
		if err != nil || read.corruption != nil || read.legacy {
			return
		}
		if read.length > int64(len(content)) {
			t.Fatalf("%d of %d bytes", read.length, len(content))
		}
		again, err := parse(content[:read.length])
		if err != nil || again.corruption != nil || again.frames != read.frames || len(again.records) != len(read.records) {
			t.Fatalf("%+v and %+v, %v", read, again, err)
		}
		next := encodeFrame(read.generation, read.frames+1, recordsOf("next"))
		if read.length > 0 {
			more, err := parse(append(content[:read.length:read.length], next...))
			if err != nil || more.corruption != nil || len(more.records) != len(read.records)+1 {
				t.Fatalf("%+v, %v", more, err)
			}
		}
	})
}
