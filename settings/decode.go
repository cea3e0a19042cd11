package settings

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// decode decodes text into target and returns a checker whose problems are the unknown fields; further checks add theirs. If
// the text is not a YAML mapping or a value has the wrong type, decode returns an *InvalidError instead.
func decode(file string, text []byte, target any) (*checker, error) {
	var root yaml.Node
	c := &checker{file: file, root: &root}
	if err := yaml.Unmarshal(text, &root); err != nil {
		c.problems = append(c.problems, Problem{File: file, Line: lineOfError(err), Column: 1, Path: "(file)", Expected: "expected YAML: " + err.Error()})
		return nil, c.err()
	}
	if len(root.Content) == 0 || root.Content[0].Kind != yaml.MappingNode {
		c.problems = append(c.problems, Problem{File: file, Line: 1, Column: 1, Path: "(file)", Expected: "expected a mapping of fields"})
		return nil, c.err()
	}
	c.findUnknownFields("", root.Content[0], reflect.TypeOf(target).Elem())
	if err := root.Content[0].Decode(target); err != nil {
		c.addTypeErrors(err)
		return nil, c.err()
	}
	return c, nil
}

// addTypeErrors adds a problem for each line of a YAML type error.
func (c *checker) addTypeErrors(err error) {
	for _, text := range strings.Split(err.Error(), "\n")[1:] {
		c.problems = append(c.problems, Problem{File: c.file, Line: lineOfError(err), Column: 1, Path: "(file)", Expected: strings.TrimSpace(text)})
	}
	if len(c.problems) == 0 {
		c.problems = append(c.problems, Problem{File: c.file, Line: 1, Column: 1, Path: "(file)", Expected: err.Error()})
	}
}

// findUnknownFields adds a problem for each field below path that type t does not have.
func (c *checker) findUnknownFields(path string, node *yaml.Node, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case node.Kind == yaml.SequenceNode && t.Kind() == reflect.Slice:
		for i, item := range node.Content {
			c.findUnknownFields(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
		}
	case node.Kind == yaml.MappingNode && t.Kind() == reflect.Struct:
		c.findUnknownKeys(path, node, yamlFields(t))
	}
}

func (c *checker) findUnknownKeys(path string, node *yaml.Node, fields map[string]reflect.Type) {
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		keyPath := strings.TrimPrefix(path+"."+key.Value, ".")
		t, ok := fields[key.Value]
		if !ok {
			c.problems = append(c.problems, Problem{File: c.file, Line: key.Line, Column: key.Column, Path: keyPath, Expected: "unknown field"})
			continue
		}
		c.findUnknownFields(keyPath, node.Content[i+1], t)
	}
}

// yamlFields returns the types of the fields of a struct by their YAML names, including those of inlined structs.
func yamlFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if options == "inline" {
			for k, v := range yamlFields(f.Type) {
				fields[k] = v
			}
			continue
		}
		fields[name] = f.Type
	}
	return fields
}

var pathElement = regexp.MustCompile(`[^.\[\]]+`)

// position returns the line and column of the field at path, or of the innermost enclosing field that exists.
func position(root *yaml.Node, path string) (line, column int) {
	node := root.Content[0]
	line, column = node.Line, node.Column
	for _, element := range pathElement.FindAllString(path, -1) {
		node = childNode(node, element)
		if node == nil {
			return line, column
		}
		line, column = node.Line, node.Column
	}
	return line, column
}

// childNode returns the item or field of a node that a path element names; nil if there is none.
func childNode(node *yaml.Node, element string) *yaml.Node {
	if node.Kind == yaml.SequenceNode {
		i, err := strconv.Atoi(element)
		if err != nil || i >= len(node.Content) {
			return nil
		}
		return node.Content[i]
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == element {
			return node.Content[i+1]
		}
	}
	return nil
}

var lineNumber = regexp.MustCompile(`line (\d+)`)

// lineOfError returns the line that a YAML error names; 1 if it names none.
func lineOfError(err error) int {
	if m := lineNumber.FindStringSubmatch(err.Error()); m != nil {
		if n, convErr := strconv.Atoi(m[1]); convErr == nil {
			return n
		}
	}
	return 1
}
