package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"testing"
)

// encodeFrames returns a file with one frame for each list of records.
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

// encodeLegacy returns a record in the format without a file header.
func encodeLegacy(record string) []byte {
	encoded := binary.LittleEndian.AppendUint32(nil, uint32(len(record)))
	encoded = binary.LittleEndian.AppendUint32(encoded, crc32.ChecksumIEEE([]byte(record)))
	return append(encoded, record...)
}

// TestParse_cutsTornTail truncates a file at each byte, with and without NULs in
// place of the rest. parse must return the complete frames only, and report no
// corruption.
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
			parsed, err := parse(append(file[:cut:cut], tail...))
			if err != nil || parsed.corruption != nil || len(parsed.records) != records || parsed.length != int64(end) || parsed.frames != uint64(count) {
				t.Fatalf("truncated at byte %d, followed by %d NULs: %+v, error %v", cut, len(tail), parsed, err)
			}
		}
	}
}

// TestParse_detectsFlippedBytes flips a bit of each byte. Before the last frame,
// and anywhere in the sealed part, that is corruption. The last frame may be a
// torn tail, so none of its records is read then.
func TestParse_detectsFlippedBytes(t *testing.T) {
	file := encodeFrames(7, recordsOf("one"), recordsOf("two", "three"), recordsOf("four"))
	last := len(file) - len(encodeFrame(7, 3, recordsOf("four")))
	for at := range file {
		damaged := bytes.Clone(file)
		damaged[at] ^= 0x10
		parsed, err := parse(damaged)
		if err != nil || (parsed.corruption != nil) != (at < last) || at >= last && len(parsed.records) != 3 {
			t.Fatalf("bit flipped in byte %d: %+v, error %v", at, parsed, err)
		}
		if parsed.corruption != nil && (parsed.corruption.Offset > int64(at) || parsed.corruption.Bytes != int64(len(file)) || parsed.corruption.Reason == "") {
			t.Fatalf("bit flipped in byte %d: wrong offset, length or reason: %+v", at, parsed.corruption)
		}
	}
	sealed := append(make([]byte, headerSize), encodeFrame(7, 1, recordsOf("one"))...)
	copy(sealed, encodeHeader(7, len(sealed)))
	for at := range sealed {
		damaged := bytes.Clone(sealed)
		damaged[at] ^= 0x10
		if parsed, err := parse(damaged); err != nil || parsed.corruption == nil {
			t.Fatalf("bit flipped in byte %d of the sealed part: %+v, error %v", at, parsed, err)
		}
	}
}

// TestParse_unsyncedHoleIsTornTail damages a frame that no sync covered, with
// stale frames after it: one of an earlier file, and one with the same number
// that was truncated before. Neither may make the damage count as corruption.
func TestParse_unsyncedHoleIsTornTail(t *testing.T) {
	synced := encodeFrames(7, recordsOf("one"))
	stale := append(encodeFrame(6, 3, recordsOf("old")), encodeFrame(7, 2, recordsOf("a frame that was cut and lost"))...)
	torn := encodeFrame(7, 2, recordsOf("two", "three", "four"))
	torn[frameHeaderSize+lengthPrefixSize] ^= 1
	for _, tail := range [][]byte{torn, append(torn[:len(torn):len(torn)], stale...)} {
		if parsed, err := parse(append(synced[:len(synced):len(synced)], tail...)); err != nil || parsed.corruption != nil || parsed.length != int64(len(synced)) {
			t.Fatalf("an unsynced damaged frame is not a torn tail: %+v, error %v", parsed, err)
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

// TestParse_recognizesOtherFormats parses a file of a newer version, a file of
// another kind, and a legacy file, whose last record is torn.
func TestParse_recognizesOtherFormats(t *testing.T) {
	if _, err := parse(encodeNewerVersion()); !errors.Is(err, ErrUnsupportedVersion) {
		t.Fatal(err)
	}
	if parsed, err := parse([]byte("PK\x03\x04 something else that is long enough")); err != nil || parsed.corruption == nil {
		t.Fatalf("a file of another kind: %+v, error %v", parsed, err)
	}
	legacy := append(append(encodeLegacy("one"), encodeLegacy("two")...), encodeLegacy("three")[:9]...)
	if parsed, err := parse(legacy); err != nil || !parsed.legacy || len(parsed.records) != 2 || parsed.length != 0 {
		t.Fatalf("a legacy file: %+v, error %v", parsed, err)
	}
}

// TestOpen_leavesNewerFormatUnchanged opens a file of the next format version:
// Open must return a *VersionError and leave the file unchanged.
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
		t.Fatalf("the file was changed to %x, error %v", content, err)
	}
}

// FuzzParse parses arbitrary bytes. The intact part of what is accepted must
// parse to the same result without its tail, and a frame that is appended to it
// must be read.
func FuzzParse(f *testing.F) {
	file := encodeFrames(7, recordsOf("one"), recordsOf("two", "three"))
	f.Add([]byte(nil))
	f.Add(file)
	f.Add(file[:len(file)-3])
	f.Add(append(file[:headerSize:headerSize], make([]byte, 64)...))
	f.Add(encodeLegacy("one"))
	f.Fuzz(func(t *testing.T, content []byte) {
		parsed, err := parse(content)
		if err != nil || parsed.corruption != nil || parsed.legacy {
			return
		}
		if parsed.length > int64(len(content)) {
			t.Fatalf("the intact part has %d bytes, the file only %d", parsed.length, len(content))
		}
		reparsed, err := parse(content[:parsed.length])
		if err != nil || reparsed.corruption != nil || reparsed.frames != parsed.frames || len(reparsed.records) != len(parsed.records) {
			t.Fatalf("without its tail, the file %+v is parsed as %+v, error %v", parsed, reparsed, err)
		}
		next := encodeFrame(parsed.generation, parsed.frames+1, recordsOf("next"))
		if parsed.length > 0 {
			extended, err := parse(append(content[:parsed.length:parsed.length], next...))
			if err != nil || extended.corruption != nil || len(extended.records) != len(parsed.records)+1 {
				t.Fatalf("with a frame appended, the file is parsed as %+v, error %v", extended, err)
			}
		}
	})
}
