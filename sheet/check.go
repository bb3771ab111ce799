package sheet

import (
	"math/bits"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"sapphiretray/document"
	"sapphiretray/partition"
)

const (
	// maxKeyBytes is the largest size of a key or a key prefix.
	maxKeyBytes = 1024
	// maxTextBytes is the largest size of a reason.
	maxTextBytes = 1024
	// maxNumber is the largest capacity, weight or budget.
	maxNumber = 1e6
)

var (
	numberPattern = regexp.MustCompile(`^-?[0-9]{1,15}(\.[0-9]{1,15})?$`)
	metrics       = []string{Churn, Imbalance, Unavailable}
)

// check reports the errors of all rules. Rows with a wrong number of fields were reported by readRules and aren't among them.
func (p *parser) check() {
	centres := make(map[string]bool)
	for _, r := range p.rules {
		switch r.kind {
		case Service:
			p.services[r.service] = true
		case Place:
			centres[r.dataCentre] = true
		default:
		}
	}
	for n, r := range p.rules {
		p.checkRule(n, r)
		p.checkUnique(n, r)
	}
	s := newSheet(p.rules)
	for n, r := range p.rules {
		switch r.kind {
		case Pin:
			p.checkPin(n, r, s, centres)
		case Allow:
			p.require(centres[r.dataCentre], n, dataCentreColumn, "no place is in data centre %q", r.dataCentre)
		default:
		}
	}
}

// require reports an error at a field unless ok is true.
func (p *parser) require(ok bool, row, column int, format string, args ...any) {
	if !ok {
		at := p.positions[row][column]
		p.report(at.line, at.column, format, args...)
	}
}

// requireEmpty reports each of the columns that rules of this kind don't use and that isn't empty.
func (p *parser) requireEmpty(row int, r Rule, unused ...int) {
	for _, column := range unused {
		p.require(r.fields()[column] == "", row, column, "a rule of kind %s has no %s", r.kind, columns[column])
	}
}

// checkRule reports errors in the fields of a rule, apart from conflicts with other rules.
func (p *parser) checkRule(row int, r Rule) {
	p.require(p.anyService || p.services[r.service], row, serviceColumn, "unknown service %q", r.service)
	p.require(document.ValidName(r.service), row, serviceColumn, "%q isn't a name", r.service)
	p.require(len(r.reason) <= maxTextBytes && printable(r.reason), row, reasonColumn,
		"want up to %d printable characters", maxTextBytes)
	switch r.kind {
	case Service:
		p.requireEmpty(row, r, nameColumn, dataCentreColumn)
		count, whole := wholeNumber(r.value)
		p.require(whole && count > 0 && count <= partition.MaxPartitions && bits.OnesCount(uint(count)) == 1,
			row, valueColumn, "%q partitions: want a power of two up to %d", r.value, partition.MaxPartitions)
	case Place:
		p.require(document.ValidName(r.name), row, nameColumn, "%q isn't the name of a slot", r.name)
		p.require(document.ValidName(r.dataCentre), row, dataCentreColumn, "%q isn't the name of a data centre", r.dataCentre)
		p.checkNumber(row, "capacity", r.value)
	case Pin:
		p.requireEmpty(row, r, dataCentreColumn)
		p.require(r.name != "" && validKey(r.name), row, nameColumn, "want a key of 1 to %d printable characters", maxKeyBytes)
	case Allow:
		p.requireEmpty(row, r, valueColumn)
		p.require(validKey(r.name), row, nameColumn, "want a key prefix of up to %d printable characters", maxKeyBytes)
	case Weight:
		p.requireEmpty(row, r, dataCentreColumn)
		p.require(slices.Contains(metrics, r.name), row, nameColumn, "%q: want %s", r.name, strings.Join(metrics, ", "))
		p.checkNumber(row, "weight", r.value)
	case Budget:
		p.requireEmpty(row, r, nameColumn, dataCentreColumn)
		count, whole := wholeNumber(r.value)
		p.require(whole && count >= 0 && count <= maxNumber, row, valueColumn,
			"%q moves per minute: want a whole number from 0 to %d", r.value, int(maxNumber))
	default:
		p.require(false, row, kindColumn, "%q: want service, place, pin, allow, weight or budget", r.kind)
	}
}

// checkNumber reports a value that isn't a number from 0 to maxNumber. The parameter what names the value in the error.
func (p *parser) checkNumber(row int, what, text string) {
	number, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || !numberPattern.MatchString(text):
		p.require(false, row, valueColumn, "%s %q isn't a number", what, text)
	case number < 0:
		p.require(false, row, valueColumn, "%s %s is below 0", what, text)
	default:
		p.require(number <= maxNumber, row, valueColumn, "%s %s is above %g", what, text, maxNumber)
	}
}

// checkUnique reports a rule whose identity an earlier rule has.
func (p *parser) checkUnique(row int, r Rule) {
	id := r.identity()
	line := p.positions[row][kindColumn].line
	if earlier, taken := p.lines[id]; taken {
		p.require(false, row, nameColumn, "duplicate rule: line %d has a rule of kind %s for the same name", earlier, r.kind)
		return
	}
	p.lines[id] = line
}

// checkPin reports a pin whose value is neither a slot of its service nor a data centre of a place, or names one where the key
// isn't allowed.
func (p *parser) checkPin(row int, r Rule, s Sheet, centres map[string]bool) {
	place, isSlot := s.index[identity{kind: Place, name: r.value}]
	centre := r.value
	switch {
	case isSlot && centres[r.value]:
		p.require(false, row, valueColumn, "%q is both a slot and a data centre", r.value)
		return
	case isSlot && place.service != r.service:
		p.require(false, row, valueColumn, "slot %s belongs to service %s", r.value, place.service)
		return
	case isSlot:
		centre = place.dataCentre
	case !centres[r.value]:
		p.require(false, row, valueColumn, "%q is neither a slot nor a data centre of a place in the sheet", r.value)
		return
	}
	if allowed, restricted := s.Allowed(r.service, r.name); restricted {
		p.require(slices.Contains(allowed, centre), row, valueColumn,
			"the pin conflicts with an allow rule: the key is allowed only in %s", strings.Join(allowed, ", "))
	}
}

func validKey(key string) bool { return len(key) <= maxKeyBytes && printable(key) }

// printable reports whether a text has only printable characters. Line breaks and other control characters could forge lines of
// a plan or a log.
func printable(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return !strconv.IsPrint(r) })
}

// wholeNumber parses a decimal integer. It returns false if the text isn't one, or has a plus sign or too many digits.
func wholeNumber(text string) (int, bool) {
	number, err := strconv.Atoi(text)
	return number, err == nil && numberPattern.MatchString(text)
}
