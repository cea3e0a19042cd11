package membership

// otherRegionEvery: one exchange in this many goes to another region.
const otherRegionEvery = 4

// Peer is another gateway.
type Peer struct {
	ID     GatewayID
	Region string
	// Address is the IP address and port of its peer listener.
	Address string
}

// SetPeers replaces the list of the other gateways; self is ignored.
func (r *Registry) SetPeers(peers []Peer) {
	r.peers = nil
	for _, p := range peers {
		if p.ID != r.self {
			r.peers = append(r.peers, p)
		}
	}
}

// Peers returns the other gateways.
func (r *Registry) Peers() []Peer { return r.peers }

// ChoosePeer chooses the peer of the next exchange by a uniformly distributed random value; one exchange in four goes to a
// region other than the own one. It returns false without peers.
func (r *Registry) ChoosePeer(region string, random uint64) (Peer, bool) {
	r.exchanges++
	away := r.exchanges%otherRegionEvery == 0
	var list []Peer
	for _, p := range r.peers {
		if (p.Region != region) == away {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		list = r.peers
	}
	if len(list) == 0 {
		return Peer{}, false
	}
	return list[random%uint64(len(list))], true
}
