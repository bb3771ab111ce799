package sheet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Action is what a change does to a rule: add, remove or modify.
type Action string

// The actions.
const (
	Add    Action = "add"
	Remove Action = "remove"
	Modify Action = "modify"
)

// Change is one difference between two sheets.
type Change struct {
	action Action
	older  Rule
	newer  Rule
}

// Action returns what the change does to the rule.
func (c Change) Action() Action { return c.action }

// Older returns the rule in effect; it is zero if the rule is added.
func (c Change) Older() Rule { return c.older }

// Newer returns the new rule; it is zero if the rule is removed.
func (c Change) Newer() Rule { return c.newer }

// Rule returns the new rule, or the old one if the change removes it.
func (c Change) Rule() Rule {
	if c.action == Remove {
		return c.older
	}
	return c.newer
}

// Reason describes the effect of the change and gives the reason from the sheet.
func (c Change) Reason() string {
	reason := c.effect()
	switch {
	case c.action == Remove:
		return reason + "; the new sheet has no such rule"
	case c.newer.reason != "":
		return reason + "; reason in the sheet: " + c.newer.reason
	default:
		return reason + "; the sheet gives no reason"
	}
}

// String describes the change in one line.
func (c Change) String() string {
	r := c.Rule()
	text := fmt.Sprintf("%s %s %s", c.action, r.kind, r.service)
	for _, part := range []string{r.name, r.dataCentre} {
		if part != "" {
			text += " " + part
		}
	}
	if c.action == Modify {
		text += ": " + strings.Join(c.differences(), ", ")
	} else if r.value != "" {
		text += ": " + r.value
	}
	return text + " (" + c.Reason() + ")"
}

// differences returns "column old -> new" for each column that differs, except for the reason.
func (c Change) differences() []string {
	var lines []string
	before, after := c.older.fields(), c.newer.fields()
	for column, name := range columns[:reasonColumn] {
		if before[column] != after[column] {
			lines = append(lines, fmt.Sprintf("%s %s -> %s", name, before[column], after[column]))
		}
	}
	return lines
}

// effect describes what the change does once it is accepted.
func (c Change) effect() string {
	r := c.Rule()
	removed := c.action == Remove
	switch r.kind {
	case Service:
		return choose(removed, "the configuration sets the partitions", "keys are hashed to this many partitions")
	case Place:
		return c.placeEffect()
	case Pin:
		return choose(removed, "the key may be owned elsewhere", "the key moves there unless it is there already")
	case Allow:
		return choose(removed, "keys with the prefix are no longer allowed there by this rule", "keys with the prefix may be owned there")
	case Weight:
		return choose(removed, "the configuration sets the weight", "later plans weigh the metric by this")
	case Budget:
		return choose(removed, "the configuration sets the budget", "the planner makes at most this many moves a minute")
	}
	return "no effect"
}

func (c Change) placeEffect() string {
	before, after := c.older.Number(), c.newer.Number()
	switch {
	case c.action == Remove, c.action == Modify && after == 0:
		return "its keys move to other places"
	case c.action == Add && after == 0:
		return "it receives no keys"
	case c.action == Add:
		return "it receives a share of the keys"
	case c.older.service != c.newer.service:
		return "it serves another service and receives a share of its keys"
	case after > before:
		return "it receives more keys"
	case after < before:
		return "some of its keys move to other places"
	}
	return "the share of keys stays"
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// Plan returns the changes when newer replaces older, ordered by service, kind, name and data centre. A rule that differs only in
// its reason doesn't count as changed.
func Plan(older, newer Sheet) []Change {
	var changes []Change
	for _, r := range newer.rules {
		old, existed := older.index[r.identity()]
		withOldReason := r
		withOldReason.reason = old.reason
		switch {
		case !existed:
			changes = append(changes, Change{action: Add, newer: r})
		case withOldReason != old:
			changes = append(changes, Change{action: Modify, older: old, newer: r})
		}
	}
	for _, r := range older.rules {
		if _, kept := newer.index[r.identity()]; !kept {
			changes = append(changes, Change{action: Remove, older: r})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		x, y := a.Rule(), b.Rule()
		return cmp.Or(
			cmp.Compare(x.service, y.service), cmp.Compare(x.kind, y.kind),
			cmp.Compare(x.name, y.name), cmp.Compare(x.dataCentre, y.dataCentre),
		)
	})
	return changes
}

// Lines returns each change as one line.
func Lines(changes []Change) []string {
	lines := make([]string, len(changes))
	for n, c := range changes {
		lines[n] = c.String()
	}
	return lines
}
