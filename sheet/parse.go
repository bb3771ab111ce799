package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"sapphiretray/code"
	"sapphiretray/document"
)

const (
	// MaxRows bounds the rules of one sheet.
	MaxRows = 100_000
	// MaxBytes bounds the size of a sheet file.
	MaxBytes = 64 << 20
	// maxFaults bounds a report on a file that isn't a sheet at all.
	maxFaults = 1000
)

var (
	columns       = []string{"kind", "service", "name", "data_centre", "value", "reason"}
	byteOrderMark = []byte("\xef\xbb\xbf")
)

// Option changes how a sheet is checked.
type Option func(*parser)

// WithServices names services that exist without a rule of kind service in the sheet, such as those of the accepted
// configuration.
func WithServices(names ...string) Option {
	return func(p *parser) {
		for _, name := range names {
			p.services[name] = true
		}
	}
}

// accepted skips the check of service names: an accepted sheet was checked against the configuration of its time.
func accepted(p *parser) { p.accepted = true }

// Load parses a file.
func Load(path string, options ...Option) (Sheet, error) {
	content, err := ReadFile(path)
	if err != nil {
		return Sheet{}, err
	}
	return Parse(content, options...)
}

// ReadFile reads the content of a sheet file up to MaxBytes.
func ReadFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, code.Wrap(code.BadSheet, err, "sheet")
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, MaxBytes+1))
	switch {
	case err != nil:
		return nil, code.Wrap(code.BadSheet, err, "sheet")
	case len(content) > MaxBytes:
		return nil, code.New(code.BadSheet, "sheet %s is larger than %d bytes", path, MaxBytes)
	}
	return content, nil
}

// Parse reads a sheet as a whole. The error carries code.BadSheet and wraps document.Faults with every fault.
func Parse(content []byte, options ...Option) (Sheet, error) {
	p := parser{services: make(map[string]bool), rows: make(map[identity]int)}
	for _, option := range options {
		option(&p)
	}
	content = bytes.TrimPrefix(content, byteOrderMark)
	if p.encoding(content) {
		p.parse(content)
	}
	if len(p.faults) > 0 {
		p.faults.Sort()
		return Sheet{}, code.Wrap(code.BadSheet, p.faults, "sheet")
	}
	return newSheet(p.rules), nil
}

type parser struct {
	services  map[string]bool
	accepted  bool
	rules     []Rule
	positions []position
	// rows holds the line of each rule.
	rows   map[identity]int
	faults document.Faults
}

// position holds line and column of each field of a rule.
type position [6]struct{ line, column int }

// Indexes of the columns.
const (
	kindColumn = iota
	serviceColumn
	nameColumn
	dataCentreColumn
	valueColumn
	reasonColumn
)

func (p *parser) fail(line, column int, format string, args ...any) {
	if len(p.faults) < maxFaults {
		p.faults = append(p.faults, document.NewFault(line, column, "", format, args...))
	}
}

// encoding reports whether the content is whole UTF-8 text.
func (p *parser) encoding(content []byte) bool {
	if !utf8.Valid(content) {
		offset := 0
		for {
			r, size := utf8.DecodeRune(content[offset:])
			if r == utf8.RuneError && size <= 1 {
				break
			}
			offset += size
		}
		line, column := locate(content, offset)
		p.fail(line, column, "the sheet isn't UTF-8")
		return false
	}
	if len(content) > 0 && content[len(content)-1] != '\n' {
		line, column := locate(content, len(content))
		p.fail(line, column, "the sheet is truncated: its last line has no end")
	}
	return true
}

func locate(content []byte, offset int) (line, column int) {
	before := content[:offset]
	return bytes.Count(before, []byte("\n")) + 1, offset - bytes.LastIndexByte(before, '\n')
}

func (p *parser) parse(content []byte) {
	r := csv.NewReader(bytes.NewReader(content))
	r.FieldsPerRecord = -1
	r.ReuseRecord = true
	header, err := r.Read()
	if errors.Is(err, io.EOF) {
		p.fail(1, 1, "the sheet is empty; want the columns %s", strings.Join(columns, ","))
		return
	}
	if err != nil {
		p.quoteFault(err)
		return
	}
	if !slices.Equal(header, columns) {
		p.fail(1, 1, "wrong columns %q; want %s", strings.Join(header, ","), strings.Join(columns, ","))
		return
	}
	p.records(r)
	p.check()
}

func (p *parser) records(r *csv.Reader) {
	for rows := 0; ; rows++ {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			// What follows a misplaced quote can't be told from quoted text.
			p.quoteFault(err)
			return
		}
		line, _ := r.FieldPos(0)
		if rows == MaxRows {
			p.fail(line, 1, "the sheet has more than %d rows", MaxRows)
			return
		}
		if len(record) != len(columns) {
			p.fail(line, 1, "%d fields, want %d", len(record), len(columns))
			continue
		}
		p.rules = append(p.rules, Rule{
			kind: Kind(record[kindColumn]), service: record[serviceColumn], name: record[nameColumn],
			dataCentre: record[dataCentreColumn], value: record[valueColumn], reason: record[reasonColumn],
		})
		var at position
		for n := range at {
			at[n].line, at[n].column = r.FieldPos(n)
		}
		p.positions = append(p.positions, at)
	}
}

func (p *parser) quoteFault(err error) {
	var located *csv.ParseError
	if !errors.As(err, &located) {
		p.fail(1, 1, "%s", err)
		return
	}
	text := "a quote stands inside an unquoted field"
	if errors.Is(err, csv.ErrQuote) {
		text = "a quoted field that starts in line %d has no end, or text follows its end"
		p.fail(located.Line, max(located.Column, 1), text, located.StartLine)
		return
	}
	p.fail(located.Line, max(located.Column, 1), "%s", text)
}
