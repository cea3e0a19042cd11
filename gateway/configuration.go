package gateway

import (
	"heatherwall.example/api/controlpb"
	"heatherwall.example/balance"
	"heatherwall.example/document"
)

// compileSections compiles the confirmed sections into a configuration. The error is document.Problems.
func compileSections(sections []*controlpb.Section) (*document.Config, error) {
	list := make([]document.Section, 0, len(sections))
	for _, s := range sections {
		list = append(list, document.Section{Name: s.GetName(), Text: s.GetText(), Revision: s.GetRevision()})
	}
	c, problems := document.Compile(list)
	if len(problems) > 0 {
		return nil, problems
	}
	return c, nil
}

// engineConfiguration returns the part of a configuration that the balance engine needs.
func engineConfiguration(c *document.Config) balance.ConfigChanged {
	e := balance.ConfigChanged{DomainsOut: c.DomainsOut}
	for _, m := range c.Members {
		if m.MaxInFlight > 0 {
			e.Members = append(e.Members, balance.MemberLimit{Member: m.Name, MaxInFlight: m.MaxInFlight})
		}
	}
	return e
}
