// Package document parses YAML and JSON documents, decodes them strictly into structs, and reports every error with its line and
// column.
package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// ValidationError is one error in a document. Line and column count from 1; 0 means that the position isn't known.
type ValidationError struct {
	line, column int
	path         string
	text         string
}

// NewValidationError returns a validation error at a position. The path is that of the field and may be empty.
func NewValidationError(line, column int, path, format string, args ...any) ValidationError {
	return ValidationError{line: line, column: column, path: path, text: fmt.Sprintf(format, args...)}
}

// At returns the error with another position.
func (v ValidationError) At(line, column int) ValidationError {
	v.line, v.column = line, column
	return v
}

// Line returns the line, counted from 1, or 0 if it isn't known.
func (v ValidationError) Line() int { return v.line }

// Column returns the column, counted from 1 in bytes for JSON and in characters for YAML, or 0 if it isn't known.
func (v ValidationError) Column() int { return v.column }

// Path returns the field's path, such as "routes[2].timeout".
func (v ValidationError) Path() string { return v.path }

// Text returns the path and the description without the position.
func (v ValidationError) Text() string {
	if v.path == "" {
		return v.text
	}
	return v.path + ": " + v.text
}

// String returns the form "line:column: text".
func (v ValidationError) String() string { return fmt.Sprintf("%d:%d: %s", v.line, v.column, v.Text()) }

// ValidationErrors lists the validation errors of one document and implements error. Use Err to get a nil error for an empty list.
type ValidationErrors []ValidationError

// Error returns all errors, separated by semicolons.
func (v ValidationErrors) Error() string {
	texts := make([]string, len(v))
	for n, item := range v {
		texts[n] = item.String()
	}
	return strings.Join(texts, "; ")
}

// Sort orders the errors by position.
func (v ValidationErrors) Sort() {
	slices.SortStableFunc(v, func(a, b ValidationError) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column))
	})
}

// Err returns v as an error, or nil if it is empty.
func (v ValidationErrors) Err() error {
	if len(v) == 0 {
		return nil
	}
	return v
}
