package control

import (
	"context"
	"slices"
	"time"

	"heatherwall.example/raft"
	"heatherwall.example/telemetry"
)

// peerDialer returns a dialer that identifies this replica to its peers.
func (r *replica) peerDialer() dialer {
	return dialer{tls: r.tls, name: r.settings.Name, address: r.settings.Peer.AdvertisedAddress()}
}

func (r *replica) effectiveHeartbeatTicks() int {
	if r.settings.Catalogue != nil {
		return catalogueHeartbeatTicks
	}
	return heartbeatTicks
}

// candidateAddresses returns the addresses of other replicas to ask for the cluster ID or to join: the configured peers
// or, with discovery, the seeds and the members of the configuration group.
func (r *replica) candidateAddresses() []string {
	own := r.settings.Peer.AdvertisedAddress()
	var list []string
	add := func(address string) {
		if address != own && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	for _, p := range r.settings.Peers {
		if p.Name != r.settings.Name {
			add(p.Address)
		}
	}
	if seeds := r.seeds.Load(); seeds != nil {
		for _, address := range *seeds {
			add(address)
		}
	}
	for _, address := range r.memberAddresses() {
		add(address)
	}
	return list
}

// memberAddresses returns the addresses of the members of the configuration group that this replica knows. Without
// discovery it returns nil.
func (r *replica) memberAddresses() []string {
	if !r.opened.Load() || r.settings.Discovery == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	list, err := runInLoop(ctx, r.loop, func(finish func([]string, error)) {
		var addresses []string
		for _, m := range r.loop.groups[configurationGroup].node.Status().Membership.GetMembers() {
			addresses = append(addresses, m.Address)
		}
		finish(addresses, nil)
	})
	if err != nil {
		return nil // the replica is stopping or overloaded; the seeds remain
	}
	return list
}

// recordLeaderSeen sets leaderSeenAt to now if a leader is known or nothing has been recorded yet.
func (g *group) recordLeaderSeen(now time.Time) {
	if st := g.node.Status(); st.Leader != 0 || st.Role == raft.Leader || g.leaderSeenAt.IsZero() {
		g.leaderSeenAt = now
	}
}

// watchSettingsReloads applies the seeds of reloaded settings until ctx ends.
func (r *replica) watchSettingsReloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-r.options.Reload:
			if s.Discovery != nil {
				r.setSeeds(s.Discovery.PeerAddresses())
			}
			r.log.Log(eventSettingsReloaded, telemetry.F("seeds", r.candidateAddresses()))
		}
	}
}

func (r *replica) setSeeds(addresses []string) {
	r.seeds.Store(&addresses)
}
