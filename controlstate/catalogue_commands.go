package controlstate

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/routes/transfer"
)

// EncodePutRoutesEntry returns the encoded log entry that puts a route table. The table must be valid; see package
// routes.
func EncodePutRoutesEntry(t *controlpb.RouteTable) []byte {
	return encode(&statepb.ConfigurationEntry{Command: &statepb.ConfigurationEntry_PutRoutes{PutRoutes: t}})
}

// EncodeSetDomainOutEntry returns the encoded log entry that takes a failure domain out of service or back in. decidedAt
// is a log index that a replica had applied when the operator sent the command: the entry has no effect if a later command
// for the failure domain comes first in the log. 0 stands for a command without this condition.
func EncodeSetDomainOutEntry(domain string, out bool, decidedAt uint64) []byte {
	set := &statepb.SetDomainOut{FailureDomain: domain, Out: out, DecidedAt: decidedAt}
	return encode(&statepb.ConfigurationEntry{Command: &statepb.ConfigurationEntry_SetDomainOut{SetDomainOut: set}})
}

// EncodeServerReportsEntry returns the encoded log entry of reports of backend servers.
func EncodeServerReportsEntry(reports []*statepb.ServerReport) []byte {
	list := &statepb.ServerReports{Reports: reports}
	return encode(&statepb.ConfigurationEntry{Command: &statepb.ConfigurationEntry_ServerReports{ServerReports: list}})
}

// EncodePoisonReportsEntry returns the encoded log entry of crash counts of requests.
func EncodePoisonReportsEntry(reports []*controlpb.PoisonReport) []byte {
	list := &statepb.PoisonReports{Reports: reports}
	return encode(&statepb.ConfigurationEntry{Command: &statepb.ConfigurationEntry_PoisonReports{PoisonReports: list}})
}

// applyCatalogue applies the catalogue command of an entry and reports whether the entry contains one. The error is nil,
// *SupersededError, *SlotsChangedError or *EntryError.
func (c *Configuration) applyCatalogue(index uint64, e *statepb.ConfigurationEntry) (bool, error) {
	switch command := e.GetCommand().(type) {
	case *statepb.ConfigurationEntry_PutRoutes:
		c.catalogue.putRoutes(index, command.PutRoutes)
	case *statepb.ConfigurationEntry_SetDomainOut:
		return true, c.applySetDomainOut(index, command.SetDomainOut)
	case *statepb.ConfigurationEntry_ServerReports:
		c.catalogue.applyReports(index, command.ServerReports.GetReports())
	case *statepb.ConfigurationEntry_PoisonReports:
		c.catalogue.addCrashCounts(index, command.PoisonReports.GetReports())
	case *statepb.ConfigurationEntry_AssignQuotaSlots:
		return true, c.catalogue.assignQuotaSlots(index, command.AssignQuotaSlots)
	case *statepb.ConfigurationEntry_BeginQuotaSlots:
		return true, c.catalogue.beginQuotaSlots(index, command.BeginQuotaSlots)
	default:
		return false, nil
	}
	return true, nil
}

// applySetDomainOut takes a failure domain out of service or back in, unless a later command than the one known to the
// sender has decided otherwise. A command may reach a replica long after its sender has given it up there and has sent
// others. Each command that succeeds is recorded, also one that changes nothing, so that no earlier one undoes it.
func (c *Configuration) applySetDomainOut(index uint64, set *statepb.SetDomainOut) error {
	domain := set.GetFailureDomain()
	at, found := slices.BinarySearch(c.domainsOut, domain)
	last := c.domainCommands[domain]
	if found != set.GetOut() && set.GetDecidedAt() > 0 && last > set.GetDecidedAt() {
		return &SupersededError{FailureDomain: domain, DecidedAt: set.GetDecidedAt(), Last: last}
	}
	c.domainCommands[domain] = index
	if found == set.GetOut() {
		return nil
	}
	c.domainsOut = slices.Clone(c.domainsOut)
	if set.GetOut() {
		c.domainsOut = slices.Insert(c.domainsOut, at, domain)
	} else {
		c.domainsOut = slices.Delete(c.domainsOut, at, at+1)
	}
	c.catalogue.changedIndex = index
	if c.config != nil {
		c.config = c.config.WithDomainsOut(c.domainsOut)
	}
	return nil
}

// RouteTable returns the current route table; nil before the first one.
func (c *Configuration) RouteTable() *controlpb.RouteTable { return c.catalogue.routes }

// BackendServer returns the record of a backend server that reports to the control replicas; nil if there is none.
func (c *Configuration) BackendServer(id string) *controlpb.BackendServer {
	return c.catalogue.servers[id]
}

// BackendServers returns the records of all backend servers that report to the control replicas, sorted by identifier.
func (c *Configuration) BackendServers() []*controlpb.BackendServer {
	list := make([]*controlpb.BackendServer, 0, len(c.catalogue.servers))
	for _, id := range slices.Sorted(maps.Keys(c.catalogue.servers)) {
		list = append(list, c.catalogue.servers[id])
	}
	return list
}

// IsReportOutdated reports whether a report of a backend server is superseded, so that applying it would change
// nothing.
func (c *Configuration) IsReportOutdated(s *controlpb.BackendServer) bool {
	return c.catalogue.isReportOutdated(s)
}

// LastEndedIncarnation returns the highest incarnation of a backend server that has ended and must not return; 0 if there is
// none, or if its end lies too long ago to be recorded.
func (c *Configuration) LastEndedIncarnation(id string) uint64 {
	return c.catalogue.highestEndedIncarnation(id)
}

// CatalogueIndex returns the log index of the last change of the catalogue.
func (c *Configuration) CatalogueIndex() uint64 { return c.catalogue.changedIndex }

// CatalogueDeltaSince returns the changes of the catalogue after a log index, for a gateway that is at that index; nil
// if there are none. It contains a changed route table only if withRoutes is set.
func (c *Configuration) CatalogueDeltaSince(index uint64, withRoutes bool) *controlpb.CatalogueDelta {
	return c.catalogue.deltaSince(index, withRoutes)
}

// NextRouteStep returns the step that brings the route table of a gateway forward and the first part to send; nil if the
// gateway is up to date. The error is a *transfer.EncodeError.
func (c *Configuration) NextRouteStep(p *controlpb.RoutePosition) (*transfer.Step, int, error) {
	return c.catalogue.routeHistory.Next(p)
}

// putRoutesField and routeVersionField are the numbers of the fields ConfigurationEntry.put_routes and RouteTable.version.
const (
	putRoutesField    = 4
	routeVersionField = 1
)

// RouteVersionOf returns the version of the route table that an encoded entry puts; 0 if it puts none. It reads only the
// start of the entry, because a table may have thousands of routes.
func RouteVersionOf(entry []byte) uint64 {
	number, kind, n := protowire.ConsumeTag(entry)
	if n < 0 || number != putRoutesField || kind != protowire.BytesType {
		return 0
	}
	table, length := protowire.ConsumeBytes(entry[n:])
	if length < 0 {
		return 0
	}
	number, kind, n = protowire.ConsumeTag(table)
	if n < 0 || number != routeVersionField || kind != protowire.VarintType {
		return 0
	}
	version, length := protowire.ConsumeVarint(table[n:])
	if length < 0 {
		return 0
	}
	return version
}
