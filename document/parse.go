package document

import (
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// Document is a parsed document without problems.
type Document struct {
	// Revision is the revision that the text was made from; 0 if the text does not say.
	Revision uint64
	sections []Section
	places   map[string]spot
}

// Sections returns the sections in the order of SortSections.
func (d *Document) Sections() []Section {
	return d.sections
}

// Position returns line and column of the field with this path, or of the nearest enclosing field that exists.
func (d *Document) Position(path string) (line, column int) {
	for path != "" {
		if at, ok := d.places[path]; ok {
			return at.line, at.col
		}
		path = parentPath(path)
	}
	return 1, 1
}

// Parse reads a whole document. The Document is nil if there are problems.
func Parse(file string, text []byte) (*Document, Problems) {
	p := &parser{file: file, text: text, document: &Document{places: map[string]spot{}}}
	p.parse()
	if len(p.problems) > 0 {
		p.problems.sort()
		return nil, p.problems
	}
	SortSections(p.document.sections)
	return p.document, nil
}

type parser struct {
	reader
	file     string
	text     []byte
	spec     spec
	document *Document
}

func (p *parser) parse() {
	start := spot{file: p.file, line: 1, col: 1, path: wholeFile}
	if len(p.text) > MaxDocumentBytes {
		p.add(start, ReasonTooLarge, "expected at most %d bytes", MaxDocumentBytes)
		return
	}
	root := p.parseYAML(p.file, p.text)
	if root == nil {
		return
	}
	top := p.fields(nodeField(p.file, "", root), "format", "revision", GroupMembers, SectionTopology, SectionMeasuring,
		GroupServices)
	p.integer(top.required("format"), FormatVersion, FormatVersion)
	p.document.Revision = uint64(p.integer(top.optional("revision"), 1, 1<<62))
	p.group(GroupMembers, top.optional(GroupMembers))
	p.single(SectionTopology, top.optional(SectionTopology))
	p.single(SectionMeasuring, top.optional(SectionMeasuring))
	p.group(GroupServices, top.optional(GroupServices))
	p.mandatory(&p.spec, start)
	p.check(&p.spec)
	p.recordPlaces("", root)
	p.owners()
}

// group reads the sections below members or services.
func (p *parser) group(group string, f field) {
	if f.node == nil {
		return
	}
	for _, e := range p.entries(f) {
		p.checkName(e.key)
		p.section(group+"/"+e.key.name, group, e.key, e.value)
	}
}

func (p *parser) single(group string, f field) {
	if f.node == nil {
		return
	}
	p.section(group, group, ref{at: f.at}, f)
}

func (p *parser) section(name, group string, heading ref, f field) {
	p.decodeSection(&p.spec, group, heading, f)
	text, err := sectionText(p.text, f.keyLine, f.node)
	if err != nil {
		p.add(f.at, ReasonSyntax, "expected YAML that can be written again: %s", err.Error())
		return
	}
	if len(text) > MaxSectionBytes {
		p.add(f.at, ReasonTooLarge, "expected at most %d bytes", MaxSectionBytes)
		return
	}
	p.document.sections = append(p.document.sections, Section{Name: name, Text: text})
}

// owners fills in the owners of the sections.
func (p *parser) owners() {
	owner := map[string]string{}
	for _, m := range p.spec.members {
		owner[MemberSectionName(m.name.name)] = m.name.name
	}
	for _, s := range p.spec.services {
		owner[ServiceSectionName(s.name.name)] = s.owner.name
	}
	if p.spec.topology != nil {
		owner[SectionTopology] = p.spec.topology.owner.name
	}
	if p.spec.measuring != nil {
		owner[SectionMeasuring] = p.spec.measuring.owner.name
	}
	for i := range p.document.sections {
		s := &p.document.sections[i]
		s.Owner = owner[s.Name]
	}
}

func (p *parser) recordPlaces(path string, n *yaml.Node) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i]
			at := joinPath(path, key.Value)
			p.document.places[at] = spot{line: key.Line, col: key.Column}
			p.recordPlaces(at, n.Content[i+1])
		}
	case yaml.SequenceNode:
		for i, item := range n.Content {
			at := path + "[" + strconv.Itoa(i) + "]"
			p.document.places[at] = spot{line: item.Line, col: item.Column}
			p.recordPlaces(at, item)
		}
	}
}

var lastPathPart = regexp.MustCompile(`(\.[^.\[\]]*|\[\d+\])$`)

func parentPath(path string) string {
	at := lastPathPart.FindStringIndex(path)
	if at == nil {
		return ""
	}
	return path[:at[0]]
}

var lineNumber = regexp.MustCompile(`line (\d+)`)

func syntaxLine(err error) int {
	m := lineNumber.FindStringSubmatch(err.Error())
	if m == nil {
		return 1
	}
	n, convErr := strconv.Atoi(m[1])
	if convErr != nil {
		return 1
	}
	return n
}
