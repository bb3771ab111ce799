package document

import (
	"encoding"
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Duration is a time.Duration that is written as text such as "150ms".
type Duration time.Duration

// MarshalText returns the text of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses the text with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q isn't a duration such as 150ms or 5s", text)
	}
	*d = Duration(parsed)
	return nil
}

// Decode stores a node in the struct that target points to, by the names in the json tags. It reports unknown and repeated
// fields and values of a wrong type as errors and continues after each. A null value counts as missing.
func Decode(n *Node, target any) ValidationErrors {
	d := decoder{}
	d.decode(n, "", reflect.ValueOf(target).Elem())
	return d.errs
}

type decoder struct{ errs ValidationErrors }

func (d *decoder) addError(n *Node, path, format string, args ...any) {
	d.errs = append(d.errs, NewValidationError(n.line, n.column, path, format, args...))
}

func (d *decoder) decode(n *Node, path string, target reflect.Value) {
	if n.kind == null {
		return
	}
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(n, path, text)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decode(n, path, target.Elem())
	case reflect.Struct:
		d.decodeStruct(n, path, target)
	case reflect.Slice:
		d.decodeSlice(n, path, target)
	default:
		if n.kind != scalar || !assign(target, n.value) {
			d.addError(n, path, "want %s", expectedValue(target.Kind()))
		}
	}
}

func (d *decoder) decodeText(n *Node, path string, target encoding.TextUnmarshaler) {
	text, ok := n.value.(string)
	if !ok {
		d.addError(n, path, "want a string")
		return
	}
	if err := target.UnmarshalText([]byte(text)); err != nil {
		d.addError(n, path, "%s", err)
	}
}

func (d *decoder) decodeStruct(n *Node, path string, target reflect.Value) {
	if n.kind != object {
		d.addError(n, path, "want an object with fields")
		return
	}
	indexes := make(map[string]int)
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		indexes[name] = i
	}
	seen := make(map[string]bool)
	for _, f := range n.fields {
		nameNode := &Node{line: f.line, column: f.column}
		fieldPath := joinPath(path, f.name)
		index, known := indexes[f.name]
		switch {
		case !known:
			d.addError(nameNode, fieldPath, "unknown field")
		case seen[f.name]:
			d.addError(nameNode, fieldPath, "the field is given twice")
		default:
			d.decode(f.node, fieldPath, target.Field(index))
		}
		seen[f.name] = true
	}
}

// joinPath appends a field's name to the path of the object that contains it.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *decoder) decodeSlice(n *Node, path string, target reflect.Value) {
	if n.kind != list {
		d.addError(n, path, "want a list")
		return
	}
	items := reflect.MakeSlice(target.Type(), len(n.items), len(n.items))
	for i, item := range n.items {
		d.decode(item, fmt.Sprintf("%s[%d]", path, i), items.Index(i))
	}
	target.Set(items)
}

// expectedValue returns the expected kind of value for an error's text.
func expectedValue(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number in range"
	}
}

// assign stores a scalar value and reports whether it fits the target's type.
func assign(target reflect.Value, value any) bool {
	if target.Kind() == reflect.String {
		text, ok := value.(string)
		target.SetString(text)
		return ok
	}
	if target.Kind() == reflect.Bool {
		boolean, ok := value.(bool)
		target.SetBool(boolean)
		return ok
	}
	return assignNumber(target, value)
}

// assignNumber stores a number of the JSON or YAML parser and reports whether it fits the target's type.
func assignNumber(target reflect.Value, value any) bool {
	var number string
	switch value := value.(type) {
	case json.Number:
		number = value.String()
	case int, int64, uint64, float64:
		number = fmt.Sprint(value)
	default:
		return false
	}
	switch {
	case target.CanFloat():
		f, err := strconv.ParseFloat(number, 64)
		target.SetFloat(f)
		return err == nil && !math.IsInf(f, 0) && !math.IsNaN(f)
	case target.CanInt():
		i, err := strconv.ParseInt(number, 10, 64)
		if err != nil || target.OverflowInt(i) {
			return false
		}
		target.SetInt(i)
		return true
	case target.CanUint():
		u, err := strconv.ParseUint(number, 10, 64)
		if err != nil || target.OverflowUint(u) {
			return false
		}
		target.SetUint(u)
		return true
	}
	return false
}
