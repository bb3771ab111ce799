// Package sheet parses, checks, compares and stores the operators' sheet: the desired state for a day as CSV.
package sheet

import (
	"bytes"
	"encoding/csv"
	"maps"
	"slices"
	"strconv"
)

// Kind is the kind of a rule.
type Kind string

// The kinds of rules.
const (
	// Service sets the number of partitions of a service.
	Service Kind = "service"
	// Place sets the data centre, the service and the capacity of an instance's slot. Capacities are relative to those of the other
	// slots of the service; 0 takes all keys away.
	Place Kind = "place"
	// Pin names the slot or data centre that must own a key.
	Pin Kind = "pin"
	// Allow names a data centre that may own the keys with a prefix.
	Allow Kind = "allow"
	// Weight sets the weight of a metric in placement.
	Weight Kind = "weight"
	// Budget limits the planned moves per minute.
	Budget Kind = "budget"
)

// The metrics that a weight names, see placement.Weights.
const (
	// Churn is the number of hashed partitions, and with them of keys, that move to another owner.
	Churn = "churn"
	// Imbalance is how unevenly the load is spread, relative to the capacities of the members.
	Imbalance = "imbalance"
	// Unavailable is the load that is interrupted while partitions are handed over.
	Unavailable = "unavailable"
)

// Rule is one row of a sheet.
type Rule struct {
	kind       Kind
	service    string
	name       string
	dataCentre string
	value      string
	reason     string
}

// Kind returns the kind.
func (r Rule) Kind() Kind { return r.kind }

// Service returns the service that the rule is for.
func (r Rule) Service() string { return r.service }

// Name returns the slot of a place, the key of a pin, the key prefix of an allow rule or the metric of a weight.
func (r Rule) Name() string { return r.name }

// DataCentre returns the data centre of a place or an allow rule.
func (r Rule) DataCentre() string { return r.dataCentre }

// Value returns the value as it is written in the sheet.
func (r Rule) Value() string { return r.value }

// Number returns the value as a number; it is 0 for kinds whose value isn't one.
func (r Rule) Number() float64 {
	number, err := strconv.ParseFloat(r.value, 64)
	if err != nil || r.kind == Pin {
		return 0
	}
	return number
}

// Reason returns the reason that the sheet gives for the rule; it may be empty.
func (r Rule) Reason() string { return r.reason }

func (r Rule) fields() []string {
	return []string{string(r.kind), r.service, r.name, r.dataCentre, r.value, r.reason}
}

// identity is the unique key of a rule: a sheet holds at most one rule of each identity.
type identity struct {
	kind                      Kind
	service, name, dataCentre string
}

func (r Rule) identity() identity {
	switch r.kind {
	case Place:
		// A slot runs one process, so it belongs to one service.
		return identity{kind: Place, name: r.name}
	case Allow:
		return identity{kind: Allow, service: r.service, name: r.name, dataCentre: r.dataCentre}
	default:
		return identity{kind: r.kind, service: r.service, name: r.name}
	}
}

// prefix is a prefix of keys of one service.
type prefix struct{ service, text string }

// Sheet is a checked sheet, which is immutable. The zero value has no rules.
type Sheet struct {
	rules   []Rule
	index   map[identity]Rule
	allowed map[prefix][]string
	// longestPrefix is the length of the longest prefix of an allow rule, in bytes.
	longestPrefix int
}

func newSheet(rules []Rule) Sheet {
	s := Sheet{rules: rules, index: make(map[identity]Rule, len(rules)), allowed: make(map[prefix][]string)}
	for _, r := range rules {
		s.index[r.identity()] = r
		if r.kind == Allow {
			p := prefix{r.service, r.name}
			s.allowed[p] = append(s.allowed[p], r.dataCentre)
			s.longestPrefix = max(s.longestPrefix, len(r.name))
		}
	}
	return s
}

// Rules returns the rules in the order of the sheet.
func (s Sheet) Rules() []Rule { return slices.Clone(s.rules) }

// Of returns the rules of a kind for a service in the order of the sheet.
func (s Sheet) Of(kind Kind, service string) []Rule {
	var rules []Rule
	for _, r := range s.rules {
		if r.kind == kind && r.service == service {
			rules = append(rules, r)
		}
	}
	return rules
}

// Services returns the names of all services that have a rule, sorted.
func (s Sheet) Services() []string {
	names := make(map[string]bool)
	for _, r := range s.rules {
		names[r.service] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Partitions returns the number of partitions of a service and false if the sheet doesn't set it.
func (s Sheet) Partitions(service string) (int, bool) {
	r, ok := s.index[identity{kind: Service, service: service}]
	return int(r.Number()), ok
}

// Capacity returns the capacity of a slot and false if the sheet doesn't list it.
func (s Sheet) Capacity(slot string) (float64, bool) {
	r, ok := s.index[identity{kind: Place, name: slot}]
	return r.Number(), ok
}

// PinTarget returns the slot or the data centre that must own a key; both are empty if the key isn't pinned.
func (s Sheet) PinTarget(service, key string) (slot, dataCentre string) {
	r, ok := s.index[identity{kind: Pin, service: service, name: key}]
	if !ok {
		return "", ""
	}
	if _, isSlot := s.index[identity{kind: Place, name: r.value}]; isSlot {
		return r.value, ""
	}
	return "", r.value
}

// Allowed returns the data centres that may own a key: those of the allow rules with the longest matching prefix. It returns
// false if no rule restricts the key.
func (s Sheet) Allowed(service, key string) ([]string, bool) {
	for length := min(len(key), s.longestPrefix); length >= 0; length-- {
		if centres, ok := s.allowed[prefix{service, key[:length]}]; ok {
			return slices.Clone(centres), true
		}
	}
	return nil, false
}

// Weight returns the weight of a metric for a service and false if the sheet doesn't set it.
func (s Sheet) Weight(service, metric string) (float64, bool) {
	r, ok := s.index[identity{kind: Weight, service: service, name: metric}]
	return r.Number(), ok
}

// Budget returns the limit on planned moves per minute for a service and false if the sheet doesn't set it.
func (s Sheet) Budget(service string) (int, bool) {
	r, ok := s.index[identity{kind: Budget, service: service}]
	return int(r.Number()), ok
}

// Encode returns the sheet as CSV.
func (s Sheet) Encode() []byte {
	var buffer bytes.Buffer
	w := csv.NewWriter(&buffer)
	_ = w.Write(columns)
	for _, r := range s.rules {
		_ = w.Write(r.fields())
	}
	w.Flush()
	return buffer.Bytes()
}
