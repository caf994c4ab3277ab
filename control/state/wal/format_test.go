package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"testing"
)

// written gives a file of frames, one for each list of records.
func written(generation uint64, frames ...[][]byte) []byte {
	content := head(generation, headLength)
	for index, records := range frames {
		content = append(content, frame(generation, uint64(index+1), records)...)
	}
	return content
}

func texts(all ...string) [][]byte {
	var records [][]byte
	for _, text := range all {
		records = append(records, []byte(text))
	}
	return records
}

func plain(record string) []byte {
	made := binary.LittleEndian.AppendUint32(nil, uint32(len(record)))
	made = binary.LittleEndian.AppendUint32(made, crc32.ChecksumIEEE([]byte(record)))
	return append(made, record...)
}

func TestTornTailIsCut(t *testing.T) {
	frames := [][][]byte{texts("one"), texts("two", "three"), texts("four")}
	whole := written(7, frames...)
	for cut := headLength; cut <= len(whole); cut++ {
		ends, records, count := headLength, 0, 0
		for _, framed := range frames {
			next := ends + len(frame(7, 1, framed))
			if next > cut {
				break
			}
			ends, records, count = next, records+len(framed), count+1
		}
		for _, tail := range [][]byte{nil, make([]byte, len(whole)-cut)} {
			read, err := parse(append(whole[:cut:cut], tail...))
			if err != nil || read.damage != nil || len(read.records) != records || read.length != int64(ends) || read.frames != uint64(count) {
				t.Fatalf("cut at %d, %d NULs: %+v %v", cut, len(tail), read, err)
			}
		}
	}
}

// TestSpoiltFileIsDamage flips each byte: before the last frame it is damage,
// in it no record of it is read.
func TestSpoiltFileIsDamage(t *testing.T) {
	whole := written(7, texts("one"), texts("two", "three"), texts("four"))
	last := len(whole) - len(frame(7, 3, texts("four")))
	for at := range whole {
		spoilt := bytes.Clone(whole)
		spoilt[at] ^= 0x10
		read, err := parse(spoilt)
		if err != nil || (read.damage != nil) != (at < last) || at >= last && len(read.records) != 3 {
			t.Fatalf("byte %d: %+v %v", at, read, err)
		}
		if read.damage != nil && (read.damage.Offset > int64(at) || read.damage.Bytes != int64(len(whole)) || read.damage.Reason == "") {
			t.Fatalf("byte %d: %+v", at, read.damage)
		}
	}
	sealed := append(make([]byte, headLength), frame(7, 1, texts("one"))...)
	copy(sealed, head(7, len(sealed)))
	for at := range sealed {
		spoilt := bytes.Clone(sealed)
		spoilt[at] ^= 0x10
		if read, err := parse(spoilt); err != nil || read.damage == nil {
			t.Fatalf("byte %d of what was synced before it had its name: %+v %v", at, read, err)
		}
	}
}

// TestHoleInOneBatchIsNoDamage loses parts of a frame that no sync covered,
// over bytes of an earlier file.
func TestHoleInOneBatchIsNoDamage(t *testing.T) {
	synced := written(7, texts("one"))
	stale := append(frame(6, 3, texts("old")), frame(7, 2, texts("a frame that was cut and lost"))...)
	torn := frame(7, 2, texts("two", "three", "four"))
	torn[frameLength+sizeLength] ^= 1
	for _, tail := range [][]byte{torn, append(torn[:len(torn):len(torn)], stale...)} {
		if read, err := parse(append(synced[:len(synced):len(synced)], tail...)); err != nil || read.damage != nil || read.length != int64(len(synced)) {
			t.Fatalf("%+v %v", read, err)
		}
	}
}

func TestOtherFormatsAreNamed(t *testing.T) {
	newer := head(3, headLength)
	binary.LittleEndian.PutUint32(newer[8:], version+1)
	binary.LittleEndian.PutUint32(newer[headLength-4:], crc32.ChecksumIEEE(newer[:headLength-4]))
	if _, err := parse(newer); !errors.Is(err, ErrVersion) {
		t.Fatal(err)
	}
	if read, err := parse([]byte("PK\x03\x04 something else that is long enough")); err != nil || read.damage == nil {
		t.Fatalf("%+v %v", read, err)
	}
	old := append(append(plain("one"), plain("two")...), plain("three")[:9]...)
	if read, err := parse(old); err != nil || !read.plain || len(read.records) != 2 || read.length != 0 {
		t.Fatalf("%+v %v", read, err)
	}
}

// FuzzParse reads anything; what is read once reads the same without its tail.
func FuzzParse(f *testing.F) {
	whole := written(7, texts("one"), texts("two", "three"))
	f.Add([]byte(nil))
	f.Add(whole)
	f.Add(whole[:len(whole)-3])
	f.Add(append(whole[:headLength:headLength], make([]byte, 64)...))
	f.Add(plain("one"))
	f.Fuzz(func(t *testing.T, content []byte) {
		read, err := parse(content)
		if err != nil || read.damage != nil || read.plain {
			return
		}
		if read.length > int64(len(content)) {
			t.Fatalf("%d of %d bytes", read.length, len(content))
		}
		again, err := parse(content[:read.length])
		if err != nil || again.damage != nil || again.frames != read.frames || len(again.records) != len(read.records) {
			t.Fatalf("%+v and %+v, %v", read, again, err)
		}
		next := frame(read.generation, read.frames+1, texts("next"))
		if read.length > 0 {
			more, err := parse(append(content[:read.length:read.length], next...))
			if err != nil || more.damage != nil || len(more.records) != len(read.records)+1 {
				t.Fatalf("%+v, %v", more, err)
			}
		}
	})
}
