package headscan

// chunkLength is the length of the current chunk.
type chunkLength struct {
	// bytes is the length as read so far and, in the data, what is left of it.
	bytes uint64
	// digits is the number of digits read.
	digits int
}

// maxChunkDigits is the number of digits in the largest length of a chunk.
const maxChunkDigits = 16

// scanChunkPart passes over the bytes of p that belong to the current part of a chunk, and returns their number. Framing that
// net/http rejects ends the checks.
func (s *Scanner) scanChunkPart(p []byte) (n int) {
	switch s.state {
	case chunkSize:
		return s.scanChunkSize(p[0])
	case chunkExtension:
		if n = s.skipLine(p, chunkData); s.state == chunkData {
			s.endChunkSize()
		}
		return n
	case chunkData:
		return s.skipChunkData(p)
	case chunkDataEnd:
		return s.skipLine(p, chunkSize)
	}
	s.state = unchecked
	return 0
}

// scanChunkSize reads a byte of the length of a chunk.
func (s *Scanner) scanChunkSize(b byte) (n int) {
	digit, ok := hexDigit(b)
	switch {
	case ok && s.chunk.digits < maxChunkDigits:
		s.chunk.bytes = s.chunk.bytes<<4 | digit
		s.chunk.digits++
		return 1
	case ok || s.chunk.digits == 0:
		s.state = unchecked
		return 0
	}
	s.state = chunkExtension
	return 0
}

// endChunkSize is called at the end of the line with the length of a chunk. The last chunk has the length 0 and is followed by
// the trailers.
func (s *Scanner) endChunkSize() {
	if s.chunk.bytes > 0 {
		return
	}
	s.trailer = true
	s.state = lineStart
}

func (s *Scanner) skipChunkData(p []byte) (n int) {
	n = int(min(uint64(len(p)), s.chunk.bytes))
	s.chunk.bytes -= uint64(n)
	if s.chunk.bytes == 0 {
		s.chunk = chunkLength{}
		s.state = chunkDataEnd
	}
	return n
}

func hexDigit(b byte) (value uint64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return uint64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return uint64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return uint64(b-'A') + 10, true
	}
	return 0, false
}
