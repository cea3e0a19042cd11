package controlstate

import (
	"maps"
	"slices"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/document"
)

// sectionStore holds the sections in force and past versions of them.
type sectionStore struct {
	current map[string]*statepb.SectionVersion
	// past is sorted by until.
	past []*statepb.SectionVersion
	// oldest is the lowest revision that can be read.
	oldestRevision uint64
	// pastBytes is the size of the texts in past.
	pastBytes int
}

func newSectionStore() sectionStore {
	return sectionStore{current: map[string]*statepb.SectionVersion{}}
}

// revisionOf returns the revision that last changed a section; 0 if it is not in force.
func (s *sectionStore) revisionOf(name string) uint64 {
	return s.current[name].GetRevision()
}

// set puts a text in force.
func (s *sectionStore) set(name, text string, revision uint64) {
	s.remove(name, revision)
	s.current[name] = &statepb.SectionVersion{Name: name, Revision: revision, Text: text}
}

// remove ends the version in force, if there is one. Revisions never fall from call to call.
func (s *sectionStore) remove(name string, revision uint64) {
	old, ok := s.current[name]
	if !ok {
		return
	}
	old.Until = revision
	s.past = append(s.past, old)
	s.pastBytes += len(old.GetText())
	delete(s.current, name)
}

// prune forgets the oldest revisions beyond the limits.
func (s *sectionStore) prune(revision uint64) {
	if revision > MaxPastRevisions {
		s.pruneBefore(revision - MaxPastRevisions)
	}
	for s.pastBytes > MaxPastTextBytes {
		s.pruneBefore(s.past[0].GetUntil())
	}
}

// pruneBefore makes revision the oldest one that can be read.
func (s *sectionStore) pruneBefore(revision uint64) {
	s.oldestRevision = max(s.oldestRevision, revision)
	for len(s.past) > 0 && s.past[0].GetUntil() <= s.oldestRevision {
		s.pastBytes -= len(s.past[0].GetText())
		s.past = s.past[1:]
	}
}

// list returns the sections in force, sorted as in a rendered document.
func (s *sectionStore) currentSections() []document.Section {
	var list []document.Section
	for _, v := range s.current {
		list = append(list, toSection(v))
	}
	document.SortSections(list)
	return list
}

// at returns the sections that were in force at a revision from oldest on.
func (s *sectionStore) sectionsAt(revision uint64) []document.Section {
	var list []document.Section
	for _, v := range s.current {
		if v.GetRevision() <= revision {
			list = append(list, toSection(v))
		}
	}
	for _, v := range s.past {
		if v.GetRevision() <= revision && revision < v.GetUntil() {
			list = append(list, toSection(v))
		}
	}
	document.SortSections(list)
	return list
}

// find returns a version, in force or past.
func (s *sectionStore) findVersion(name string, revision uint64) (*statepb.SectionVersion, bool) {
	if v, ok := s.current[name]; ok && v.GetRevision() == revision {
		return v, true
	}
	i := slices.IndexFunc(s.past, func(v *statepb.SectionVersion) bool {
		return v.GetName() == name && v.GetRevision() == revision
	})
	if i < 0 {
		return nil, false
	}
	return s.past[i], true
}

// removedSince returns the sorted names of the sections in force at a revision that are in force no more.
func (s *sectionStore) removedSince(revision uint64) []string {
	names := map[string]bool{}
	for _, v := range s.past {
		_, inForce := s.current[v.GetName()]
		if !inForce && v.GetRevision() <= revision && v.GetUntil() > revision {
			names[v.GetName()] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

func toSection(v *statepb.SectionVersion) document.Section {
	return document.Section{Name: v.GetName(), Text: v.GetText(), Revision: v.GetRevision()}
}

func toSectionMessage(s document.Section) *controlpb.Section {
	return &controlpb.Section{Name: s.Name, Revision: s.Revision, Text: s.Text}
}
