package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A file begins with a head: mark, version, generation (one more than that of
// the file before it), how many bytes were synced before the file got its name,
// and a checksum. Its layout is the same in all versions. Frames follow, one to
// a sync: mark, generation, running number from 1, length, a checksum over all
// of it, and records with their lengths.
//
// A frame is written only after the sync of the one before it returned. So a
// whole frame behind a spoilt one proves that the spoilt one was synced: that
// is damage. Bytes that no sync covered may be kept, lost or torn in any order,
// but lie within the last frame: without a whole one behind it, it is torn.
const (
	version     = 1
	headLength  = 32
	frameLength = 28
	sizeLength  = 4
	// recordLimit is the longest record; a frame takes records up to the one that
	// passes batchLimit.
	recordLimit = 32 << 20
	batchLimit  = 4 << 20
	frameLimit  = batchLimit + sizeLength + recordLimit
)

var (
	headMark  = []byte("onyxjrnl")
	frameMark = []byte{0xf7, 'o', 'j', 'f'}
)

// ErrVersion is told of a file that a newer or older program wrote in a format
// that this one does not read; the file is left as it is.
var ErrVersion = errors.New("journal: a format that this program does not read")

// Damage is what was found wrong with a file that had been whole.
type Damage struct {
	// File is its name, Aside the one that it is kept under now.
	File, Aside string
	// Offset is where the first spoilt byte lies at the earliest; Bytes is how
	// long the file is.
	Offset, Bytes int64
	// Reason is a text for people.
	Reason string
}

// reading is what a file's bytes say.
type reading struct {
	records    [][]byte
	generation uint64
	// frames is how many whole frames there are, in the first length bytes.
	frames uint64
	length int64
	// plain says that the file is of the time before there was a head.
	plain  bool
	damage *Damage
}

func head(generation uint64, sealed int) []byte {
	made := append([]byte(nil), headMark...)
	made = binary.LittleEndian.AppendUint32(made, version)
	made = binary.LittleEndian.AppendUint64(made, generation)
	made = binary.LittleEndian.AppendUint64(made, uint64(sealed))
	return binary.LittleEndian.AppendUint32(made, crc32.ChecksumIEEE(made))
}

func frame(generation uint64, number uint64, records [][]byte) []byte {
	made := frameBegin(generation)
	made = binary.LittleEndian.AppendUint64(made, number)
	size := 0
	for _, record := range records {
		size += sizeLength + len(record)
	}
	made = binary.LittleEndian.AppendUint32(made, uint32(size))
	made = append(made, make([]byte, 4)...)
	for _, record := range records {
		made = binary.LittleEndian.AppendUint32(made, uint32(len(record)))
		made = append(made, record...)
	}
	binary.LittleEndian.PutUint32(made[frameLength-4:], checksum(made))
	return made
}

func frameBegin(generation uint64) []byte {
	return binary.LittleEndian.AppendUint64(append([]byte(nil), frameMark...), generation)
}

// checksum covers a frame but for the checksum itself.
func checksum(frame []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(frame[:frameLength-4]), crc32.IEEETable, frame[frameLength:])
}

// unframe reads the frame that the bytes begin with.
func unframe(content []byte, generation uint64) (number uint64, records [][]byte, length int64, whole bool) {
	if len(content) < frameLength || !bytes.HasPrefix(content, frameBegin(generation)) {
		return 0, nil, 0, false
	}
	number = binary.LittleEndian.Uint64(content[12:])
	size := int64(binary.LittleEndian.Uint32(content[20:]))
	length = frameLength + size
	if size > frameLimit || length > int64(len(content)) {
		return 0, nil, 0, false
	}
	if checksum(content[:length]) != binary.LittleEndian.Uint32(content[frameLength-4:]) {
		return 0, nil, 0, false
	}
	rest := content[frameLength:length]
	for len(rest) >= sizeLength {
		size := int64(binary.LittleEndian.Uint32(rest))
		if size > int64(len(rest)-sizeLength) {
			break
		}
		records = append(records, rest[sizeLength:sizeLength+size])
		rest = rest[sizeLength+size:]
	}
	return number, records, length, len(rest) == 0
}

// parse reads a file: its records up to the torn tail, or what damage it has.
func parse(content []byte) (reading, error) {
	if len(content) == 0 {
		return reading{}, nil
	}
	if !bytes.HasPrefix(content, headMark) {
		if records := parsePlain(content); len(records) > 0 {
			return reading{records: records, plain: true}, nil
		}
		return reading{damage: damaged(content, 0, "foreign, or the head is spoilt")}, nil
	}
	if len(content) < headLength || crc32.ChecksumIEEE(content[:headLength-4]) != binary.LittleEndian.Uint32(content[headLength-4:]) {
		return reading{damage: damaged(content, 0, "the head is spoilt")}, nil
	}
	if found := binary.LittleEndian.Uint32(content[8:]); found != version {
		return reading{}, fmt.Errorf("%w: version %d, not %d", ErrVersion, found, version)
	}
	read := reading{generation: binary.LittleEndian.Uint64(content[12:]), length: headLength}
	sealed := binary.LittleEndian.Uint64(content[20:])
	for {
		number, records, length, whole := unframe(content[read.length:], read.generation)
		if !whole || number != read.frames+1 {
			break
		}
		read.records, read.frames, read.length = append(read.records, records...), number, read.length+length
	}
	if uint64(read.length) < sealed {
		read.damage = damaged(content, read.length, "what was synced before the file got its name is spoilt")
	} else if follows(content[read.length:], read.generation, read.frames+1) {
		read.damage = damaged(content, read.length, "whole records follow a spoilt one")
	}
	return read, nil
}

func damaged(content []byte, offset int64, reason string) *Damage {
	return &Damage{Offset: offset, Bytes: int64(len(content)), Reason: reason}
}

// follows tells whether a whole frame with a higher number stands anywhere.
func follows(content []byte, generation uint64, number uint64) bool {
	begin := frameBegin(generation)
	for at := bytes.Index(content, begin); at >= 0; {
		if found, _, _, whole := unframe(content[at:], generation); whole && found > number {
			return true
		}
		next := bytes.Index(content[at+1:], begin)
		if next < 0 {
			return false
		}
		at += 1 + next
	}
	return false
}

// parsePlain reads a file of the time before there was a head: each record has
// a length and a checksum of its own, and a torn tail is left out.
func parsePlain(content []byte) [][]byte {
	const plainLength = 8
	var records [][]byte
	for len(content) >= plainLength {
		size := int64(binary.LittleEndian.Uint32(content))
		if size == 0 || size > recordLimit || size > int64(len(content)-plainLength) {
			break
		}
		record := content[plainLength : plainLength+size]
		if crc32.ChecksumIEEE(record) != binary.LittleEndian.Uint32(content[4:]) {
			break
		}
		records = append(records, record)
		content = content[plainLength+size:]
	}
	return records
}
