package membership

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"

	"heatherwall.example/api/gossippb"
)

// maxCompactAgeMs is the highest age in the answer to an equal summary; higher ages are sent as unknown. They exceed
// LostAfter and would need a third byte on the wire.
const maxCompactAgeMs = 1<<14 - 2

// SummaryExchange is an exchange that starts with a summary, which is a hash of the sender's digest.
type SummaryExchange struct {
	Request *gossippb.ExchangeRequest
	// sentDigest is the digest that the summary was computed from; the ages in the answer are in its order.
	sentDigest []*gossippb.OwnerDigest
}

// StartExchange returns an exchange whose request carries the summary of what this gateway knows.
func (r *Registry) StartExchange(now time.Duration) *SummaryExchange {
	digest := r.Digest(now)
	return &SummaryExchange{Request: &gossippb.ExchangeRequest{From: r.self, Summary: r.hashDigest(digest)}, sentDigest: digest}
}

// ExpandAnswer converts the answer to an equal summary to the form of an answer to a digest. An answer that does not match
// the request, for example with another number of ages, expands to an empty one.
func (e *SummaryExchange) ExpandAnswer(a *gossippb.ExchangeAnswer) *gossippb.ExchangeAnswer {
	expanded := &gossippb.ExchangeAnswer{}
	if len(a.GetAges()) != len(e.sentDigest) {
		return expanded
	}
	for i, d := range e.sentDigest {
		age := uint32(unknownAgeMs)
		if a.Ages[i] > 0 {
			age = a.Ages[i] - 1
		}
		expanded.Digest = append(expanded.Digest, &gossippb.OwnerDigest{
			Owner: d.Owner, Incarnation: d.Incarnation, Version: d.Version, AgeMs: age,
		})
	}
	return expanded
}

// answerSummary answers with the ages of heartbeats if the summary equals that of this gateway.
func (r *Registry) answerSummary(now time.Duration, summary uint64) *gossippb.ExchangeAnswer {
	digest := r.Digest(now)
	if r.hashDigest(digest) != summary {
		return &gossippb.ExchangeAnswer{Differs: true}
	}
	a := &gossippb.ExchangeAnswer{Ages: make([]uint32, len(digest))}
	for i, d := range digest {
		if d.AgeMs <= maxCompactAgeMs {
			a.Ages[i] = d.AgeMs + 1
		}
	}
	return a
}

// hashDigest hashes the owners of a digest with their incarnations and versions, and the records beyond these versions.
// If the summaries of two gateways are equal, neither lacks a record that an exchange of digests would transfer.
func (r *Registry) hashDigest(digest []*gossippb.OwnerDigest) uint64 {
	var encoded []byte
	for _, d := range digest {
		encoded = appendVersion(encoded, d.Owner, d.Incarnation, d.Version)
	}
	encoded = appendVersion(encoded, "", math.MaxUint64, 0)
	for _, address := range r.recordAddresses() {
		rec := r.records[address]
		if r.isBeyondKnownVersion(rec) {
			encoded = appendVersion(encoded, address, rec.ownerIncarnation, rec.server.OwnerVersion)
			encoded = append(encoded, rec.server.Owner...)
		}
	}
	sum := sha256.Sum256(encoded)
	return binary.LittleEndian.Uint64(sum[:])
}

// isBeyondKnownVersion reports whether a record is newer than the version up to which its owner's table is completely known.
func (r *Registry) isBeyondKnownVersion(rec *record) bool {
	owner, version := rec.server.Owner, r.tableVersion
	if owner != r.self {
		version = 0
		if v := r.owners[owner]; v != nil {
			version = v.completeUpTo
		}
	}
	return rec.ownerIncarnation == r.incarnationOf(owner) && rec.server.OwnerVersion > version
}

// appendVersion appends a length-prefixed name, an incarnation and a version to the input of the hash.
func appendVersion(encoded []byte, name string, incarnation, version uint64) []byte {
	encoded = binary.LittleEndian.AppendUint32(encoded, uint32(len(name)))
	encoded = append(encoded, name...)
	encoded = binary.LittleEndian.AppendUint64(encoded, incarnation)
	return binary.LittleEndian.AppendUint64(encoded, version)
}
