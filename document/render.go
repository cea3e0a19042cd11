package document

import (
	"fmt"
	"slices"
	"strings"
)

const indent = "  "

// maxHeadingBytes is an upper bound for the size of the first lines of a document, and for that of the headings of a
// section.
const maxHeadingBytes = 128

// Render returns the text of a whole document with the sections in the order of SortSections. A revision other than 0
// is written as the revision field, from which the apply command takes the revision that the text is based on.
func Render(list []Section, revision uint64) []byte {
	sorted := slices.Clone(list)
	SortSections(sorted)
	var b strings.Builder
	fmt.Fprintf(&b, "format: %d\n", FormatVersion)
	if revision != 0 {
		fmt.Fprintf(&b, "revision: %d\n", revision)
	}
	heading := ""
	for _, s := range sorted {
		group, name, _ := strings.Cut(s.Name, "/")
		if group != heading {
			fmt.Fprintf(&b, "\n%s:\n", group)
			heading = group
		}
		if name == "" {
			writeIndented(&b, s.Text, indent)
			continue
		}
		fmt.Fprintf(&b, "%s%s:\n", indent, name)
		writeIndented(&b, s.Text, indent+indent)
	}
	return []byte(b.String())
}

// maxRenderedSize returns an upper bound for the size in bytes of a rendered document without its revision. A document
// must not be accepted if its rendered text is too large to be parsed again.
func maxRenderedSize(list []Section) int {
	size := maxHeadingBytes
	for _, s := range list {
		size += maxHeadingBytes + len(s.Text) + strings.Count(s.Text, "\n")*2*len(indent)
	}
	return size
}

func writeIndented(b *strings.Builder, text, prefix string) {
	for line := range strings.Lines(text) {
		if line != "\n" {
			b.WriteString(prefix)
		}
		b.WriteString(line)
	}
}
