// Package document parses YAML and JSON documents, decodes them strictly into structs, and reports every fault with its line and
// column.
package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a document. Line and column count from 1; 0 means that the position isn't known.
type Fault struct {
	line, column int
	path         string
	text         string
}

// NewFault returns a fault at a position. The path is that of the field and may be empty.
func NewFault(line, column int, path, format string, args ...any) Fault {
	return Fault{line: line, column: column, path: path, text: fmt.Sprintf(format, args...)}
}

// At returns the fault with another position.
func (f Fault) At(line, column int) Fault {
	f.line, f.column = line, column
	return f
}

// Line returns the line, counted from 1, or 0 if it isn't known.
func (f Fault) Line() int { return f.line }

// Column returns the column, counted from 1 in bytes for JSON and in characters for YAML, or 0 if it isn't known.
func (f Fault) Column() int { return f.column }

// Path returns the field's path, such as "routes[2].timeout".
func (f Fault) Path() string { return f.path }

// Text returns the path and the description without the position.
func (f Fault) Text() string {
	if f.path == "" {
		return f.text
	}
	return f.path + ": " + f.text
}

// String returns the form "line:column: text".
func (f Fault) String() string { return fmt.Sprintf("%d:%d: %s", f.line, f.column, f.Text()) }

// Faults lists the faults of one document and implements error. Use Err to get a nil error for an empty list.
type Faults []Fault

// Error returns all faults, separated by semicolons.
func (f Faults) Error() string {
	texts := make([]string, len(f))
	for n, fault := range f {
		texts[n] = fault.String()
	}
	return strings.Join(texts, "; ")
}

// Sort orders the faults by position.
func (f Faults) Sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column))
	})
}

// Err returns f as an error, or nil if it is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
