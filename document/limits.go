package document

import "time"

// FormatVersion is the only supported value of the format field.
const FormatVersion = 1

// Limits of a document. MaxListItems also limits the fields of a mapping, such as the tenants of a member.
const (
	MaxDocumentBytes = 1 << 20
	MaxSectionBytes  = 128 << 10
	MaxNameBytes     = 63
	MaxListItems     = 1000
	MaxPathBytes     = 512
	MaxBodyBytes     = 16 << 20
	MaxDeadline      = 10 * time.Minute
	MinDeadline      = time.Millisecond
)

// DefaultMaxBodyBytes limits a request body if the rule has no max_body field.
const DefaultMaxBodyBytes = 1 << 20

const (
	maxWorkers       = 100_000
	maxSlots         = 10_000
	maxConnections   = 100_000
	maxMemberLimit   = 1_000_000
	maxMeasuringRate = 1 << 30 // bytes per second
	maxTextBytes     = 4096    // in a scalar or a key file
)
