package control

import (
	"context"
	"slices"
	"time"

	"heatherwall.example/raft"
	"heatherwall.example/telemetry"
)

// forgottenAfter is the time without a leader after which a member asks to be added again. It may have been removed
// while it was cut off, and would never hear of that. It is longer than two elections.
const rejoinAfter = 4 * time.Second

// dialer introduces this replica to its peers.
func (r *replica) peerDialer() dialer {
	return dialer{tls: r.tls, name: r.settings.Name, address: r.settings.Peer.AdvertisedAddress()}
}

func (r *replica) effectiveHeartbeatTicks() int {
	if r.settings.Catalogue != nil {
		return catalogueHeartbeatTicks
	}
	return heartbeatTicks
}

// isFounder tells whether this replica creates the group of a setup that starts for the first time: all replicas then
// have the same seeds, and exactly one of them has the lowest address.
func (r *replica) isBootstrapReplica() bool {
	d := r.settings.Discovery
	if d == nil || !d.FirstStart {
		return false
	}
	seeds := d.PeerAddresses()
	return len(seeds) > 0 && seeds[0] == r.settings.Peer.AdvertisedAddress()
}

// candidates returns the addresses of other replicas to ask about the setup: the configured peers or, with discovery,
// the members that the log names and the seeds.
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

// memberAddresses returns where the members of the configuration group listen, as far as this replica knows.
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

// isForgotten tells whether this member has been without a leader for so long that it may have been removed.
func (r *replica) mayHaveBeenRemoved(g *group) bool {
	return r.settings.Discovery != nil && !g.leaderSeenAt.IsZero() && time.Since(g.leaderSeenAt) > rejoinAfter
}

// noteLeader remembers when a leader was last known.
func (g *group) recordLeaderSeen(now time.Time) {
	if st := g.node.Status(); st.Leader != 0 || st.Role == raft.Leader || g.leaderSeenAt.IsZero() {
		g.leaderSeenAt = now
	}
}

// takeReloads takes over new seeds from the settings file until ctx ends.
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
