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
	// MaxRows is the largest number of rules in one sheet.
	MaxRows = 100_000
	// MaxBytes is the largest size of a sheet file: 64 MiB.
	MaxBytes = 64 << 20
	// maxErrors bounds the errors that are reported for one file, which may not be a sheet at all.
	maxErrors = 1000
)

var (
	columns       = []string{"kind", "service", "name", "data_centre", "value", "reason"}
	byteOrderMark = []byte("\xef\xbb\xbf")
)

// Option configures the checks of Parse.
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

// skipServiceCheck allows unknown service names. It is for accepted sheets, whose services were checked against the configuration
// when they were accepted and may have left it since.
func skipServiceCheck(p *parser) { p.anyService = true }

// Load reads and parses a sheet file. Errors are those of ReadFile and Parse.
func Load(path string, options ...Option) (Sheet, error) {
	content, err := ReadFile(path)
	if err != nil {
		return Sheet{}, err
	}
	return Parse(content, options...)
}

// ReadFile returns the content of a sheet file. The error carries code.BadSheet if it can't be read or is larger than MaxBytes.
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

// Parse parses and checks a sheet in UTF-8, with or without a byte order mark. The error carries code.BadSheet and wraps
// document.ValidationErrors with every error, up to maxErrors; a sheet with an error is refused as a whole.
func Parse(content []byte, options ...Option) (Sheet, error) {
	p := parser{services: make(map[string]bool), lines: make(map[identity]int)}
	for _, option := range options {
		option(&p)
	}
	content = bytes.TrimPrefix(content, byteOrderMark)
	if p.checkEncoding(content) {
		p.parse(content)
	}
	if len(p.errs) > 0 {
		p.errs.Sort()
		return Sheet{}, code.Wrap(code.BadSheet, p.errs, "sheet")
	}
	return newSheet(p.rules), nil
}

type parser struct {
	services map[string]bool
	// anyService allows service names that aren't in services.
	anyService bool
	rules      []Rule
	// positions holds the positions of the fields of each rule.
	positions []fieldPositions
	// lines holds the line of each rule.
	lines map[identity]int
	errs  document.ValidationErrors
}

// fieldPositions holds the line and the column of each field of a rule, both from 1.
type fieldPositions [6]struct{ line, column int }

// Indexes of the columns.
const (
	kindColumn = iota
	serviceColumn
	nameColumn
	dataCentreColumn
	valueColumn
	reasonColumn
)

// report adds an error, unless there are maxErrors already.
func (p *parser) report(line, column int, format string, args ...any) {
	if len(p.errs) < maxErrors {
		p.errs = append(p.errs, document.NewValidationError(line, column, "", format, args...))
	}
}

// checkEncoding reports the first byte that isn't UTF-8, or a last line without a line break. It returns false if the content isn't
// UTF-8 and can't be parsed.
func (p *parser) checkEncoding(content []byte) bool {
	if !utf8.Valid(content) {
		offset := 0
		for {
			r, size := utf8.DecodeRune(content[offset:])
			if r == utf8.RuneError && size <= 1 {
				break
			}
			offset += size
		}
		line, column := lineAndColumn(content, offset)
		p.report(line, column, "the sheet isn't UTF-8")
		return false
	}
	if len(content) > 0 && content[len(content)-1] != '\n' {
		line, column := lineAndColumn(content, len(content))
		p.report(line, column, "the sheet is truncated: its last line has no end")
	}
	return true
}

// lineAndColumn returns the position of a byte offset, both from 1; the column counts bytes.
func lineAndColumn(content []byte, offset int) (line, column int) {
	before := content[:offset]
	return bytes.Count(before, []byte("\n")) + 1, offset - bytes.LastIndexByte(before, '\n')
}

// parse reads the header and the rules and checks them.
func (p *parser) parse(content []byte) {
	r := csv.NewReader(bytes.NewReader(content))
	r.FieldsPerRecord = -1
	r.ReuseRecord = true
	header, err := r.Read()
	if errors.Is(err, io.EOF) {
		p.report(1, 1, "the sheet is empty; want the columns %s", strings.Join(columns, ","))
		return
	}
	if err != nil {
		p.reportQuote(err)
		return
	}
	if !slices.Equal(header, columns) {
		p.report(1, 1, "wrong columns %q; want %s", strings.Join(header, ","), strings.Join(columns, ","))
		return
	}
	p.readRules(r)
	p.check()
}

// readRules appends the rule of each row with the right number of fields.
func (p *parser) readRules(r *csv.Reader) {
	for rows := 0; ; rows++ {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			// After a misplaced quote, quoted and unquoted text can't be told apart.
			p.reportQuote(err)
			return
		}
		line, _ := r.FieldPos(0)
		if rows == MaxRows {
			p.report(line, 1, "the sheet has more than %d rows", MaxRows)
			return
		}
		if len(record) != len(columns) {
			p.report(line, 1, "%d fields, want %d", len(record), len(columns))
			continue
		}
		p.rules = append(p.rules, Rule{
			kind: Kind(record[kindColumn]), service: record[serviceColumn], name: record[nameColumn],
			dataCentre: record[dataCentreColumn], value: record[valueColumn], reason: record[reasonColumn],
		})
		var at fieldPositions
		for n := range at {
			at[n].line, at[n].column = r.FieldPos(n)
		}
		p.positions = append(p.positions, at)
	}
}

// reportQuote reports an error of the CSV reader, which is about a misplaced or missing quote.
func (p *parser) reportQuote(err error) {
	var located *csv.ParseError
	if !errors.As(err, &located) {
		p.report(1, 1, "%s", err)
		return
	}
	text := "an unquoted field contains a quote"
	if errors.Is(err, csv.ErrQuote) {
		text = "a quoted field that starts in line %d has no end, or text follows its end"
		p.report(located.Line, max(located.Column, 1), text, located.StartLine)
		return
	}
	p.report(located.Line, max(located.Column, 1), "%s", text)
}
