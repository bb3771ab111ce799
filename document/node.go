package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxDepth bounds the nesting of JSON, since the parser is recursive.
const maxDepth = 100

type kind int

const (
	null kind = iota
	scalar
	list
	object
)

// Node is a value of a parsed document with its position.
type Node struct {
	kind         kind
	line, column int
	// value is a string, bool, json.Number, or a number type of the YAML library.
	value  any
	items  []*Node
	fields []field
}

type field struct {
	name         string
	line, column int
	node         *Node
}

// Position returns line and column of the field at a path; the nearest enclosing value stands in for a missing one.
func (n *Node) Position(path string) (line, column int) {
	line, column = n.line, n.column
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		next := n.child(step)
		if next == nil {
			break
		}
		n = next
		line, column = n.line, n.column
	}
	return line, column
}

func (n *Node) child(step string) *Node {
	if n.kind == list {
		var index int
		if _, err := fmt.Sscanf(step, "%d", &index); err != nil || index < 0 || index >= len(n.items) {
			return nil
		}
		return n.items[index]
	}
	for _, f := range n.fields {
		if f.name == step {
			return f.node
		}
	}
	return nil
}

// ParseYAML parses a document. Anchors, aliases, tags and several documents in one file are refused.
func ParseYAML(content []byte) (*Node, Faults) {
	file, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, Faults{yamlFault(err)}
	}
	switch {
	case len(file.Docs) == 0 || file.Docs[0].Body == nil:
		return nil, Faults{NewFault(1, 1, "", "the document is empty")}
	case len(file.Docs) > 1:
		return nil, Faults{NewFault(1, 1, "", "the file holds %d documents, want one", len(file.Docs))}
	}
	var faults Faults
	root := fromYAML(file.Docs[0].Body, &faults)
	return root, faults
}

func yamlFault(err error) Fault {
	var located yaml.Error
	if errors.As(err, &located) && located.GetToken() != nil {
		position := located.GetToken().Position
		return NewFault(position.Line, position.Column, "", "%s", located.GetMessage())
	}
	return NewFault(1, 1, "", "%s", err)
}

func fromYAML(n ast.Node, faults *Faults) *Node {
	position := n.GetToken().Position
	result := &Node{line: position.Line, column: position.Column}
	switch n := n.(type) {
	case *ast.MappingNode:
		result.kind = object
		for _, pair := range n.Values {
			result.add(pair, faults)
		}
	case *ast.MappingValueNode:
		result.kind = object
		result.add(n, faults)
	case *ast.SequenceNode:
		result.kind = list
		for _, item := range n.Values {
			result.items = append(result.items, fromYAML(item, faults))
		}
	case *ast.NullNode:
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		*faults = append(*faults, NewFault(position.Line, position.Column, "", "anchors, aliases, tags and merges aren't allowed"))
	default:
		result.kind = scalar
		if err := yaml.NodeToValue(n, &result.value); err != nil {
			*faults = append(*faults, yamlFault(err))
		}
	}
	if len(result.fields) > 0 {
		result.line, result.column = result.fields[0].line, result.fields[0].column
	}
	return result
}

func (n *Node) add(pair *ast.MappingValueNode, faults *Faults) {
	position := pair.Key.GetToken().Position
	n.fields = append(n.fields, field{
		name: pair.Key.GetToken().Value, line: position.Line, column: position.Column,
		node: fromYAML(pair.Value, faults),
	})
}

// ParseJSON parses a document of one JSON value.
func ParseJSON(content []byte) (*Node, Faults) {
	p := jsonParser{content: content, decoder: json.NewDecoder(bytes.NewReader(content))}
	p.decoder.UseNumber()
	root, err := p.value(0)
	if err == nil {
		if _, trailing := p.decoder.Token(); !errors.Is(trailing, io.EOF) {
			err = errors.New("more text after the value")
		}
	}
	if err != nil {
		line, column := p.position(p.decoder.InputOffset())
		var syntax *json.SyntaxError
		switch {
		case errors.As(err, &syntax):
			line, column = p.position(max(syntax.Offset-1, p.decoder.InputOffset()))
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			err = errors.New("the document ends too early")
		}
		return nil, Faults{NewFault(line, column, "", "%s", err)}
	}
	return root, nil
}

type jsonParser struct {
	content []byte
	decoder *json.Decoder
}

// start returns the offset of the next token.
func (p *jsonParser) start() int64 {
	offset := p.decoder.InputOffset()
	for offset < int64(len(p.content)) && strings.IndexByte(" \t\r\n,:", p.content[offset]) >= 0 {
		offset++
	}
	return offset
}

func (p *jsonParser) position(offset int64) (line, column int) {
	before := p.content[:min(offset, int64(len(p.content)))]
	return bytes.Count(before, []byte("\n")) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}

func (p *jsonParser) value(depth int) (*Node, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("more than %d levels of nesting", maxDepth)
	}
	line, column := p.position(p.start())
	token, err := p.decoder.Token()
	if err != nil {
		return nil, err
	}
	n := &Node{kind: scalar, line: line, column: column, value: token}
	switch token {
	case nil:
		n.kind = null
	case json.Delim('{'):
		n.kind = object
		return n, p.object(n, depth)
	case json.Delim('['):
		n.kind = list
		for p.decoder.More() {
			item, err := p.value(depth + 1)
			if err != nil {
				return nil, err
			}
			n.items = append(n.items, item)
		}
		_, err = p.decoder.Token()
	}
	return n, err
}

func (p *jsonParser) object(n *Node, depth int) error {
	for p.decoder.More() {
		line, column := p.position(p.start())
		token, err := p.decoder.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return fmt.Errorf("want a field name, got %v", token)
		}
		value, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		n.fields = append(n.fields, field{name: name, line: line, column: column, node: value})
	}
	_, err := p.decoder.Token()
	return err
}
