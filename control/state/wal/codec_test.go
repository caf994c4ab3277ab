package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"testing"
)

// encodeFrames returns a file of frames, one for each list of records.
func encodeFrames(generation uint64, frames ...[][]byte) []byte {
	content := encodeHeader(generation, headerSize)
	for index, records := range frames {
		content = append(content, encodeFrame(generation, uint64(index+1), records)...)
	}
	return content
}

// recordsOf returns the texts as records.
func recordsOf(texts ...string) [][]byte {
	var records [][]byte
	for _, text := range texts {
		records = append(records, []byte(text))
	}
	return records
}

// encodeLegacy returns a record in the format without a header.
func encodeLegacy(record string) []byte {
	encoded := binary.LittleEndian.AppendUint32(nil, uint32(len(record)))
	encoded = binary.LittleEndian.AppendUint32(encoded, crc32.ChecksumIEEE([]byte(record)))
	return append(encoded, record...)
}

// TestParse_cutsTornTail cuts a file at each byte, and fills it up with NULs.
func TestParse_cutsTornTail(t *testing.T) {
	frames := [][][]byte{recordsOf("one"), recordsOf("two", "three"), recordsOf("four")}
	file := encodeFrames(7, frames...)
	for cut := headerSize; cut <= len(file); cut++ {
		end, records, count := headerSize, 0, 0
		for _, frame := range frames {
			next := end + len(encodeFrame(7, 1, frame))
			if next > cut {
				break
			}
			end, records, count = next, records+len(frame), count+1
		}
		for _, tail := range [][]byte{nil, make([]byte, len(file)-cut)} {
			contents, err := parse(append(file[:cut:cut], tail...))
			if err != nil || contents.corruption != nil || len(contents.records) != records || contents.length != int64(end) || contents.frames != uint64(count) {
				t.Fatalf("cut at %d, %d NULs: %+v %v", cut, len(tail), contents, err)
			}
		}
	}
}

// TestParse_detectsFlippedBytes flips a bit of each byte: before the last frame that
// is corruption, in the last frame none of its records is read.
func TestParse_detectsFlippedBytes(t *testing.T) {
	file := encodeFrames(7, recordsOf("one"), recordsOf("two", "three"), recordsOf("four"))
	last := len(file) - len(encodeFrame(7, 3, recordsOf("four")))
	for at := range file {
		damaged := bytes.Clone(file)
		damaged[at] ^= 0x10
		contents, err := parse(damaged)
		if err != nil || (contents.corruption != nil) != (at < last) || at >= last && len(contents.records) != 3 {
			t.Fatalf("byte %d: %+v %v", at, contents, err)
		}
		if contents.corruption != nil && (contents.corruption.Offset > int64(at) || contents.corruption.Bytes != int64(len(file)) || contents.corruption.Reason == "") {
			t.Fatalf("byte %d: %+v", at, contents.corruption)
		}
	}
	sealed := append(make([]byte, headerSize), encodeFrame(7, 1, recordsOf("one"))...)
	copy(sealed, encodeHeader(7, len(sealed)))
	for at := range sealed {
		damaged := bytes.Clone(sealed)
		damaged[at] ^= 0x10
		if contents, err := parse(damaged); err != nil || contents.corruption == nil {
			t.Fatalf("byte %d of the sealed part: %+v %v", at, contents, err)
		}
	}
}

// TestParse_unsyncedHoleIsTornTail loses parts of a frame that no sync covered,
// over bytes of an earlier file.
func TestParse_unsyncedHoleIsTornTail(t *testing.T) {
	synced := encodeFrames(7, recordsOf("one"))
	stale := append(encodeFrame(6, 3, recordsOf("old")), encodeFrame(7, 2, recordsOf("a frame that was cut and lost"))...)
	torn := encodeFrame(7, 2, recordsOf("two", "three", "four"))
	torn[frameHeaderSize+lengthPrefixSize] ^= 1
	for _, tail := range [][]byte{torn, append(torn[:len(torn):len(torn)], stale...)} {
		if contents, err := parse(append(synced[:len(synced):len(synced)], tail...)); err != nil || contents.corruption != nil || contents.length != int64(len(synced)) {
			t.Fatalf("%+v %v", contents, err)
		}
	}
}

// encodeNewerVersion returns a file of the next format version.
func encodeNewerVersion() []byte {
	header := encodeHeader(3, headerSize)
	binary.LittleEndian.PutUint32(header[versionOffset:], formatVersion+1)
	binary.LittleEndian.PutUint32(header[headerSize-checksumSize:], crc32.ChecksumIEEE(header[:headerSize-checksumSize]))
	return header
}

// TestParse_recognizesOtherFormats reads a newer version, a foreign file and one without
// a header.
func TestParse_recognizesOtherFormats(t *testing.T) {
	if _, err := parse(encodeNewerVersion()); !errors.Is(err, ErrUnsupportedVersion) {
		t.Fatal(err)
	}
	if contents, err := parse([]byte("PK\x03\x04 something else that is long enough")); err != nil || contents.corruption == nil {
		t.Fatalf("%+v %v", contents, err)
	}
	legacy := append(append(encodeLegacy("one"), encodeLegacy("two")...), encodeLegacy("three")[:9]...)
	if contents, err := parse(legacy); err != nil || !contents.legacy || len(contents.records) != 2 || contents.length != 0 {
		t.Fatalf("%+v %v", contents, err)
	}
}

// TestOpen_leavesNewerFormatUnchanged opens a file of the next format version.
func TestOpen_leavesNewerFormatUnchanged(t *testing.T) {
	dir := Dir(t.TempDir())
	if err := ReplaceFile(dir, "j", encodeNewerVersion()); err != nil {
		t.Fatal(err)
	}
	_, _, err := Open(Options{FS: dir, Name: "j"})
	var versionErr *VersionError
	if !errors.As(err, &versionErr) || *versionErr != (VersionError{File: "j", Found: formatVersion + 1, Want: formatVersion}) {
		t.Fatal(err)
	}
	if content, err := dir.Read("j"); err != nil || !bytes.Equal(content, encodeNewerVersion()) {
		t.Fatalf("the file is now %x, %v", content, err)
	}
}

// FuzzParse reads anything; what was read reads the same without its tail, and can
// be appended to.
func FuzzParse(f *testing.F) {
	file := encodeFrames(7, recordsOf("one"), recordsOf("two", "three"))
	f.Add([]byte(nil))
	f.Add(file)
	f.Add(file[:len(file)-3])
	f.Add(append(file[:headerSize:headerSize], make([]byte, 64)...))
	f.Add(encodeLegacy("one"))
	f.Fuzz(func(t *testing.T, content []byte) {
		contents, err := parse(content)
		if err != nil || contents.corruption != nil || contents.legacy {
			return
		}
		if contents.length > int64(len(content)) {
			t.Fatalf("%d of %d bytes", contents.length, len(content))
		}
		reparsed, err := parse(content[:contents.length])
		if err != nil || reparsed.corruption != nil || reparsed.frames != contents.frames || len(reparsed.records) != len(contents.records) {
			t.Fatalf("%+v and %+v, %v", contents, reparsed, err)
		}
		next := encodeFrame(contents.generation, contents.frames+1, recordsOf("next"))
		if contents.length > 0 {
			extended, err := parse(append(content[:contents.length:contents.length], next...))
			if err != nil || extended.corruption != nil || len(extended.records) != len(contents.records)+1 {
				t.Fatalf("%+v, %v", extended, err)
			}
		}
	})
}
