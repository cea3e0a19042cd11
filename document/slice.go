package document

import (
	"bytes"
	"strings"

	"go.yaml.in/yaml/v3"
)

// sectionText returns the text of a section without indentation. It keeps the author's lines and comments where the
// section is written in block style; otherwise it writes the section anew.
func sectionText(text []byte, headingLine int, n *yaml.Node) (string, error) {
	if n.Kind == yaml.MappingNode && n.Line > headingLine && n.Style&yaml.FlowStyle == 0 {
		sliced := sliceLines(text, headingLine, n)
		if sameContent(sliced, n) {
			return sliced, nil
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

// sliceLines returns the lines after the heading up to the first line that belongs to something else.
func sliceLines(text []byte, headingLine int, n *yaml.Node) string {
	width := n.Column - 1
	last := lastLine(n)
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

// lastLine returns the line, from 1, on which the last node below n starts.
func lastLine(n *yaml.Node) int {
	last := n.Line
	for _, c := range n.Content {
		last = max(last, lastLine(c))
	}
	return last
}

func leadingSpaces(line string) int {
	return len(line) - len(strings.TrimLeft(line, " "))
}

// sameContent tells whether text has the content of n.
func sameContent(text string, n *yaml.Node) bool {
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

// withoutComments copies a node: comments of a text that is written anew could move at each writing.
func withoutComments(n *yaml.Node) *yaml.Node {
	c := &yaml.Node{Kind: n.Kind, Tag: n.Tag, Value: n.Value}
	for _, child := range n.Content {
		c.Content = append(c.Content, withoutComments(child))
	}
	return c
}
