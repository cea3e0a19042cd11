package load

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
)

// request is one planned request; all attempts at it share it.
type request struct {
	sequence uint64
	id       string
	// keyBits are the random bits of the idempotency key; its timestamp is the due time of the request.
	keyBits [10]byte
	target  *Target
	body    []byte
	// due is when to send the request, as the time since the start of the load.
	due time.Duration
	// route lists the gateways in the order in which resends use them.
	route     []Gateway
	duplicate bool
}

// plan generates the requests in the order of their due times. They depend on the options and the seed only.
type plan struct {
	options     Options
	rand        *rand.Rand
	totalWeight int
	due         time.Duration
	next        uint64
}

func newPlan(o Options) *plan {
	p := &plan{options: o, rand: rand.New(rand.NewPCG(o.Seed, 1))}
	for _, t := range o.Targets {
		p.totalWeight += max(t.Weight, 1)
	}
	return p
}

func (p *plan) nextRequest() *request {
	p.next++
	p.due += time.Duration(p.rand.ExpFloat64() / p.options.Rate * float64(time.Second))
	r := &request{
		sequence:  p.next,
		id:        fmt.Sprintf("r%d-%016x", p.next, p.rand.Uint64()),
		target:    p.pickTarget(),
		due:       p.due,
		duplicate: p.rand.Float64() < p.options.DuplicateShare,
	}
	p.fillRandom(r.keyBits[:])
	r.body = make([]byte, r.target.BodyBytes)
	p.fillRandom(r.body)
	for _, i := range p.rand.Perm(len(p.options.Gateways)) {
		r.route = append(r.route, p.options.Gateways[i])
	}
	return r
}

func (p *plan) pickTarget() *Target {
	n := p.rand.IntN(p.totalWeight)
	for i := range p.options.Targets {
		t := &p.options.Targets[i]
		n -= max(t.Weight, 1)
		if n < 0 {
			return t
		}
	}
	return nil // unreachable: the weights add up to p.totalWeight
}

func (p *plan) fillRandom(bytes []byte) {
	for i := range bytes {
		bytes[i] = byte(p.rand.Uint32())
	}
}

const uuidTimeBytes = 6

// newKey returns an idempotency key: a UUID version 7 (RFC 9562) with the given time and random bits.
func newKey(at time.Time, bits [10]byte) string {
	var stamp [8]byte
	binary.BigEndian.PutUint64(stamp[:], uint64(at.UnixMilli()))
	var u uuid.UUID
	copy(u[:uuidTimeBytes], stamp[8-uuidTimeBytes:])
	copy(u[uuidTimeBytes:], bits[:])
	u[6] = 0x70 | u[6]&0x0f
	u[8] = 0x80 | u[8]&0x3f
	return u.String()
}
