package document

import (
	"crypto/ed25519"
	"time"
)

// The spec types hold the decoded contents of a document with positions, before the cross-checks between sections.

type spec struct {
	members   []memberSpec
	topology  *topologySpec
	measuring *measuringSpec
	services  []serviceSpec
}

type memberSpec struct {
	name    positionedName
	keys    []keySpec
	teams   []teamSpec
	tenants []tenantSpec
	limit   int
}

type keySpec struct {
	id        positionedName
	publicKey ed25519.PublicKey
}

type teamSpec struct {
	name positionedName
	keys []keySpec
}

type tenantSpec struct {
	name        positionedName
	homeRegions regionList
	callers     []callerSpec
}

type callerSpec struct {
	name  positionedName
	token hashValue
}

// hashValue is a SHA-256 hash with its position. The zero value stands for an omitted or invalid hash.
type hashValue struct {
	sum   [32]byte
	at    position
	valid bool
}

type topologySpec struct {
	owner   positionedName
	regions []regionSpec
}

type regionSpec struct {
	name    positionedName
	domains []positionedName
}

type measuringSpec struct {
	owner         positionedName
	withinRegion  int64
	acrossRegions int64
}

type serviceSpec struct {
	name        positionedName
	owner       positionedName
	credential  hashValue
	claimRegion positionedName
	workers     int
	slots       int
	connections int
	rules       []ruleSpec
}

type ruleSpec struct {
	at          position
	name        positionedName
	methods     []positionedName
	path        positionedName
	callers     []positionedName
	idempotent  bool
	keyPolicy   IdempotencyKeyPolicy
	runIn       regionList
	keepIn      regionList
	homeRegions regionList
	deadline    time.Duration
	maxBody     int64
	hedge       bool
}

// regionList is an optional list of regions. An omitted list means all regions.
type regionList struct {
	present bool
	names   []positionedName
}

func (l regionList) regions() Regions {
	if !l.present {
		return AnyRegion()
	}
	return Regions{Names: sortedNames(l.names)}
}
