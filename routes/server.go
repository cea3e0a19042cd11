package routes

import (
	"fmt"
	"net/netip"
	"strings"
	"unicode"
	"unicode/utf8"

	"heatherwall.example/api/controlpb"
)

// Limits of the record of a backend server.
const (
	// MaxNameBytes limits identifiers, names of services and versions of software.
	MaxNameBytes = 256
	// MaxSlots limits the number of requests that a backend server runs at once.
	MaxSlots = 1 << 16
	// MaxColdMs limits the remaining time of a cold start, in milliseconds.
	MaxColdMs = 3600 * 1000
	// MaxSequence limits sequences and incarnations; every reader of JSON represents integers up to here exactly.
	MaxSequence = 1<<53 - 1
)

// InvalidServerError reports an invalid field of the record of a backend server. Such a record names no server to use.
type InvalidServerError struct {
	Field string
	// Expected describes a valid value.
	Expected string
}

func (e *InvalidServerError) Error() string {
	return fmt.Sprintf("backend server: %s: expected %s", e.Field, e.Expected)
}

// ValidateServer checks the record of a backend server. The error is an *InvalidServerError that reports the first
// invalid field.
func ValidateServer(s *controlpb.BackendServer) error {
	if err := ValidateServerID(s.GetId()); err != nil {
		return err
	}
	switch {
	case !isName(s.GetService()):
		return &InvalidServerError{Field: "service", Expected: expectedName}
	case !isServerAddress(s.GetAddress()):
		return &InvalidServerError{Field: "address", Expected: "the address and port of one host"}
	case !utf8.ValidString(s.GetVersion()) || len(s.GetVersion()) > MaxNameBytes:
		return &InvalidServerError{Field: "version", Expected: fmt.Sprintf("at most %d bytes of UTF-8", MaxNameBytes)}
	case s.GetSlots() > MaxSlots:
		return &InvalidServerError{Field: "slots", Expected: fmt.Sprintf("at most %d", MaxSlots)}
	case s.GetColdMs() > MaxColdMs:
		return &InvalidServerError{Field: "cold start", Expected: fmt.Sprintf("at most %d ms", MaxColdMs)}
	case s.GetSequence() > MaxSequence:
		return &InvalidServerError{Field: "sequence", Expected: fmt.Sprintf("at most %d", uint64(MaxSequence))}
	}
	return ValidateIncarnation(s.GetIncarnation())
}

// ValidateServerID checks the identifier of a backend server, which gateways send in a header. The error is an
// *InvalidServerError.
func ValidateServerID(id string) error {
	if !isName(id) {
		return &InvalidServerError{Field: "identifier", Expected: expectedName}
	}
	return nil
}

// ValidateIncarnation checks the incarnation of a backend server. The error is an *InvalidServerError.
func ValidateIncarnation(incarnation uint64) error {
	if incarnation > MaxSequence {
		return &InvalidServerError{Field: "incarnation", Expected: fmt.Sprintf("at most %d", uint64(MaxSequence))}
	}
	return nil
}

const expectedName = "1 to 256 bytes of UTF-8 without control characters, and without spaces at the ends"

func isName(text string) bool {
	return text != "" && len(text) <= MaxNameBytes && utf8.ValidString(text) && strings.TrimSpace(text) == text &&
		strings.IndexFunc(text, unicode.IsControl) < 0
}

// isServerAddress reports whether the text is the address and port of one host, in the only form that does not depend on
// the network interface of the reader. Loopback addresses are permitted, because local setups use them.
func isServerAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return false
	}
	ip := a.Addr()
	broadcast := ip == netip.AddrFrom4([4]byte{255, 255, 255, 255})
	return !ip.IsUnspecified() && !ip.IsMulticast() && !broadcast && ip.Zone() == "" && !ip.Is4In6()
}
