package balance

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

const (
	// coldUtilization is the part of what a cold server bears in a second that gateways use. The rest covers requests whose ways
	// differ in length, and a gateway that does not know of a new one yet.
	coldUtilization = 0.8
	// coldIntervalMargin lengthens the interval so that no second holds one request more than its share.
	coldIntervalMargin = 1.05
)

// ColdSendInterval divides what a server in cold start bears among gateways: those with the highest hash of server and gateway,
// as many as there are whole requests per second. Each may send one request in an interval. permitted is false for a
// gateway that has no share. It answers cold servers that every gateway would send to at once, because they seem idle.
// capacity is in requests in any second.
func ColdSendInterval(server, self string, gateways []string, capacity float64) (interval time.Duration, permitted bool) {
	requests := int(capacity * coldUtilization)
	if requests < 1 {
		return 0, false
	}
	if !slices.Contains(gateways, self) {
		return 0, false
	}
	ranked := slices.SortedFunc(slices.Values(gateways), func(a, b string) int {
		if x, y := rendezvousHash(server, a), rendezvousHash(server, b); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	chosen := min(requests, len(ranked))
	if !slices.Contains(ranked[:chosen], self) {
		return 0, false
	}
	perSecond := requests / chosen
	return time.Duration(coldIntervalMargin * float64(time.Second) / float64(perSecond)), true
}

// rendezvousHash is a hash of a server and a gateway, by which gateways share servers without talking to each other.
func rendezvousHash(server, gateway string) uint64 {
	h := fnv.New64a()
	for _, part := range []string{server, gateway} {
		_, _ = h.Write([]byte(part)) // never fails
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64(), 0)
}
