package settings

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// decode reads text into target. Unknown fields and wrong types become problems; only text that is not YAML at all, or
// is not a mapping, ends the check at once.
func decode(file string, text []byte, target any) (*checker, error) {
	var root yaml.Node
	c := &checker{file: file, root: &root}
	if err := yaml.Unmarshal(text, &root); err != nil {
		c.problems = append(c.problems, Problem{File: file, Line: syntaxLine(err), Column: 1, Path: "(file)", Expected: "expected YAML: " + err.Error()})
		return nil, c.err()
	}
	if len(root.Content) == 0 || root.Content[0].Kind != yaml.MappingNode {
		c.problems = append(c.problems, Problem{File: file, Line: 1, Column: 1, Path: "(file)", Expected: "expected a mapping of fields"})
		return nil, c.err()
	}
	c.unknownFields("", root.Content[0], reflect.TypeOf(target).Elem())
	if err := root.Content[0].Decode(target); err != nil {
		c.typeErrors(err)
		return nil, c.err()
	}
	return c, nil
}

func (c *checker) typeErrors(err error) {
	for _, text := range strings.Split(err.Error(), "\n")[1:] {
		c.problems = append(c.problems, Problem{File: c.file, Line: syntaxLine(err), Column: 1, Path: "(file)", Expected: strings.TrimSpace(text)})
	}
	if len(c.problems) == 0 {
		c.problems = append(c.problems, Problem{File: c.file, Line: 1, Column: 1, Path: "(file)", Expected: err.Error()})
	}
}

func (c *checker) unknownFields(path string, node *yaml.Node, t reflect.Type) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch {
	case node.Kind == yaml.SequenceNode && t.Kind() == reflect.Slice:
		for i, item := range node.Content {
			c.unknownFields(fmt.Sprintf("%s[%d]", path, i), item, t.Elem())
		}
	case node.Kind == yaml.MappingNode && t.Kind() == reflect.Struct:
		c.unknownInMapping(path, node, yamlFields(t))
	}
}

func (c *checker) unknownInMapping(path string, node *yaml.Node, fields map[string]reflect.Type) {
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		at := strings.TrimPrefix(path+"."+key.Value, ".")
		t, ok := fields[key.Value]
		if !ok {
			c.problems = append(c.problems, Problem{File: c.file, Line: key.Line, Column: key.Column, Path: at, Expected: "unknown field"})
			continue
		}
		c.unknownFields(at, node.Content[i+1], t)
	}
}

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

var pathPart = regexp.MustCompile(`[^.\[\]]+`)

// position returns line and column of the field at path, or of the nearest enclosing field that exists.
func position(root *yaml.Node, path string) (line, column int) {
	node := root.Content[0]
	line, column = node.Line, node.Column
	for _, part := range pathPart.FindAllString(path, -1) {
		node = child(node, part)
		if node == nil {
			return line, column
		}
		line, column = node.Line, node.Column
	}
	return line, column
}

func child(node *yaml.Node, part string) *yaml.Node {
	if node.Kind == yaml.SequenceNode {
		i, err := strconv.Atoi(part)
		if err != nil || i >= len(node.Content) {
			return nil
		}
		return node.Content[i]
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == part {
			return node.Content[i+1]
		}
	}
	return nil
}

var lineNumber = regexp.MustCompile(`line (\d+)`)

func syntaxLine(err error) int {
	if m := lineNumber.FindStringSubmatch(err.Error()); m != nil {
		if n, convErr := strconv.Atoi(m[1]); convErr == nil {
			return n
		}
	}
	return 1
}
