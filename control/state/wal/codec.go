package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A file begins with a header: magic, version, generation (one more than that of
// the file before it), sealed length (the bytes that were synced before the file
// got its name), and a checksum. Its layout is the same in all versions. Frames
// follow, one per sync: magic, generation, number counted from 1, payload size, a
// checksum over all of it, and records, each behind its size. Integers are
// little-endian, checksums are CRC-32 (IEEE).
//
// A frame is written only after the sync of the one before it returned. So an
// intact frame behind a damaged one proves that the damaged one had been synced:
// that is corruption. Bytes that no sync covered may be kept, lost or torn in any
// order, but lie within the last frame: with no intact frame behind it, a damaged
// frame is a torn tail.
const (
	formatVersion    = 1
	headerSize       = 32
	frameHeaderSize  = 28
	lengthPrefixSize = 4
	checksumSize     = 4
	// maxRecordBytes bounds a record; a frame takes records up to the one that
	// passes maxBatchBytes.
	maxRecordBytes = 32 << 20
	maxBatchBytes  = 4 << 20
	maxFrameBytes  = maxBatchBytes + lengthPrefixSize + maxRecordBytes

	// Offsets in a header.
	versionOffset          = 8
	headerGenerationOffset = 12
	sealedOffset           = 20
	// Offsets in a frame header.
	frameNumberOffset = 12
	frameSizeOffset   = 20
)

var (
	fileMagic  = []byte("onyxjrnl")
	frameMagic = []byte{0xf7, 'o', 'j', 'f'}
)

// parsedFile is what the bytes of a file stand for.
type parsedFile struct {
	records    [][]byte
	generation uint64
	// frames counts the intact frames, length is where the last of them ends.
	frames uint64
	length int64
	// legacy means that the file has no header: the format before version 1.
	legacy     bool
	corruption *Corruption
}

func encodeHeader(generation uint64, sealed int) []byte {
	header := append([]byte(nil), fileMagic...)
	header = binary.LittleEndian.AppendUint32(header, formatVersion)
	header = binary.LittleEndian.AppendUint64(header, generation)
	header = binary.LittleEndian.AppendUint64(header, uint64(sealed))
	return binary.LittleEndian.AppendUint32(header, crc32.ChecksumIEEE(header))
}

func encodeFrame(generation uint64, number uint64, records [][]byte) []byte {
	frame := framePrefix(generation)
	frame = binary.LittleEndian.AppendUint64(frame, number)
	size := 0
	for _, record := range records {
		size += lengthPrefixSize + len(record)
	}
	frame = binary.LittleEndian.AppendUint32(frame, uint32(size))
	frame = append(frame, make([]byte, checksumSize)...)
	for _, record := range records {
		frame = binary.LittleEndian.AppendUint32(frame, uint32(len(record)))
		frame = append(frame, record...)
	}
	binary.LittleEndian.PutUint32(frame[frameHeaderSize-checksumSize:], checksum(frame))
	return frame
}

// encodeFile returns a sealed file of the records, and the number of its frames.
func encodeFile(generation uint64, records [][]byte) (content []byte, frames uint64) {
	content = make([]byte, headerSize)
	for len(records) > 0 {
		count, size := 0, 0
		for count < len(records) && size < maxBatchBytes {
			size += lengthPrefixSize + len(records[count])
			count++
		}
		frames++
		content = append(content, encodeFrame(generation, frames, records[:count])...)
		records = records[count:]
	}
	copy(content, encodeHeader(generation, len(content)))
	return content, frames
}

// framePrefix is what all frames of a generation begin with.
func framePrefix(generation uint64) []byte {
	return binary.LittleEndian.AppendUint64(append([]byte(nil), frameMagic...), generation)
}

// checksum covers a frame except for the checksum itself.
func checksum(frame []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(frame[:frameHeaderSize-checksumSize]), crc32.IEEETable, frame[frameHeaderSize:])
}

// decodeFrame reads the frame that the content begins with; intact is false if
// there is none.
func decodeFrame(content []byte, generation uint64) (number uint64, records [][]byte, length int64, intact bool) {
	if len(content) < frameHeaderSize || !bytes.HasPrefix(content, framePrefix(generation)) {
		return 0, nil, 0, false
	}
	number = binary.LittleEndian.Uint64(content[frameNumberOffset:])
	size := int64(binary.LittleEndian.Uint32(content[frameSizeOffset:]))
	length = frameHeaderSize + size
	if size > maxFrameBytes || length > int64(len(content)) {
		return 0, nil, 0, false
	}
	if checksum(content[:length]) != binary.LittleEndian.Uint32(content[frameHeaderSize-checksumSize:]) {
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

// parse reads a file: its records up to a torn tail, or its corruption. The error
// is a *VersionError without the name of the file.
func parse(content []byte) (parsedFile, error) {
	if len(content) == 0 {
		return parsedFile{}, nil
	}
	if !bytes.HasPrefix(content, fileMagic) {
		if records := parseLegacy(content); len(records) > 0 {
			return parsedFile{records: records, legacy: true}, nil
		}
		return parsedFile{corruption: newCorruption(content, 0, "foreign file or damaged header")}, nil
	}
	if len(content) < headerSize || crc32.ChecksumIEEE(content[:headerSize-checksumSize]) != binary.LittleEndian.Uint32(content[headerSize-checksumSize:]) {
		return parsedFile{corruption: newCorruption(content, 0, "damaged header")}, nil
	}
	if found := binary.LittleEndian.Uint32(content[versionOffset:]); found != formatVersion {
		return parsedFile{}, &VersionError{Found: found, Want: formatVersion}
	}
	parsed := parseFrames(content, binary.LittleEndian.Uint64(content[headerGenerationOffset:]))
	sealed := binary.LittleEndian.Uint64(content[sealedOffset:])
	if uint64(parsed.length) < sealed {
		parsed.corruption = newCorruption(content, parsed.length, "damaged frame in the sealed part")
	} else if intactFrameFollows(content[parsed.length:], parsed.generation, parsed.frames+1) {
		parsed.corruption = newCorruption(content, parsed.length, "intact frame behind a damaged one")
	}
	return parsed, nil
}

// parseFrames reads the successive frames behind the header.
func parseFrames(content []byte, generation uint64) parsedFile {
	parsed := parsedFile{generation: generation, length: headerSize}
	for {
		number, records, length, intact := decodeFrame(content[parsed.length:], generation)
		if !intact || number != parsed.frames+1 {
			return parsed
		}
		parsed.records = append(parsed.records, records...)
		parsed.frames, parsed.length = number, parsed.length+length
	}
}

func newCorruption(content []byte, offset int64, reason string) *Corruption {
	return &Corruption{Offset: offset, Bytes: int64(len(content)), Reason: reason}
}

// intactFrameFollows reports whether an intact frame with a higher number stands
// anywhere in the content.
func intactFrameFollows(content []byte, generation uint64, number uint64) bool {
	prefix := framePrefix(generation)
	for at := bytes.Index(content, prefix); at >= 0; {
		if found, _, _, intact := decodeFrame(content[at:], generation); intact && found > number {
			return true
		}
		next := bytes.Index(content[at+1:], prefix)
		if next < 0 {
			return false
		}
		at += 1 + next
	}
	return false
}

// parseLegacy reads a file without a header: each record stands behind its size
// and its checksum, and a torn tail is left out.
func parseLegacy(content []byte) [][]byte {
	const recordHeaderSize = lengthPrefixSize + checksumSize
	var records [][]byte
	for len(content) >= recordHeaderSize {
		size := int64(binary.LittleEndian.Uint32(content))
		if size == 0 || size > maxRecordBytes || size > int64(len(content)-recordHeaderSize) {
			break
		}
		record := content[recordHeaderSize : recordHeaderSize+size]
		if crc32.ChecksumIEEE(record) != binary.LittleEndian.Uint32(content[lengthPrefixSize:]) {
			break
		}
		records = append(records, record)
		content = content[recordHeaderSize+size:]
	}
	return records
}
