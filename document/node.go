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

// maxDepth is the maximum nesting of a JSON document, since the parser is recursive.
const maxDepth = 100

type kind int

// The kinds of nodes. The zero value is null.
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
	// value is the value of a scalar: a string, bool, json.Number, or a number type of the YAML library.
	value any
	// items holds the items of a list, fields the fields of an object.
	items  []*Node
	fields []field
}

// field is a field of an object. Line and column are those of its name.
type field struct {
	name         string
	line, column int
	node         *Node
}

// Position returns line and column of the value at a path such as "routes[2].timeout", or those of the innermost enclosing value
// if it is missing.
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

// child returns the field with the given name or the item with the given index, or nil if there is none.
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

// ParseYAML parses a YAML document. Anchors, aliases, tags, merge keys and several documents in one file are errors.
func ParseYAML(content []byte) (*Node, ValidationErrors) {
	file, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, ValidationErrors{yamlValidationError(err)}
	}
	switch {
	case len(file.Docs) == 0 || file.Docs[0].Body == nil:
		return nil, ValidationErrors{NewValidationError(1, 1, "", "the document is empty")}
	case len(file.Docs) > 1:
		return nil, ValidationErrors{NewValidationError(1, 1, "", "the file contains %d documents, want one", len(file.Docs))}
	}
	var errs ValidationErrors
	root := fromYAML(file.Docs[0].Body, &errs)
	return root, errs
}

// yamlValidationError returns the validation error for an error of the YAML library, at 1:1 if the error has no position.
func yamlValidationError(err error) ValidationError {
	var yamlError yaml.Error
	if errors.As(err, &yamlError) && yamlError.GetToken() != nil {
		position := yamlError.GetToken().Position
		return NewValidationError(position.Line, position.Column, "", "%s", yamlError.GetMessage())
	}
	return NewValidationError(1, 1, "", "%s", err)
}

// fromYAML converts a node of the YAML library and adds a validation error for each construct that isn't allowed.
func fromYAML(n ast.Node, errs *ValidationErrors) *Node {
	position := n.GetToken().Position
	result := &Node{line: position.Line, column: position.Column}
	switch n := n.(type) {
	case *ast.MappingNode:
		result.kind = object
		for _, pair := range n.Values {
			result.addField(pair, errs)
		}
	case *ast.MappingValueNode:
		result.kind = object
		result.addField(n, errs)
	case *ast.SequenceNode:
		result.kind = list
		for _, item := range n.Values {
			result.items = append(result.items, fromYAML(item, errs))
		}
	case *ast.NullNode:
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		*errs = append(*errs,
			NewValidationError(position.Line, position.Column, "", "anchors, aliases, tags and merge keys aren't allowed"))
	default:
		result.kind = scalar
		if err := yaml.NodeToValue(n, &result.value); err != nil {
			*errs = append(*errs, yamlValidationError(err))
		}
	}
	if len(result.fields) > 0 {
		result.line, result.column = result.fields[0].line, result.fields[0].column
	}
	return result
}

// addField adds a field from a key and value of a YAML mapping.
func (n *Node) addField(pair *ast.MappingValueNode, errs *ValidationErrors) {
	position := pair.Key.GetToken().Position
	n.fields = append(n.fields, field{
		name: pair.Key.GetToken().Value, line: position.Line, column: position.Column,
		node: fromYAML(pair.Value, errs),
	})
}

// ParseJSON parses a document that consists of one JSON value. It stops at the first error.
func ParseJSON(content []byte) (*Node, ValidationErrors) {
	p := jsonParser{content: content, decoder: json.NewDecoder(bytes.NewReader(content))}
	p.decoder.UseNumber()
	root, err := p.value(0)
	if err == nil {
		if _, tokenErr := p.decoder.Token(); !errors.Is(tokenErr, io.EOF) {
			err = errors.New("unexpected text after the value")
		}
	}
	if err != nil {
		line, column := p.position(p.decoder.InputOffset())
		var syntaxError *json.SyntaxError
		switch {
		case errors.As(err, &syntaxError):
			line, column = p.position(max(syntaxError.Offset-1, p.decoder.InputOffset()))
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			err = errors.New("unexpected end of the document")
		}
		return nil, ValidationErrors{NewValidationError(line, column, "", "%s", err)}
	}
	return root, nil
}

// jsonParser builds nodes from the tokens of a json.Decoder, with the positions of the tokens in content.
type jsonParser struct {
	content []byte
	decoder *json.Decoder
}

// nextTokenOffset returns the offset of the next token in bytes.
func (p *jsonParser) nextTokenOffset() int64 {
	offset := p.decoder.InputOffset()
	for offset < int64(len(p.content)) && strings.IndexByte(" \t\r\n,:", p.content[offset]) >= 0 {
		offset++
	}
	return offset
}

// position returns the line and column of an offset, both counted from 1.
func (p *jsonParser) position(offset int64) (line, column int) {
	preceding := p.content[:min(offset, int64(len(p.content)))]
	return bytes.Count(preceding, []byte("\n")) + 1, len(preceding) - bytes.LastIndexByte(preceding, '\n')
}

// value parses the next value, which is nested in depth lists and objects.
func (p *jsonParser) value(depth int) (*Node, error) {
	if depth > maxDepth {
		return nil, fmt.Errorf("more than %d levels of nesting", maxDepth)
	}
	line, column := p.position(p.nextTokenOffset())
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

// object parses the fields of an object after its opening brace into n.
func (p *jsonParser) object(n *Node, depth int) error {
	for p.decoder.More() {
		line, column := p.position(p.nextTokenOffset())
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
