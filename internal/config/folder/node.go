package folder

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// kind is the kind of a YAML value.
type kind int

const (
	scalar kind = iota
	mapping
	sequence
	null
)

// String returns the kind as problems name it.
func (k kind) String() string {
	return [...]string{"a single value", "a mapping", "a list", "nothing"}[k]
}

// position is the position of a value in the folder; line and column count from 1.
type position struct {
	file         string
	line, column int
}

// problem returns a problem at this position.
func (p position) problem(value, expected string) Problem {
	return Problem{File: p.file, Line: p.line, Column: p.column, Value: value, Expected: expected}
}

// node is a YAML value of one file or of the merged files.
type node struct {
	// at is the position of the value; for a mapping with keys, the position of the
	// first key.
	at   position
	kind kind
	// text is the value of a scalar as written.
	text string
	// fields holds the entries of a mapping by key.
	fields map[string]field
	// order lists the keys of fields in the order in which they first occur.
	order []string
	// items holds the elements of a sequence.
	items []*node
}

// field is an entry of a mapping.
type field struct {
	at    position // position of the key
	value *node
}

// Limits that keep a malicious file from exhausting the stack of the YAML parser.
const (
	maxLineBytes    = 4096
	maxOpenBrackets = 32 // [ and { together
	maxDepth        = 32 // levels of nested values
)

// parseYAML returns the top-level mapping of a file, or nil if the file has none or
// cannot be parsed.
func parseYAML(file File, problems *ProblemsError) *node {
	if problem, bad := checkText(file); bad {
		problems.add(problem)

		return nil
	}
	parsed, err := parser.ParseBytes(file.Content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		problems.add(syntaxProblem(file.Name, err))

		return nil
	}
	c := converter{file: file.Name, problems: problems}
	var root *node
	for i, doc := range parsed.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType {
			continue
		}
		n := c.convert(doc.Body, 0)
		switch {
		case i > 0 || root != nil:
			problems.add(n.at.problem("---", "one document in a file"))
		case n.kind != mapping && n.kind != null:
			problems.add(n.at.problem(n.describe(), "a mapping of the keys "+strings.Join(topLevelKeys, ", ")))
		case n.kind == mapping:
			root = n
		}
	}

	return root
}

// checkText returns a problem and true if a file holds control characters, a line longer
// than maxLineBytes, or more than maxOpenBrackets open brackets. No operator writes such
// a line or nesting by hand.
func checkText(file File) (Problem, bool) {
	depth, line, column := 0, 1, 0
	problemHere := func(value, expected string) (Problem, bool) {
		return Problem{File: file.Name, Line: line, Column: column, Value: value, Expected: expected}, true
	}
	for _, c := range file.Content {
		column++
		switch c {
		case '\n':
			line, column = line+1, 0
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		case '\t', '\r':
		default:
			if c < ' ' {
				return problemHere(string(rune(c)), "text without control characters")
			}
		}
		if column > maxLineBytes {
			return problemHere("long line", fmt.Sprintf("lines of at most %d bytes", maxLineBytes))
		}
		if depth > maxOpenBrackets {
			return problemHere(string(rune(c)), fmt.Sprintf("at most %d open brackets", maxOpenBrackets))
		}
	}

	return Problem{}, false
}

// syntaxProblem returns an error of the YAML parser as a problem. The problem is at the
// position of the error, or at the start of the file if the position is not known.
func syntaxProblem(name string, err error) Problem {
	problem := Problem{File: name, Line: 1, Column: 1, Expected: "YAML: " + firstLine(err.Error())}
	var located yaml.Error
	if errors.As(err, &located) {
		problem.Expected = "YAML: " + firstLine(located.GetMessage())
		if t := located.GetToken(); t != nil {
			problem.Line, problem.Column, problem.Value = t.Position.Line, t.Position.Column, t.Value
		}
	}

	return problem
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")

	return line
}

// converter turns the syntax tree of a YAML file into nodes.
type converter struct {
	file     string
	problems *ProblemsError
}

// at returns the position of a token, or the start of the file if the position is not
// known.
func (c converter) at(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{file: c.file, line: 1, column: 1}
	}

	return position{file: c.file, line: t.Position.Line, column: t.Position.Column}
}

// convert returns the value of a syntax tree. depth is the number of levels above the
// tree; it is 0 at the top.
func (c converter) convert(in ast.Node, depth int) *node {
	if in == nil {
		return &node{at: c.at(nil), kind: null}
	}
	n := &node{at: c.at(in.GetToken()), kind: null}
	if depth > maxDepth {
		c.problems.add(n.at.problem("nesting", fmt.Sprintf("at most %d levels", maxDepth)))

		return n
	}
	switch in := in.(type) {
	case *ast.NullNode:
	case *ast.StringNode:
		n.kind, n.text = scalar, in.Value
	case *ast.LiteralNode:
		n.kind, n.text = scalar, in.Value.Value
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		n.kind, n.text = scalar, in.GetToken().Value
	case *ast.MappingNode:
		n.kind = mapping
		c.mapping(n, in.Values, depth)
	case *ast.MappingValueNode:
		n.kind = mapping
		c.mapping(n, []*ast.MappingValueNode{in}, depth)
	case *ast.SequenceNode:
		n.kind = sequence
		for _, value := range in.Values {
			n.items = append(n.items, c.convert(value, depth+1))
		}
	default:
		c.problems.add(n.at.problem(in.GetToken().Value, "plain values, mappings and lists (no anchors, aliases or tags)"))
	}

	return n
}

// mapping fills in the fields of a mapping. If a key occurs more than once, the first
// occurrence counts and each further occurrence is a problem.
func (c converter) mapping(n *node, values []*ast.MappingValueNode, depth int) {
	if len(values) > 0 {
		n.at = c.at(values[0].Key.GetToken())
	}
	n.fields = make(map[string]field, len(values))
	for _, value := range values {
		key, ok := value.Key.(ast.Node).(ast.ScalarNode)
		at := c.at(value.Key.GetToken())
		if _, merge := value.Key.(*ast.MergeKeyNode); !ok || merge {
			c.problems.add(at.problem(value.Key.GetToken().Value, "a plain key"))

			continue
		}
		name := key.GetToken().Value
		if first, twice := n.fields[name]; twice {
			c.problems.add(at.problem(name, fmt.Sprintf("each key once in a file (first on line %d)", first.at.line)))

			continue
		}
		n.fields[name] = field{at: at, value: c.convert(value.Value, depth+1)}
		n.order = append(n.order, name)
	}
}

// merge returns base overridden by a later file: mappings are merged at every depth,
// and any other value of the later file replaces that of base. It changes base.
func merge(base, later *node) *node {
	if base.kind != mapping || later.kind != mapping {
		return later
	}
	for _, name := range later.order {
		next := later.fields[name]
		if old, ok := base.fields[name]; ok {
			next.value = merge(old.value, next.value)
		} else {
			base.order = append(base.order, name)
		}
		if base.fields == nil {
			base.fields = make(map[string]field)
		}
		base.fields[name] = next
	}

	return base
}

// describe returns the node as problems quote it: the text of a scalar, otherwise
// the kind.
func (n *node) describe() string {
	if n.kind == scalar {
		return n.text
	}

	return n.kind.String()
}
