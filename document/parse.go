package document

import (
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// Document is a parsed and valid document.
type Document struct {
	// Revision is the configuration revision on which the text is based; 0 if the text has no revision field.
	Revision  uint64
	sections  []Section
	positions map[string]position
}

// Sections returns the sections in the order of SortSections.
func (d *Document) Sections() []Section {
	return d.sections
}

// Position returns the line and column of the field with this path, or of the nearest enclosing field that exists.
func (d *Document) Position(path string) (line, column int) {
	for path != "" {
		if at, ok := d.positions[path]; ok {
			return at.line, at.col
		}
		path = parentPath(path)
	}
	return 1, 1
}

// Parse parses and checks a whole document. The Document is nil if there are problems.
func Parse(file string, text []byte) (*Document, Problems) {
	p := &parser{file: file, text: text, document: &Document{positions: map[string]position{}}}
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
	start := position{file: p.file, line: 1, col: 1, path: wholeFile}
	if len(p.text) > MaxDocumentBytes {
		p.report(start, ReasonTooLarge, "expected at most %d bytes", MaxDocumentBytes)
		return
	}
	root := p.parseYAML(p.file, p.text)
	if root == nil {
		return
	}
	top := p.mapping(newField(p.file, "", root), "format", "revision", GroupMembers, SectionTopology, SectionMeasuring,
		GroupServices)
	p.integer(top.required("format"), FormatVersion, FormatVersion)
	p.document.Revision = uint64(p.integer(top.optional("revision"), 1, 1<<62))
	p.parseGroup(GroupMembers, top.optional(GroupMembers))
	p.parseSingle(SectionTopology, top.optional(SectionTopology))
	p.parseSingle(SectionMeasuring, top.optional(SectionMeasuring))
	p.parseGroup(GroupServices, top.optional(GroupServices))
	p.reportMissingSections(&p.spec, start)
	p.crossCheck(&p.spec)
	p.recordPositions("", root)
	p.setOwners()
}

// parseGroup parses the sections of the group members or services.
func (p *parser) parseGroup(group string, f field) {
	if f.node == nil {
		return
	}
	for _, e := range p.entries(f) {
		p.checkName(e.key)
		p.parseSection(group+"/"+e.key.name, group, e.key, e.value)
	}
}

func (p *parser) parseSingle(group string, f field) {
	if f.node == nil {
		return
	}
	p.parseSection(group, group, positionedName{at: f.at}, f)
}

func (p *parser) parseSection(name, group string, heading positionedName, f field) {
	p.decodeSection(&p.spec, group, heading, f)
	text, err := sectionText(p.text, f.keyLine, f.node)
	if err != nil {
		p.report(f.at, ReasonSyntax, "expected YAML that can be written again: %s", err.Error())
		return
	}
	if len(text) > MaxSectionBytes {
		p.report(f.at, ReasonTooLarge, "expected at most %d bytes", MaxSectionBytes)
		return
	}
	p.document.sections = append(p.document.sections, Section{Name: name, Text: text})
}

// setOwners sets the owner of each section.
func (p *parser) setOwners() {
	ownerOf := map[string]string{}
	for _, m := range p.spec.members {
		ownerOf[MemberSectionName(m.name.name)] = m.name.name
	}
	for _, s := range p.spec.services {
		ownerOf[ServiceSectionName(s.name.name)] = s.owner.name
	}
	if p.spec.topology != nil {
		ownerOf[SectionTopology] = p.spec.topology.owner.name
	}
	if p.spec.measuring != nil {
		ownerOf[SectionMeasuring] = p.spec.measuring.owner.name
	}
	for i := range p.document.sections {
		s := &p.document.sections[i]
		s.Owner = ownerOf[s.Name]
	}
}

func (p *parser) recordPositions(path string, n *yaml.Node) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i]
			at := joinPath(path, key.Value)
			p.document.positions[at] = position{line: key.Line, col: key.Column}
			p.recordPositions(at, n.Content[i+1])
		}
	case yaml.SequenceNode:
		for i, item := range n.Content {
			at := path + "[" + strconv.Itoa(i) + "]"
			p.document.positions[at] = position{line: item.Line, col: item.Column}
			p.recordPositions(at, item)
		}
	}
}

var lastPathPartPattern = regexp.MustCompile(`(\.[^.\[\]]*|\[\d+\])$`)

func parentPath(path string) string {
	at := lastPathPartPattern.FindStringIndex(path)
	if at == nil {
		return ""
	}
	return path[:at[0]]
}

var lineNumberPattern = regexp.MustCompile(`line (\d+)`)

func syntaxLine(err error) int {
	m := lineNumberPattern.FindStringSubmatch(err.Error())
	if m == nil {
		return 1
	}
	n, convErr := strconv.Atoi(m[1])
	if convErr != nil {
		return 1
	}
	return n
}
