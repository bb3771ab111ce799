package document

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Diff lists the fields in which the JSON forms of two values differ, in the form "path: old -> new". Items of a list are
// told apart by their name or prefix rather than by their position.
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
		for name, inner := range value {
			flattenInto(result, join(path, name), inner)
		}
	case []any:
		for n, item := range value {
			flattenInto(result, fmt.Sprintf("%s[%s]", path, label(n, item)), item)
		}
	default:
		encoded, _ := json.Marshal(value)
		result[path] = string(encoded)
	}
}

func label(index int, item any) string {
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
