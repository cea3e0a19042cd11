package document

import (
	"cmp"
	"slices"
	"strings"
)

// Names of sections that are no groups, and headings of groups.
const (
	SectionTopology  = "topology"
	SectionMeasuring = "measuring"
	GroupMembers     = "members"
	GroupServices    = "services"
)

// Section is a part of the document with one owner and one revision.
type Section struct {
	// Name is members/NAME, topology, measuring or services/NAME.
	Name string
	// Text is YAML without the heading. It is not indented and ends with a line feed.
	Text string
	// Owner is MEMBER or MEMBER/TEAM. A member owns its own section.
	Owner string
	// Revision of the configuration that last changed the section; 0 in a section read from a file.
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

// SplitSectionName splits a section name into group and name. The name is empty for topology and measuring. ok is false for
// names that no section can have.
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

// SortSections sorts into the order of a rendered document: members, topology, measuring, services; by name within a
// group.
func SortSections(list []Section) {
	slices.SortFunc(list, func(a, b Section) int {
		groupA, _, _ := strings.Cut(a.Name, "/")
		groupB, _, _ := strings.Cut(b.Name, "/")
		return cmp.Or(cmp.Compare(slices.Index(groupOrder, groupA), slices.Index(groupOrder, groupB)),
			cmp.Compare(a.Name, b.Name))
	})
}
