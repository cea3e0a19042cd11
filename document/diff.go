package document

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rogpeppe/go-internal/diff"
)

// DiffKind describes how a section differs between a base and two versions that derive from it.
type DiffKind string

// Kinds of differences. Diff omits sections that are equal in all versions.
const (
	// DiffMine means that only mine differs from base; DiffTheirs that only theirs does.
	DiffMine   DiffKind = "changed by you"
	DiffTheirs DiffKind = "changed by others"
	// DiffSame means that mine and theirs made the same change.
	DiffSame DiffKind = "changed alike"
	// DiffConflict means that mine and theirs made different changes.
	DiffConflict DiffKind = "conflict"
)

// SectionDiff is one section in three versions. A nil text means that the version does not have the section.
type SectionDiff struct {
	Name   string
	Kind   DiffKind
	Base   *string
	Mine   *string
	Theirs *string
}

// Diff compares three versions of a document by section, in the order of section names.
func Diff(base, mine, theirs []Section) []SectionDiff {
	baseTexts, myTexts, theirTexts := textsByName(base), textsByName(mine), textsByName(theirs)
	names := map[string]bool{}
	for _, texts := range []map[string]*string{baseTexts, myTexts, theirTexts} {
		for name := range texts {
			names[name] = true
		}
	}
	var list []SectionDiff
	for _, name := range slices.Sorted(maps.Keys(names)) {
		d := SectionDiff{Name: name, Base: baseTexts[name], Mine: myTexts[name], Theirs: theirTexts[name]}
		if d.classify() {
			list = append(list, d)
		}
	}
	return list
}

func textsByName(list []Section) map[string]*string {
	texts := map[string]*string{}
	for _, s := range list {
		texts[s.Name] = &s.Text
	}
	return texts
}

func (d *SectionDiff) classify() (differs bool) {
	mineDiffers := !equalTexts(d.Base, d.Mine)
	theirsDiffers := !equalTexts(d.Base, d.Theirs)
	switch {
	case mineDiffers && theirsDiffers && equalTexts(d.Mine, d.Theirs):
		d.Kind = DiffSame
	case mineDiffers && theirsDiffers:
		d.Kind = DiffConflict
	case mineDiffers:
		d.Kind = DiffMine
	case theirsDiffers:
		d.Kind = DiffTheirs
	}
	return mineDiffers || theirsDiffers
}

func equalTexts(a, b *string) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// Merge merges two versions that derive from base. The result contains the changes that only one of them made and those
// that both made alike. A section in conflict has its base text in merged and is listed in conflicts.
func Merge(base, mine, theirs []Section) (merged []Section, conflicts []SectionDiff) {
	diffs := map[string]SectionDiff{}
	for _, d := range Diff(base, mine, theirs) {
		diffs[d.Name] = d
		if d.Kind == DiffConflict {
			conflicts = append(conflicts, d)
		}
	}
	for _, s := range base {
		if _, differs := diffs[s.Name]; !differs {
			merged = append(merged, s)
		}
	}
	for name, d := range diffs {
		if text := d.mergedText(); text != nil {
			merged = append(merged, Section{Name: name, Text: *text})
		}
	}
	SortSections(merged)
	slices.SortFunc(conflicts, func(a, b SectionDiff) int { return strings.Compare(a.Name, b.Name) })
	return merged, conflicts
}

func (d SectionDiff) mergedText() *string {
	switch d.Kind {
	case DiffMine, DiffSame:
		return d.Mine
	case DiffTheirs:
		return d.Theirs
	}
	return d.Base
}

// RenderDiff renders differences as unified diffs against the base: of your change, or of the change of others, or of
// both in a conflict.
func RenderDiff(list []SectionDiff) string {
	var b strings.Builder
	for _, d := range list {
		fmt.Fprintf(&b, "%s: %s\n", d.Name, d.Kind)
		if d.Kind != DiffTheirs {
			writeDiff(&b, "base", d.Base, "yours", d.Mine)
		}
		if d.Kind == DiffTheirs || d.Kind == DiffConflict {
			writeDiff(&b, "base", d.Base, "theirs", d.Theirs)
		}
	}
	return b.String()
}

func writeDiff(b *strings.Builder, oldName string, old *string, newName string, text *string) {
	unified := string(diff.Diff(oldName, textBytes(old), newName, textBytes(text)))
	if _, rest, found := strings.Cut(unified, "\n"); found {
		unified = rest
	}
	if text == nil {
		b.WriteString("(removed in " + newName + ")\n")
	}
	b.WriteString(unified)
}

func textBytes(text *string) []byte {
	if text == nil {
		return nil
	}
	return []byte(*text)
}
