package document

import (
	"cmp"
	"slices"
	"strings"
)

// Names of the sections that belong to no group, and names of the groups.
const (
	SectionTopology  = "topology"
	SectionMeasuring = "measuring"
	GroupMembers     = "members"
	GroupServices    = "services"
)

// Section is a part of the document that has its own owner and revision.
type Section struct {
	// Name is members/NAME, topology, measuring or services/NAME.
	Name string
	// Text is YAML without the heading. It is not indented and ends with a line feed.
	Text string
	// Owner is MEMBER or MEMBER/TEAM. A member owns its own section.
	Owner string
	// Revision is the configuration revision that last changed the section; 0 in a section parsed from a file.
	Revision uint64
}

// MemberSectionName returns the name of the section of a member.
func MemberSectionName(member string) string {
	return GroupMembers + "/" + member
}

// ServiceSectionName returns the name of the section of a service.
func ServiceSectionName(service string) string {
	return GroupServices + "/" + service
}

// SplitSectionName splits a section name into group and name. The name is empty for topology and measuring. ok is false
// if the section name is invalid.
func SplitSectionName(section string) (group, name string, ok bool) {
	if section == SectionTopology || section == SectionMeasuring {
		return section, "", true
	}
	group, name, found := strings.Cut(section, "/")
	if !found || (group != GroupMembers && group != GroupServices) {
		return "", "", false
	}
	return group, name, validName(name)
}

// sectionPath returns the path of a section in the document, for example services.labels.
func sectionPath(section string) string {
	return strings.ReplaceAll(section, "/", ".")
}

var groupOrder = []string{GroupMembers, SectionTopology, SectionMeasuring, GroupServices}

// SortSections sorts sections into the order of a rendered document: members, topology, measuring, services; by name
// within a group.
func SortSections(list []Section) {
	slices.SortFunc(list, func(a, b Section) int {
		groupA, _, _ := strings.Cut(a.Name, "/")
		groupB, _, _ := strings.Cut(b.Name, "/")
		return cmp.Or(cmp.Compare(slices.Index(groupOrder, groupA), slices.Index(groupOrder, groupB)),
			cmp.Compare(a.Name, b.Name))
	})
}
