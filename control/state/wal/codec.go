package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A file begins with a header, whose layout is the same in all versions: magic,
// version, generation (one more than that of the file it replaced), sealed length
// (the number of bytes that were synced before the file got its name) and a
// checksum. Frames follow, each with magic, generation, number (counted from 1),
// payload size, a checksum over the rest of the frame, and its records, each
// preceded by its size. Integers are little-endian; checksums are CRC-32 (IEEE).
//
// After the sealed part there is one frame per sync, and a frame is written only
// after the sync of the previous one has returned. An intact frame after a
// damaged one therefore proves that the damaged one had been synced, so the file
// is corrupted. After a crash, unsynced bytes may be present, lost or torn in any
// order, but all of them belong to the last frame: a damaged frame without an
// intact one after it is a torn tail.
const (
	formatVersion    = 1
	headerSize       = 32
	frameHeaderSize  = 28
	lengthPrefixSize = 4
	checksumSize     = 4
	// maxRecordBytes bounds a record. Records are added to a frame until it
	// reaches maxBatchBytes, which the last one may exceed.
	maxRecordBytes = 32 << 20
	maxBatchBytes  = 4 << 20
	maxFrameBytes  = maxBatchBytes + lengthPrefixSize + maxRecordBytes

	// Field offsets in the file header.
	versionOffset          = 8
	headerGenerationOffset = 12
	sealedOffset           = 20
	// Field offsets in a frame header.
	frameNumberOffset = 12
	frameSizeOffset   = 20
)

var (
	fileMagic  = []byte("onyxjrnl")
	frameMagic = []byte{0xf7, 'o', 'j', 'f'}
)

// parsedFile is the result of parsing a file.
type parsedFile struct {
	records    [][]byte
	generation uint64
	// frames is the number of intact frames, length the offset at which the last
	// of them ends.
	frames uint64
	length int64
	// legacy means that the file has no header, as in the format before version
	// 1.
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

// encodeFile returns a file that contains the records and is sealed over its
// whole length, and the number of its frames.
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

// framePrefix returns the bytes with which every frame of a generation begins.
func framePrefix(generation uint64) []byte {
	return binary.LittleEndian.AppendUint64(append([]byte(nil), frameMagic...), generation)
}

// checksum returns the checksum of a frame, which covers everything except the
// checksum field itself.
func checksum(frame []byte) uint32 {
	return crc32.Update(crc32.ChecksumIEEE(frame[:frameHeaderSize-checksumSize]), crc32.IEEETable, frame[frameHeaderSize:])
}

// decodeFrame decodes the frame at the start of content; intact is false if there
// is no valid frame.
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

// parse decodes a file: its records up to a torn tail, or its corruption. The
// only error is a *VersionError, which does not name the file yet.
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
		parsed.corruption = newCorruption(content, parsed.length, "intact frame after a damaged one")
	}
	return parsed, nil
}

// parseFrames decodes the consecutive frames after the header.
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

// intactFrameFollows reports whether content has, at any offset, an intact frame
// with a number higher than the given one.
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

// parseLegacy decodes a file without a header, in which each record is preceded
// by its size and its checksum. A torn tail is dropped.
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
