package membership

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"

	"heatherwall.example/api/gossippb"
)

// maxCompactAge is the highest age in ms in the answer to an equal summary. A higher one is far beyond LostAfter and
// takes a third byte.
const maxCompactAge = 1<<14 - 2

// SummaryExchange is an exchange that starts with a summary.
type SummaryExchange struct {
	Request *gossippb.ExchangeRequest
	// digest is what the summary stands for; the ages of the answer are in its order.
	digest []*gossippb.OwnerDigest
}

// StartExchange starts an exchange by the summary of what this gateway knows.
func (r *Registry) StartExchange(now time.Duration) *SummaryExchange {
	digest := r.Digest(now)
	return &SummaryExchange{Request: &gossippb.ExchangeRequest{From: r.self, Summary: r.summary(digest)}, digest: digest}
}

// ExpandAnswer turns the answer to an opening into the one that a digest would have got. An answer that does not fit the
// opening expands to one that tells nothing.
func (o *SummaryExchange) ExpandAnswer(a *gossippb.ExchangeAnswer) *gossippb.ExchangeAnswer {
	expanded := &gossippb.ExchangeAnswer{}
	if len(a.GetAges()) != len(o.digest) {
		return expanded
	}
	for i, d := range o.digest {
		age := uint32(unknownAge)
		if a.Ages[i] > 0 {
			age = a.Ages[i] - 1
		}
		expanded.Digest = append(expanded.Digest, &gossippb.OwnerDigest{
			Owner: d.Owner, Incarnation: d.Incarnation, Version: d.Version, AgeMs: age,
		})
	}
	return expanded
}

// answerSummary answers with the ages of heartbeats if both sides know the same.
func (r *Registry) answerSummary(now time.Duration, summary uint64) *gossippb.ExchangeAnswer {
	digest := r.Digest(now)
	if r.summary(digest) != summary {
		return &gossippb.ExchangeAnswer{Differs: true}
	}
	a := &gossippb.ExchangeAnswer{Ages: make([]uint32, len(digest))}
	for i, d := range digest {
		if d.AgeMs <= maxCompactAge {
			a.Ages[i] = d.AgeMs + 1
		}
	}
	return a
}

// summary hashes the owners of a digest with their incarnations and versions, and the records beyond these versions.
// Gateways with equal summaries have no MissingRecords for each other's digest.
func (r *Registry) summary(digest []*gossippb.OwnerDigest) uint64 {
	var text []byte
	for _, d := range digest {
		text = appendKey(text, d.Owner, d.Incarnation, d.Version)
	}
	text = appendKey(text, "", math.MaxUint64, 0)
	for _, address := range r.addresses() {
		rec := r.records[address]
		if r.beyond(rec) {
			text = appendKey(text, address, rec.vouchIncarnation, rec.server.OwnerVersion)
			text = append(text, rec.server.Owner...)
		}
	}
	sum := sha256.Sum256(text)
	return binary.LittleEndian.Uint64(sum[:])
}

// beyond tells that a record is newer than the version up to which its owner's table is known.
func (r *Registry) beyond(rec *record) bool {
	owner, version := rec.server.Owner, r.version
	if owner != r.self {
		version = 0
		if v := r.owners[owner]; v != nil {
			version = v.version
		}
	}
	return rec.vouchIncarnation == r.incarnationOf(owner) && rec.server.OwnerVersion > version
}

func appendKey(text []byte, name string, incarnation, version uint64) []byte {
	text = binary.LittleEndian.AppendUint32(text, uint32(len(name)))
	text = append(text, name...)
	text = binary.LittleEndian.AppendUint64(text, incarnation)
	return binary.LittleEndian.AppendUint64(text, version)
}
