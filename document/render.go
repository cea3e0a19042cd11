package document

import (
	"fmt"
	"slices"
	"strings"
)

const indent = "  "

// maxHeadingBytes bounds the first lines of a document, and the headings of a section.
const maxHeadingBytes = 128

// Render writes a whole document from its sections in a stable order. A revision other than 0 becomes the field
// revision, which tells apply what the text was made from.
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

// renderedSize bounds the size in bytes of a rendered document from above, without its revision. A document that cannot
// be read again must not be accepted.
func renderedSize(list []Section) int {
	size := maxHeadingBytes
	for _, s := range list {
		size += maxHeadingBytes + len(s.Text) + strings.Count(s.Text, "\n")*2*len(indent)
	}
	return size
}

func writeIndented(b *strings.Builder, text, by string) {
	for line := range strings.Lines(text) {
		if line != "\n" {
			b.WriteString(by)
		}
		b.WriteString(line)
	}
}
