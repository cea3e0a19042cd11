package controlstate

import (
	"maps"
	"slices"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/document"
)

// sectionStore holds the current version of each section and a limited number of past versions.
type sectionStore struct {
	current map[string]*statepb.SectionVersion
	// past is sorted by the revision that ended each version.
	past []*statepb.SectionVersion
	// oldestRevision is the lowest revision whose sections are all available.
	oldestRevision uint64
	// pastBytes is the total size of the texts in past.
	pastBytes int
}

func newSectionStore() sectionStore {
	return sectionStore{current: map[string]*statepb.SectionVersion{}}
}

// revisionOf returns the revision that last changed a section; 0 if the section does not exist.
func (s *sectionStore) revisionOf(name string) uint64 {
	return s.current[name].GetRevision()
}

// set makes a text the current version of a section.
func (s *sectionStore) set(name, text string, revision uint64) {
	s.remove(name, revision)
	s.current[name] = &statepb.SectionVersion{Name: name, Revision: revision, Text: text}
}

// remove ends the current version of a section, if there is one. Callers must not pass a lower revision than in an
// earlier call, because past is sorted by it.
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

// prune drops the oldest revisions until the past versions are within MaxPastRevisions and MaxPastTextBytes.
func (s *sectionStore) prune(revision uint64) {
	if revision > MaxPastRevisions {
		s.pruneBefore(revision - MaxPastRevisions)
	}
	for s.pastBytes > MaxPastTextBytes {
		s.pruneBefore(s.past[0].GetUntil())
	}
}

// pruneBefore makes revision the oldest one that can be read, and drops the versions that ended by then.
func (s *sectionStore) pruneBefore(revision uint64) {
	s.oldestRevision = max(s.oldestRevision, revision)
	for len(s.past) > 0 && s.past[0].GetUntil() <= s.oldestRevision {
		s.pastBytes -= len(s.past[0].GetText())
		s.past = s.past[1:]
	}
}

// currentSections returns the current sections, sorted as in a rendered document.
func (s *sectionStore) currentSections() []document.Section {
	var list []document.Section
	for _, v := range s.current {
		list = append(list, toSection(v))
	}
	document.SortSections(list)
	return list
}

// sectionsAt returns the sections that were current at a revision, which must not be below oldestRevision.
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

// findVersion returns the version of a section that started at a revision, current or past.
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

// removedSince returns the sorted names of the sections that existed at a revision and no longer exist.
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
