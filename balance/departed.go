package balance

import "slices"

// maxDeparted bounds the number of incarnations that are remembered after they were removed.
const maxDeparted = 1024

// departures remembers servers that were removed. A server that is listed again in the same incarnation is the same process
// as before, and what it said of itself still holds.
type departures struct {
	servers map[incarnation]departed
	// order holds the incarnations in the order of their removal.
	order []incarnation
}

// incarnation identifies one run of a server.
type incarnation struct {
	address, id string
	number      uint64
}

type departed struct {
	server Server
	load   *serverLoad
}

func incarnationOf(s Server) incarnation {
	return incarnation{address: s.Address, id: s.ID, number: s.Incarnation}
}

// add remembers a server and marks it as removed.
func (d *departures) add(r *serverRecord) {
	r.load.final.Or(finalRemoved)
	key := incarnationOf(r.server)
	if d.servers == nil {
		d.servers = map[incarnation]departed{}
	}
	if _, known := d.servers[key]; !known {
		d.order = append(d.order, key)
	}
	d.servers[key] = departed{r.server, r.load}
	for len(d.order) > maxDeparted {
		delete(d.servers, d.order[0])
		d.order = d.order[1:]
	}
}

// take returns and forgets a server if it was removed in the same incarnation.
func (d *departures) take(s Server) (departed, bool) {
	key := incarnationOf(s)
	r, ok := d.servers[key]
	if !ok {
		return departed{}, false
	}
	delete(d.servers, key)
	d.order = slices.DeleteFunc(d.order, func(k incarnation) bool { return k == key })
	r.load.final.And(^uint32(finalRemoved))
	return r, true
}
