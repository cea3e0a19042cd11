package balance

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

const (
	// coldUtilization is the share of a cold server's capacity per second that the gateways use. The rest covers network
	// delays that differ between requests, and gateways that do not know of a new gateway yet.
	coldUtilization = 0.8
	// coldIntervalMargin lengthens the interval so that no second contains one request more than the gateway's share.
	coldIntervalMargin = 1.05
	// maxColdRequests bounds the requests per second, because the conversion of a float out of range to an integer differs
	// between processors.
	maxColdRequests = 1e6
)

// ColdSendInterval divides the capacity of a server in cold start among gateways by rendezvous hashing and returns the
// shortest time between two requests of the gateway self. The gateways with the lowest hashes get a share, as many as
// there are whole requests per second; permitted is false for the others. Without the division, all gateways would send
// to a cold server at once, because it seems idle. capacity is the number of requests that the server can take in any
// second.
func ColdSendInterval(server, self string, gateways []string, capacity float64) (interval time.Duration, permitted bool) {
	requests := int(min(capacity*coldUtilization, maxColdRequests))
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

// rendezvousHash returns a hash of a server and a gateway, by which gateways divide servers without coordination.
func rendezvousHash(server, gateway string) uint64 {
	h := fnv.New64a()
	for _, part := range []string{server, gateway} {
		_, _ = h.Write([]byte(part)) // never fails
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64(), 0)
}
