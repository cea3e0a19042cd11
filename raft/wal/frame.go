package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A frame is a header and a payload. The header, little-endian:
//
//	bytes  0-3   length of the payload in bytes
//	bytes  4-11  sequence number
//	bytes 12-15  CRC-32C over bytes 0 to 11 (validates the length before it is used)
//	bytes 16-19  CRC-32C over bytes 0 to 11 and the payload
const headerBytes = 20

// maxFrameBytes limits the payload of a frame.
const maxFrameBytes = 1 << 30

// sectorBytes is the unit that a disk writes atomically; a torn write can leave sectors that are all zero.
const sectorBytes = 512

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(to []byte, sequence uint64, payload []byte) []byte {
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(header[4:], sequence)
	sum := crc32.Checksum(header[:12], castagnoliTable)
	binary.LittleEndian.PutUint32(header[12:], sum)
	binary.LittleEndian.PutUint32(header[16:], crc32.Update(sum, castagnoliTable, payload))
	to = append(to, header[:]...)
	return append(to, payload...)
}

// frameState is the result of reading a frame.
type frameState int

const (
	frameValid frameState = iota
	// frameTorn: the frame is invalid in a way that a write interrupted by a crash can explain.
	frameTorn
	// frameCorrupt: the frame is invalid in a way that a crash cannot explain.
	frameCorrupt
)

// frame is a decoded frame. size is its length in bytes, including the header.
type frame struct {
	sequence uint64
	payload  []byte
	size     int
}

// readFrame decodes the frame at the offset in the content of a file.
func readFrame(content []byte, offset int) (frame, frameState) {
	rest := content[offset:]
	if len(rest) < headerBytes {
		return frame{}, frameTorn
	}
	sum := crc32.Checksum(rest[:12], castagnoliTable)
	if sum != binary.LittleEndian.Uint32(rest[12:]) {
		return frame{}, classifyInvalidFrame(content, offset, offset+headerBytes)
	}
	size := headerBytes + int(binary.LittleEndian.Uint32(rest))
	if size > len(rest) {
		return frame{}, frameTorn
	}
	payload := rest[headerBytes:size:size]
	if crc32.Update(sum, castagnoliTable, payload) != binary.LittleEndian.Uint32(rest[16:]) {
		return frame{}, classifyInvalidFrame(content, offset, offset+size)
	}
	return frame{sequence: binary.LittleEndian.Uint64(rest[4:]), payload: payload, size: size}, frameValid
}

// classifyInvalidFrame returns frameTorn if the bytes between the offsets contain a sector, or the part of a sector that
// lies between them, that is all zero, as after a torn write; otherwise it returns frameCorrupt.
func classifyInvalidFrame(content []byte, from, to int) frameState {
	for start := from; start < to; {
		end := min((start/sectorBytes+1)*sectorBytes, to)
		if isZero(content[start:end]) {
			return frameTorn
		}
		start = end
	}
	return frameCorrupt
}

func isZero(b []byte) bool {
	for _, v := range b {
		if v != 0 {
			return false
		}
	}
	return true
}

// hasLaterFrame reports whether a valid frame with a higher sequence number starts anywhere after the offset.
func hasLaterFrame(content []byte, offset int, sequence uint64) bool {
	for at := offset + 1; at+headerBytes <= len(content); at++ {
		if binary.LittleEndian.Uint64(content[at+4:]) <= sequence {
			continue
		}
		if _, state := readFrame(content, at); state == frameValid {
			return true
		}
	}
	return false
}
