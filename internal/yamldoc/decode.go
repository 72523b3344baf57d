package yamldoc

import (
	"encoding"
	"errors"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"go.yaml.in/yaml/v3"
)

// field is a struct field with its YAML name and its rules.
type field struct {
	index    int
	name     string
	required bool
	minimum  *int64
	maximum  *int64
}

// structInfo holds the fields of a struct type in the order of their declaration.
type structInfo struct {
	fields []field
	byName map[string]int
}

var structInfos sync.Map // reflect.Type to *structInfo

func structInfoOf(t reflect.Type) *structInfo {
	if p, ok := structInfos.Load(t); ok {
		return p.(*structInfo)
	}
	p := &structInfo{byName: map[string]int{}}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		p.byName[name] = len(p.fields)
		p.fields = append(p.fields, newField(i, name, t.Field(i).Tag.Get("jsonschema")))
	}
	structInfos.Store(t, p)
	return p
}

func newField(index int, name, rules string) field {
	f := field{index: index, name: name}
	for rule := range strings.SplitSeq(rules, ",") {
		key, value, _ := strings.Cut(rule, "=")
		switch key {
		case "required":
			f.required = true
		case "minimum":
			f.minimum = parseBound(value)
		case "maximum":
			f.maximum = parseBound(value)
		}
	}
	return f
}

// parseBound parses the value of a minimum or maximum rule. It panics on a malformed tag, which is a programming
// error that any test of the type detects.
func parseBound(text string) *int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic("yamldoc: minimum or maximum in a jsonschema tag is not an integer: " + text)
	}
	return &n
}

// decodeValue decodes n into v. Its recursion is bounded by the depth of the Go type, not by that of the text.
func (c *Checker) decodeValue(n *yaml.Node, v reflect.Value, path string, f field) {
	c.positions[path] = position{n.Line, n.Column}
	if n.Kind == yaml.AliasNode {
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		c.decodeText(n, u, path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		c.decodeValue(n, v.Elem(), path, f)
	case reflect.Struct:
		c.decodeMapping(n, v, path)
	case reflect.Slice:
		c.decodeList(n, v, path)
	case reflect.String:
		if c.requireScalar(n, path, "!!str") {
			v.SetString(n.Value)
		}
	case reflect.Bool:
		if c.requireScalar(n, path, "!!bool") {
			v.SetBool(n.Value == "true" || n.Value == "True" || n.Value == "TRUE")
		}
	case reflect.Int, reflect.Int64:
		c.decodeInteger(n, v, path, f)
	default:
		panic("yamldoc: unsupported type " + v.Type().String())
	}
}

func (c *Checker) decodeMapping(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		c.Reportf(path, "expected a mapping, found %s", describe(n))
		c.wrongKind[path] = true
		return
	}
	p := structInfoOf(v.Type())
	seen := make(map[string]bool, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		c.decodeEntry(n.Content[i], n.Content[i+1], v, p, seen, path)
	}
	for _, f := range p.fields {
		if f.required && !seen[f.name] {
			c.Reportf(joinPath(path, f.name), "is required")
		}
	}
}

func (c *Checker) decodeEntry(
	key, value *yaml.Node, v reflect.Value, p *structInfo, seen map[string]bool, path string,
) {
	at := position{key.Line, key.Column}
	if key.Kind != yaml.ScalarNode || (key.ShortTag() != "!!str" && key.ShortTag() != "!!merge") {
		c.addUnconditionally(at, path, "a field name must be text, found %s", describe(key))
		return
	}
	name := joinPath(path, truncateKey(key.Value))
	if seen[key.Value] {
		c.addUnconditionally(at, name, "duplicate field")
		return
	}
	seen[key.Value] = true
	i, ok := p.byName[key.Value]
	if !ok {
		c.addUnconditionally(at, name, "unknown field")
		return
	}
	c.decodeValue(value, v.Field(p.fields[i].index), name, p.fields[i])
}

func (c *Checker) decodeList(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		c.Reportf(path, "expected a list, found %s", describe(n))
		c.wrongKind[path] = true
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		c.decodeValue(item, v.Index(i), path+indexSegment(i), field{})
	}
}

func (c *Checker) decodeInteger(n *yaml.Node, v reflect.Value, path string, f field) {
	if !c.requireScalar(n, path, "!!int") {
		return
	}
	var number int64
	if err := n.Decode(&number); err != nil {
		c.Reportf(path, "is out of range")
		return
	}
	v.SetInt(number)
	switch {
	case f.minimum != nil && f.maximum != nil && (number < *f.minimum || number > *f.maximum):
		c.Reportf(path, "must be from %d to %d", *f.minimum, *f.maximum)
	case f.minimum != nil && number < *f.minimum:
		c.Reportf(path, "must be at least %d", *f.minimum)
	case f.maximum != nil && number > *f.maximum:
		c.Reportf(path, "must be at most %d", *f.maximum)
	}
}

func (c *Checker) decodeText(n *yaml.Node, u encoding.TextUnmarshaler, path string) {
	if !c.requireScalar(n, path, "!!str") {
		return
	}
	if err := u.UnmarshalText([]byte(n.Value)); err != nil {
		message := FormatError("has the wrong format")
		errors.As(err, &message)
		c.Reportf(path, "%s", string(message))
	}
}

// FormatError is an error that UnmarshalText returns and whose text Decode reports as the problem. The text must not
// contain the value, which may be a secret.
type FormatError string

// Error returns the text.
func (e FormatError) Error() string { return string(e) }

var typeNames = map[string]string{
	"!!str": "text", "!!int": "a whole number", "!!bool": "true or false", "!!float": "a decimal number",
	"!!null": "nothing", "!!timestamp": "a date", "!!merge": "a merge key",
}

// requireScalar reports whether n is a scalar with the tag, and adds a problem if it is not.
func (c *Checker) requireScalar(n *yaml.Node, path, tag string) bool {
	if n.Kind == yaml.ScalarNode && n.ShortTag() == tag {
		return true
	}
	hint := ""
	if tag == "!!str" && n.Kind == yaml.ScalarNode && n.ShortTag() != "!!null" {
		hint = "; put it in quotes"
	}
	c.Reportf(path, "expected %s, found %s%s", typeNames[tag], describe(n), hint)
	return false
}

func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	}
	if name, ok := typeNames[n.ShortTag()]; ok {
		return name
	}
	return "another type"
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
