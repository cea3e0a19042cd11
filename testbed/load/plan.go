package load

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

// request is one planned request; its sendings share it.
type request struct {
	sequence uint64
	id       string
	// keyBits are the random bits of the key; its time is that of the first sending.
	keyBits [10]byte
	target  *Target
	body    []byte
	// due is the time after the start of the load.
	due time.Duration
	// route lists the gateways in the order in which resends use them.
	route []Gateway
	twin  bool
}

// plan makes requests in the order of their due times; everything in it comes from the seed.
type plan struct {
	options Options
	rand    *rand.Rand
	weights int
	due     time.Duration
	next    uint64
}

func newPlan(o Options) *plan {
	p := &plan{options: o, rand: rand.New(rand.NewPCG(o.Seed, 1))}
	for _, t := range o.Targets {
		p.weights += max(t.Weight, 1)
	}
	return p
}

func (p *plan) request() *request {
	p.next++
	p.due += time.Duration(p.rand.ExpFloat64() / p.options.Rate * float64(time.Second))
	r := &request{
		sequence: p.next,
		id:       fmt.Sprintf("r%d-%016x", p.next, p.rand.Uint64()),
		target:   p.target(),
		due:      p.due,
		twin:     p.rand.Float64() < p.options.DuplicateShare,
	}
	p.fill(r.keyBits[:])
	r.body = make([]byte, r.target.BodyBytes)
	p.fill(r.body)
	for _, i := range p.rand.Perm(len(p.options.Gateways)) {
		r.route = append(r.route, p.options.Gateways[i])
	}
	return r
}

func (p *plan) target() *Target {
	n := p.rand.IntN(p.weights)
	for i := range p.options.Targets {
		t := &p.options.Targets[i]
		n -= max(t.Weight, 1)
		if n < 0 {
			return t
		}
	}
	return nil // the weights sum up to p.weights
}

func (p *plan) fill(bytes []byte) {
	for i := range bytes {
		bytes[i] = byte(p.rand.Uint32())
	}
}

const uuidTimeBytes = 6

// key returns a UUID version 7 (RFC 9562) with the given time and random bits.
func key(at time.Time, bits [10]byte) string {
	var stamp [8]byte
	binary.BigEndian.PutUint64(stamp[:], uint64(at.UnixMilli()))
	var u uuid.UUID
	copy(u[:uuidTimeBytes], stamp[8-uuidTimeBytes:])
	copy(u[uuidTimeBytes:], bits[:])
	u[6] = 0x70 | u[6]&0x0f
	u[8] = 0x80 | u[8]&0x3f
	return u.String()
}
