package document

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Diff lists the fields in which the JSON forms of two values differ, as lines "path: old -> new" sorted by path. A value that is
// missing is "none". Items of a list are matched by their name or prefix if they have one, otherwise by index.
func Diff(older, newer any) []string {
	before, after := flatten(older), flatten(newer)
	paths := slices.Concat(slices.Collect(maps.Keys(before)), slices.Collect(maps.Keys(after)))
	slices.Sort(paths)
	var lines []string
	for _, path := range slices.Compact(paths) {
		from, to := orNone(before, path), orNone(after, path)
		if from != to {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", path, from, to))
		}
	}
	return lines
}

func orNone(values map[string]string, path string) string {
	if value, ok := values[path]; ok {
		return value
	}
	return "none"
}

// flatten returns the scalar values in the JSON form of a value, encoded as JSON, by path. It returns an empty map if the value
// can't be encoded.
func flatten(value any) map[string]string {
	result := make(map[string]string)
	encoded, err := json.Marshal(value)
	if err != nil {
		return result
	}
	var decoded any
	if json.Unmarshal(encoded, &decoded) == nil {
		flattenInto(result, "", decoded)
	}
	return result
}

func flattenInto(result map[string]string, path string, value any) {
	switch value := value.(type) {
	case nil:
	case map[string]any:
		for name, field := range value {
			flattenInto(result, joinPath(path, name), field)
		}
	case []any:
		for n, item := range value {
			flattenInto(result, fmt.Sprintf("%s[%s]", path, itemLabel(n, item)), item)
		}
	default:
		encoded, _ := json.Marshal(value)
		result[path] = string(encoded)
	}
}

// itemLabel returns what identifies an item of a list in a path: its name or prefix, with its methods if it has some, or its
// index.
func itemLabel(index int, item any) string {
	fields, _ := item.(map[string]any)
	for _, name := range []string{"name", "prefix"} {
		if text, ok := fields[name].(string); ok {
			if methods, ok := fields["methods"]; ok {
				text += fmt.Sprint(" ", methods)
			}
			return text
		}
	}
	return fmt.Sprint(index)
}
