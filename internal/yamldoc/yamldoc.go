// Package yamldoc decodes one YAML document into a struct and reports every problem with its position and field path.
//
// It is stricter than yaml.Unmarshal: it reports unknown fields, duplicate keys, wrong types, anchors, aliases and
// explicit tags as problems. Its output depends only on the input, so that a deterministic state machine can use it.
//
// The yaml tag of a field holds its name. The jsonschema tag may hold the rules required, minimum=N and maximum=N,
// which Decode checks, so that a JSON Schema generated from the same types has the same rules.
package yamldoc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

const (
	// maxPathKeyBytes bounds the length of a key of the text in a problem's path; longer keys are truncated.
	maxPathKeyBytes = 64
	// maxSeparators bounds the number of YAML nodes before the YAML library allocates them. A generated document of 38
	// pools and 26 teams with 4 keys each has 2,329 separators. Without this bound a text of 4 MiB took 2.6 GiB of
	// memory.
	maxSeparators = 100_000
	// MaxProblems is the maximum number of problems in the list; a text of 4 MiB can have millions.
	MaxProblems = 1000
)

// Problem is one error in a document. Line and Column count from 1.
type Problem struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String formats the problem on one line, as line:column: path: message.
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", p.Line, p.Column, p.Path, p.Message)
}

// countSeparators counts the characters that can end a YAML node. A text has at most about twice as many nodes.
func countSeparators(text []byte) int {
	n := 0
	for _, b := range text {
		switch b {
		case '\n', '\r', ',', ':', '?', '-', '[', '{':
			n++
		}
	}
	return n
}

type position struct{ line, column int }

// Checker holds the positions of all decoded fields and the problems found so far.
type Checker struct {
	positions map[string]position
	reported  map[string]bool
	wrongKind map[string]bool // mappings and lists that have another type in the text
	problems  []Problem
	omitted   int
}

// Decode decodes text into the struct that into points to. Fields that are not in the text keep their values, so the
// caller can set defaults before the call. The messages never contain values of the text, because a value may be a
// secret.
func Decode(text []byte, maxBytes int, into any) *Checker {
	c := &Checker{positions: map[string]position{}, reported: map[string]bool{}, wrongKind: map[string]bool{}}
	if len(text) > maxBytes {
		c.add(position{1, 1}, "", "the document has %d bytes, more than %d", len(text), maxBytes)
		return c
	}
	if n := countSeparators(text); n > maxSeparators {
		c.add(position{1, 1}, "", "the document has %d separators of YAML entries, more than %d", n, maxSeparators)
		return c
	}
	root := c.parse(text)
	if root == nil {
		return c
	}
	c.positions[""] = position{root.Line, root.Column}
	c.rejectUnsupported(root, nil)
	c.decodeValue(root, reflect.ValueOf(into).Elem(), "", field{})
	return c
}

// Has reports whether the text contains the field.
func (c *Checker) Has(path string) bool {
	_, ok := c.positions[path]
	return ok
}

// Failed reports whether the field has a problem, in which case its value is not valid.
func (c *Checker) Failed(path string) bool { return c.reported[path] }

// IsMapping reports whether the text is a mapping. Only then can its fields be checked.
func (c *Checker) IsMapping() bool { return c.Has("") && !c.wrongKind[""] }

// Reportf adds a problem with the field at path, unless the path already has one or lies below a value of the wrong
// type, because a check of a value that could not be decoded would only repeat that problem. If the text does not
// contain the field, the problem gets the position of its nearest parent.
func (c *Checker) Reportf(path, format string, args ...any) {
	for up := path; up != ""; up = parentPath(up) {
		if c.wrongKind[up] {
			return
		}
	}
	c.add(c.nearestPosition(path), path, format, args...)
}

// Problems returns the problems sorted by position. If there are more than MaxProblems, an additional last entry has
// the number of omitted ones.
func (c *Checker) Problems() []Problem {
	sorted := slices.Clone(c.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	if c.omitted > 0 && len(sorted) > 0 {
		last := sorted[len(sorted)-1]
		message := fmt.Sprintf("%d more problems are not listed", c.omitted)
		sorted = append(sorted, Problem{last.Line, last.Column, "", message})
	}
	return sorted
}

func (c *Checker) add(at position, path, format string, args ...any) {
	if c.reported[path] {
		return
	}
	c.reported[path] = true
	c.addUnconditionally(at, path, format, args...)
}

// addUnconditionally adds a problem even if the path already has one, for problems that do not depend on whether the
// value could be decoded.
func (c *Checker) addUnconditionally(at position, path, format string, args ...any) {
	if len(c.problems) == MaxProblems {
		c.omitted++
		return
	}
	c.problems = append(c.problems, Problem{at.line, at.column, path, fmt.Sprintf(format, args...)})
}

func (c *Checker) nearestPosition(path string) position {
	for {
		if at, ok := c.positions[path]; ok {
			return at
		}
		if path == "" {
			return position{1, 1}
		}
		path = parentPath(path)
	}
}

// parentPath returns the path of the mapping or list that holds the field, "" for the root.
func parentPath(path string) string { return path[:max(strings.LastIndexAny(path, ".["), 0)] }

// parse returns the root node of the YAML document in text. It returns nil after it has added a problem if the text
// is not exactly one valid document.
//
// It recovers from panics because the state machine parses documents from the log: a panic of the YAML library would
// stop every entry instance at the same record, and again after each restart.
func (c *Checker) parse(text []byte) (root *yaml.Node) {
	defer func() {
		if recover() != nil {
			c.add(position{1, 1}, "", "the YAML parser failed on this text")
			root = nil
		}
	}()
	dec := yaml.NewDecoder(bytes.NewReader(text))
	var first, second yaml.Node
	if err := dec.Decode(&first); errors.Is(err, io.EOF) {
		c.add(position{1, 1}, "", "the document is empty")
		return nil
	} else if err != nil {
		c.addSyntax(err)
		return nil
	}
	if err := dec.Decode(&second); err == nil {
		c.add(position{second.Line, second.Column}, "", "the text has more than one YAML document")
		return nil
	} else if !errors.Is(err, io.EOF) {
		c.addSyntax(err)
		return nil
	}
	return first.Content[0]
}

var syntaxLine = regexp.MustCompile(`^line (\d+): `)

// addSyntax adds a problem for an error of the YAML library, which contains at most a line number.
func (c *Checker) addSyntax(err error) {
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	at := position{1, 1}
	if m := syntaxLine.FindStringSubmatch(message); m != nil {
		at.line, _ = strconv.Atoi(m[1])
		message = message[len(m[0]):]
	}
	c.add(at, "", "not valid YAML: %s", message)
}

// rejectUnsupported reports anchors, aliases and explicit tags in n and below it. Aliases can make a small text expand
// exponentially.
func (c *Checker) rejectUnsupported(n *yaml.Node, path []string) {
	at := position{n.Line, n.Column}
	if n.Kind == yaml.AliasNode {
		c.add(at, strings.Join(path, ""), "aliases are not allowed")
	}
	if n.Anchor != "" {
		c.addUnconditionally(at, strings.Join(path, ""), "anchors are not allowed")
	}
	if n.Style&yaml.TaggedStyle != 0 {
		c.addUnconditionally(at, strings.Join(path, ""), "explicit tags are not allowed")
	}
	for i, child := range n.Content {
		segment := ""
		switch {
		case n.Kind == yaml.SequenceNode:
			segment = indexSegment(i)
		case len(path) == 0:
			segment = truncateKey(n.Content[i&^1].Value)
		default:
			segment = "." + truncateKey(n.Content[i&^1].Value)
		}
		c.rejectUnsupported(child, append(path, segment))
	}
}

func indexSegment(i int) string { return "[" + strconv.Itoa(i) + "]" }

// truncateKey truncates a key of the text to maxPathKeyBytes, at a rune boundary, for use in a path.
func truncateKey(key string) string {
	if len(key) <= maxPathKeyBytes {
		return key
	}
	cut := maxPathKeyBytes
	for cut > 0 && !utf8.RuneStart(key[cut]) {
		cut--
	}
	return key[:cut] + "..."
}

// WithoutProblems returns a checker with the same positions and no problems.
func (c *Checker) WithoutProblems() *Checker {
	return &Checker{positions: c.positions, reported: map[string]bool{}}
}
