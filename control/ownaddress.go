package control

import "heatherwall.example/api/controlpb"

// OwnAddressError reports a backend server at the address of a control replica or a gateway. Requests to it would not
// reach a backend server.
type OwnAddressError struct {
	Address string
}

func (e *OwnAddressError) Error() string {
	return "address " + e.Address + " belongs to a control replica or a gateway"
}

// checkOwnAddress returns an *OwnAddressError if a backend server claims an address of this replica, of a member of the
// configuration group or of a gateway that renews its lease. It runs in the loop.
func (r *replica) checkOwnAddress(s *controlpb.BackendServer, gateways []*controlpb.GatewayStatus) error {
	address := s.GetAddress()
	owned := []string{r.settings.Peer.AdvertisedAddress(), r.settings.Admin.AdvertisedAddress()}
	if g, ok := r.loop.groups[configurationGroup]; ok {
		for _, m := range g.node.Status().Membership.GetMembers() {
			owned = append(owned, m.GetAddress())
		}
	}
	if r.settings.Catalogue != nil {
		owned = append(owned, r.settings.Catalogue.Listen.AdvertisedAddress())
	}
	for _, g := range gateways {
		owned = append(owned, g.GetPeerAddress(), g.GetRelayAddress())
	}
	for _, o := range owned {
		if o == address {
			return &OwnAddressError{Address: address}
		}
	}
	return nil
}
