package membership

// crossRegionPeriod is the number of exchanges of which one goes to another region.
const crossRegionPeriod = 4

// Peer is another gateway.
type Peer struct {
	ID     GatewayID
	Region string
	// Address is the IP address and port of the peer listener.
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

// ChoosePeer chooses the peer for the next exchange. region is the region of this gateway and random a uniformly
// distributed value. One exchange in four goes to another region. It returns false if there are no peers.
func (r *Registry) ChoosePeer(region string, random uint64) (Peer, bool) {
	r.exchanges++
	crossRegion := r.exchanges%crossRegionPeriod == 0
	var list []Peer
	for _, p := range r.peers {
		if (p.Region != region) == crossRegion {
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
