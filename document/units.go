package document

import (
	"strconv"
	"strings"
)

// sizeUnits lists longer suffixes first, so that 1MiB is not parsed as a number of B.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// parseSize parses a size such as 512B, 12KiB or 1MiB and returns the number of bytes.
func parseSize(text string) (int64, bool) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 32)
		return int64(n) * u.bytes, err == nil
	}
	return 0, false
}
