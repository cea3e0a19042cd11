package document

import (
	"crypto/ed25519"
	"time"
)

// The spec types hold what a document says, with places, before cross checks.

type spec struct {
	members   []memberSpec
	topology  *topologySpec
	measuring *measuringSpec
	services  []serviceSpec
}

type memberSpec struct {
	name    ref
	keys    []keySpec
	teams   []teamSpec
	tenants []tenantSpec
	limit   int
}

type keySpec struct {
	id     ref
	public ed25519.PublicKey
}

type teamSpec struct {
	name ref
	keys []keySpec
}

type tenantSpec struct {
	name    ref
	home    regionList
	callers []callerSpec
}

type callerSpec struct {
	name  ref
	token hashValue
}

// hashValue is a SHA-256 hash; at.path is empty when it was left out or could not be read.
type hashValue struct {
	sum   [32]byte
	at    spot
	valid bool
}

type topologySpec struct {
	owner   ref
	regions []regionSpec
}

type regionSpec struct {
	name    ref
	domains []ref
}

type measuringSpec struct {
	owner  ref
	within int64
	across int64
}

type serviceSpec struct {
	name        ref
	owner       ref
	credential  hashValue
	claimRegion ref
	workers     int
	slots       int
	connections int
	rules       []ruleSpec
}

type ruleSpec struct {
	at         spot
	name       ref
	methods    []ref
	path       ref
	callers    []ref
	idempotent bool
	keyPolicy  IdempotencyKeyPolicy
	runIn      regionList
	keepIn     regionList
	home       regionList
	deadline   time.Duration
	maxBody    int64
	hedge      bool
}

// regionList is a list of regions that may be left out.
type regionList struct {
	given bool
	refs  []ref
}

func (l regionList) regions() Regions {
	if !l.given {
		return AnyRegion()
	}
	return Regions{Names: sortedNames(l.refs)}
}
