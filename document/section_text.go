package document

import (
	"bytes"
	"strings"

	"go.yaml.in/yaml/v3"
)

// sectionText returns the text of a section without indentation. It keeps the author's lines and comments if the
// section is in block style; otherwise it encodes the section again, without comments.
func sectionText(text []byte, headingLine int, n *yaml.Node) (string, error) {
	if n.Kind == yaml.MappingNode && n.Line > headingLine && n.Style&yaml.FlowStyle == 0 {
		lines := sectionLines(text, headingLine, n)
		if hasSameContent(lines, n) {
			return lines, nil
		}
	}
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(len(indent))
	if err := e.Encode(withoutComments(n)); err != nil {
		return "", err
	}
	return b.String(), e.Close()
}

// sectionLines returns the lines of a section without indentation. The section starts on the line after its heading and
// ends before the first line that follows its last node and is indented less than the section.
func sectionLines(text []byte, headingLine int, n *yaml.Node) string {
	width := n.Column - 1
	last := lastNodeLine(n)
	lines := strings.SplitAfter(string(text), "\n")
	var b strings.Builder
	for i := headingLine; i < len(lines); i++ {
		line := strings.TrimRight(lines[i], " \t\r\n")
		spaces := leadingSpaces(line)
		if line != "" && spaces < width && i >= last {
			break
		}
		b.WriteString(line[min(width, spaces):])
		b.WriteByte('\n')
	}
	return strings.Trim(b.String(), "\n") + "\n"
}

// lastNodeLine returns the line, counted from 1, on which the last descendant of n starts.
func lastNodeLine(n *yaml.Node) int {
	last := n.Line
	for _, c := range n.Content {
		last = max(last, lastNodeLine(c))
	}
	return last
}

func leadingSpaces(line string) int {
	return len(line) - len(strings.TrimLeft(line, " "))
}

// hasSameContent reports whether text parses to the content of n, apart from comments and style.
func hasSameContent(text string, n *yaml.Node) bool {
	var root yaml.Node
	if yaml.Unmarshal([]byte(text), &root) != nil || len(root.Content) != 1 {
		return false
	}
	return equalNodes(root.Content[0], n)
}

func equalNodes(a, b *yaml.Node) bool {
	if a.Kind != b.Kind || a.Value != b.Value || a.ShortTag() != b.ShortTag() || len(a.Content) != len(b.Content) {
		return false
	}
	for i := range a.Content {
		if !equalNodes(a.Content[i], b.Content[i]) {
			return false
		}
	}
	return true
}

// withoutComments returns a copy of a node without comments, because the encoder could move comments each time that the
// text is parsed and encoded again.
func withoutComments(n *yaml.Node) *yaml.Node {
	c := &yaml.Node{Kind: n.Kind, Tag: n.Tag, Value: n.Value}
	for _, child := range n.Content {
		c.Content = append(c.Content, withoutComments(child))
	}
	return c
}
