package document

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// wholeFile is the path in problems that concern no single field.
const wholeFile = "(file)"

// position locates a field in a file.
type position struct {
	file string
	line int
	col  int
	path string
}

// field is a YAML node with its position. An omitted field has a nil node, its own path, and the line and column of its
// parent.
type field struct {
	node *yaml.Node
	at   position
	// keyLine is the line of the field's key in the enclosing mapping.
	keyLine int
}

// positionedName is a name or another short text from the document, such as a path, with its position.
type positionedName struct {
	name string
	at   position
}

// reader decodes YAML nodes and collects the problems that it finds.
type reader struct {
	problems Problems
}

func (r *reader) report(at position, reason Reason, format string, args ...any) {
	p := Problem{File: at.file, Line: at.line, Column: at.col, Path: cmp.Or(at.path, wholeFile), Reason: reason}
	p.Expected = fmt.Sprintf(format, args...)
	r.problems = append(r.problems, p)
}

func newField(file, path string, n *yaml.Node) field {
	return field{node: n, at: position{file: file, line: n.Line, col: n.Column, path: path}}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// entry is one key of a mapping with its value.
type entry struct {
	key   positionedName
	value field
}

// entries returns the entries of a mapping in document order and reports duplicate keys.
func (r *reader) entries(f field) []entry {
	if f.node == nil {
		return nil
	}
	if f.node.Kind != yaml.MappingNode {
		r.report(f.at, ReasonWrongType, "expected a mapping")
		return nil
	}
	if len(f.node.Content)/2 > MaxListItems {
		r.report(f.at, ReasonTooLarge, "expected at most %d fields", MaxListItems)
		return nil
	}
	var list []entry
	seen := map[string]bool{}
	for i := 0; i+1 < len(f.node.Content); i += 2 {
		key, value := f.node.Content[i], f.node.Content[i+1]
		path := joinPath(f.at.path, key.Value)
		at := position{file: f.at.file, line: key.Line, col: key.Column, path: path}
		if seen[key.Value] {
			r.report(at, ReasonDuplicate, "expected each field once")
			continue
		}
		seen[key.Value] = true
		e := entry{key: positionedName{key.Value, at}, value: newField(f.at.file, path, value)}
		e.value.keyLine = key.Line
		list = append(list, e)
	}
	return list
}

// fieldSet holds the known fields of a mapping by name.
type fieldSet struct {
	r      *reader
	parent field
	byName map[string]field
}

// mapping decodes a mapping and reports unknown fields.
func (r *reader) mapping(f field, known ...string) fieldSet {
	m := fieldSet{r: r, parent: f, byName: map[string]field{}}
	for _, e := range r.entries(f) {
		if !slices.Contains(known, e.key.name) {
			r.report(e.key.at, ReasonUnknownField, "unknown field; expected one of %s", strings.Join(known, ", "))
			continue
		}
		m.byName[e.key.name] = e.value
	}
	return m
}

// optional returns the field; its node is nil if the field is omitted.
func (m fieldSet) optional(name string) field {
	if f, ok := m.byName[name]; ok {
		return f
	}
	at := m.parent.at
	at.path = joinPath(at.path, name)
	return field{at: at}
}

// required is like optional and also reports an omitted field.
func (m fieldSet) required(name string) field {
	f := m.optional(name)
	if f.node == nil && m.parent.node != nil && m.parent.node.Kind == yaml.MappingNode {
		m.r.report(f.at, ReasonMissing, "expected this field")
	}
	return f
}

// items returns the items of a list.
func (r *reader) items(f field) []field {
	if f.node == nil {
		return nil
	}
	if f.node.Kind != yaml.SequenceNode {
		r.report(f.at, ReasonWrongType, "expected a list")
		return nil
	}
	if len(f.node.Content) > MaxListItems {
		r.report(f.at, ReasonTooLarge, "expected at most %d items", MaxListItems)
		return nil
	}
	list := make([]field, len(f.node.Content))
	for i, n := range f.node.Content {
		list[i] = newField(f.at.file, fmt.Sprintf("%s[%d]", f.at.path, i), n)
	}
	return list
}

// scalar returns the text of a scalar. It returns an empty text if the field is omitted, or after it reported a
// problem.
func (r *reader) scalar(f field, want string) string {
	if f.node == nil {
		return ""
	}
	if f.node.Kind != yaml.ScalarNode || f.node.Value == "" || f.node.Tag == "!!null" {
		r.report(f.at, ReasonWrongType, "expected %s", want)
		return ""
	}
	if len(f.node.Value) > maxTextBytes {
		r.report(f.at, ReasonTooLarge, "expected at most %d bytes", maxTextBytes)
		return ""
	}
	return f.node.Value
}

func (r *reader) integer(f field, low, high int64) int64 {
	want := fmt.Sprintf("a whole number from %d to %d", low, high)
	text := r.scalar(f, want)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < low || n > high {
		r.report(f.at, ReasonBadValue, "expected %s", want)
		return 0
	}
	return n
}

func (r *reader) boolean(f field) bool {
	text := r.scalar(f, "true or false")
	if text != "" && text != "true" && text != "false" {
		r.report(f.at, ReasonBadValue, "expected true or false")
	}
	return text == "true"
}

func (r *reader) duration(f field, low, high time.Duration) time.Duration {
	want := fmt.Sprintf("a duration from %s to %s, such as 2s", low, high)
	text := r.scalar(f, want)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < low || d > high {
		r.report(f.at, ReasonBadValue, "expected %s", want)
		return 0
	}
	return d
}

func (r *reader) size(f field, low, high int64) int64 {
	want := fmt.Sprintf("a size from %dB to %dB, such as 1MiB", low, high)
	text := r.scalar(f, want)
	if text == "" {
		return 0
	}
	n, ok := parseSize(text)
	if !ok || n < low || n > high {
		r.report(f.at, ReasonBadValue, "expected %s", want)
		return 0
	}
	return n
}

// name decodes a name and reports it if it is invalid; see nameRule.
func (r *reader) name(f field) positionedName {
	text := r.scalar(f, nameRule)
	r.checkName(positionedName{text, f.at})
	return positionedName{text, f.at}
}

func (r *reader) checkName(n positionedName) {
	if n.name != "" && !validName(n.name) {
		r.report(n.at, ReasonBadValue, "expected %s", nameRule)
	}
}

const nameRule = "a name of a-z, 0-9 and -, at most 63 bytes, that starts with a letter"

func validName(name string) bool {
	if len(name) == 0 || len(name) > MaxNameBytes || name[0] < 'a' || name[0] > 'z' {
		return false
	}
	for _, b := range []byte(name) {
		letter := b >= 'a' && b <= 'z'
		digit := b >= '0' && b <= '9'
		if !letter && !digit && b != '-' {
			return false
		}
	}
	return true
}

// names decodes a list of names and reports duplicates.
func (r *reader) names(f field) []positionedName {
	var list []positionedName
	seen := map[string]bool{}
	for _, item := range r.items(f) {
		n := r.name(item)
		if n.name == "" {
			continue
		}
		if seen[n.name] {
			r.report(n.at, ReasonDuplicate, "expected each name once")
			continue
		}
		seen[n.name] = true
		list = append(list, n)
	}
	return list
}

// reportAliases reports anchors and aliases: they would make the text of a section depend on another section.
func (r *reader) reportAliases(file string, n *yaml.Node) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		r.report(position{file, n.Line, n.Column, wholeFile}, ReasonSyntax, "expected no anchors and aliases")
		return
	}
	for _, c := range n.Content {
		r.reportAliases(file, c)
	}
}
