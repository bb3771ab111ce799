package document

import "strings"

const (
	// MaxNameBytes is the maximum length of the names of services, slots, regions and data centres.
	MaxNameBytes = 64
	// NameRule describes the names that ValidName accepts.
	NameRule = "1 to 64 lower case letters, digits, '.', '_' or '-', a letter or digit first and last"

	alphanumeric = "abcdefghijklmnopqrstuvwxyz0123456789"
)

// ValidName reports whether a name satisfies NameRule. The rule keeps names usable in table keys, in "slot#number" and in log
// lines, where '/', '#' and spaces separate the parts.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	first, last := name[0], name[len(name)-1]
	return strings.IndexByte(alphanumeric, first) >= 0 && strings.IndexByte(alphanumeric, last) >= 0 &&
		!strings.ContainsFunc(name, invalidInName)
}

func invalidInName(r rune) bool { return !strings.ContainsRune(alphanumeric+"._-", r) }
