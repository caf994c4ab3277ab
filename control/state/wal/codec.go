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
	formatVersion    = 1
	headerSize       = 32
	frameHeaderSize  = 28
	lengthPrefixSize = 4
	// maxRecordBytes is the longest record; a frame takes records up to the one that
	// passes maxBatchBytes.
	maxRecordBytes = 32 << 20
	maxBatchBytes  = 4 << 20
	maxFrameBytes  = maxBatchBytes + lengthPrefixSize + maxRecordBytes
)

var (
	fileMagic  = []byte("onyxjrnl")
	frameMagic = []byte{0xf7, 'o', 'j', 'f'}
)

// ErrUnsupportedVersion is told of a file that a newer or older program wrote in a format
// that this one does not read; the file is left as it is.
var ErrUnsupportedVersion = errors.New("journal: a format that this program does not read")

// Corruption is what was found wrong with a file that had been whole.
type Corruption struct {
	// File is its name, Aside the one that it is kept under now.
	File, QuarantinedAs string
	// Offset is where the first spoilt byte lies at the earliest; Bytes is how
	// long the file is.
	Offset, Bytes int64
	// Reason is a text for people.
	Reason string
}

// fileContents is what a file's bytes say.
type fileContents struct {
	records    [][]byte
	generation uint64
	// frames is how many whole frames there are, in the first length bytes.
	frames uint64
	length int64
	// legacy says that the file is of the time before there was a head.
	legacy     bool
	corruption *Corruption
}

func encodeHeader(generation uint64, sealed int) []byte {
	made := append([]byte(nil), fileMagic...)
	made = binary.LittleEndian.AppendUint32(made, formatVersion)
	made = binary.LittleEndian.AppendUint64(made, generation)
	made = binary.LittleEndian.AppendUint64(made, uint64(sealed))
	return binary.LittleEndian.AppendUint32(made, crc32.ChecksumIEEE(made))
}

func encodeFrame(generation uint64, number uint64, records [][]byte) []byte {
	made := framePrefix(generation)
	made = binary.LittleEndian.AppendUint64(made, number)
	size := 0
	for _, record := range records {
		size += lengthPrefixSize + len(record)
	}
	made = binary.LittleEndian.AppendUint32(made, uint32(size))
	made = append(made, make([]byte, 4)...)
	for _, record := range records {
		made = binary.LittleEndian.AppendUint32(made, uint32(len(record)))
		made = append(made, record...)
	}
	binary.LittleEndian.PutUint32(made[frameHeaderSize-4:], checksum(made))
	return made
}

func framePrefix(generation uint64) []byte {
	return binary.LittleEndian.AppendUint64(append([]byte(nil), frameMagic...), generation)
}

// checksum covers a frame but for the checksum itself.
func checksum(frame []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(frame[:frameHeaderSize-4]), crc32.IEEETable, frame[frameHeaderSize:])
}

// decodeFrame reads the frame that the bytes begin with.
func decodeFrame(content []byte, generation uint64) (number uint64, records [][]byte, length int64, whole bool) {
	if len(content) < frameHeaderSize || !bytes.HasPrefix(content, framePrefix(generation)) {
		return 0, nil, 0, false
	}
	number = binary.LittleEndian.Uint64(content[12:])
	size := int64(binary.LittleEndian.Uint32(content[20:]))
	length = frameHeaderSize + size
	if size > maxFrameBytes || length > int64(len(content)) {
		return 0, nil, 0, false
	}
	if checksum(content[:length]) != binary.LittleEndian.Uint32(content[frameHeaderSize-4:]) {
		return 0, nil, 0, false
	}
	rest := content[frameHeaderSize:length]
	for len(rest) >= lengthPrefixSize {
		size := int64(binary.LittleEndian.Uint32(rest))
		if size > int64(len(rest)-lengthPrefixSize) {
			break
		}
		records = append(records, rest[lengthPrefixSize:lengthPrefixSize+size])
		rest = rest[lengthPrefixSize+size:]
	}
	return number, records, length, len(rest) == 0
}

// parse reads a file: its records up to the torn tail, or what damage it has.
func parse(content []byte) (fileContents, error) {
	if len(content) == 0 {
		return fileContents{}, nil
	}
	if !bytes.HasPrefix(content, fileMagic) {
		if records := parseLegacy(content); len(records) > 0 {
			return fileContents{records: records, legacy: true}, nil
		}
		return fileContents{corruption: newCorruption(content, 0, "foreign, or the head is spoilt")}, nil
	}
	if len(content) < headerSize || crc32.ChecksumIEEE(content[:headerSize-4]) != binary.LittleEndian.Uint32(content[headerSize-4:]) {
		return fileContents{corruption: newCorruption(content, 0, "the head is spoilt")}, nil
	}
	if found := binary.LittleEndian.Uint32(content[8:]); found != formatVersion {
		return fileContents{}, fmt.Errorf("%w: version %d, not %d", ErrUnsupportedVersion, found, formatVersion)
	}
	read := fileContents{generation: binary.LittleEndian.Uint64(content[12:]), length: headerSize}
	sealed := binary.LittleEndian.Uint64(content[20:])
	for {
		number, records, length, whole := decodeFrame(content[read.length:], read.generation)
		if !whole || number != read.frames+1 {
			break
		}
		read.records, read.frames, read.length = append(read.records, records...), number, read.length+length
	}
	if uint64(read.length) < sealed {
		read.corruption = newCorruption(content, read.length, "what was synced before the file got its name is spoilt")
	} else if intactFrameFollows(content[read.length:], read.generation, read.frames+1) {
		read.corruption = newCorruption(content, read.length, "whole records follow a spoilt one")
	}
	return read, nil
}

func newCorruption(content []byte, offset int64, reason string) *Corruption {
	return &Corruption{Offset: offset, Bytes: int64(len(content)), Reason: reason}
}

// intactFrameFollows tells whether a whole frame with a higher number stands anywhere.
func intactFrameFollows(content []byte, generation uint64, number uint64) bool {
	begin := framePrefix(generation)
	for at := bytes.Index(content, begin); at >= 0; {
		if found, _, _, whole := decodeFrame(content[at:], generation); whole && found > number {
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

// parseLegacy reads a file of the time before there was a head: each record has
// a length and a checksum of its own, and a torn tail is left out.
func parseLegacy(content []byte) [][]byte {
	const plainLength = 8
	var records [][]byte
	for len(content) >= plainLength {
		size := int64(binary.LittleEndian.Uint32(content))
		if size == 0 || size > maxRecordBytes || size > int64(len(content)-plainLength) {
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
