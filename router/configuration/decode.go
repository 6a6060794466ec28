package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

type (
	// Fault is one error in a manifest, part or configuration.
	Fault struct {
		// Path is the field that has the error, such as upstreams[0].name. It is empty for the value as a whole.
		Path string `json:"path"`
		Text string `json:"text"`
	}

	// faults collects the faults that a check finds.
	faults struct {
		list []Fault
	}
)

// String returns the path and the text, separated by a colon, or the text alone if the path is empty.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Text
	}
	return f.Path + ": " + f.Text
}

func (f *faults) addf(path, format string, args ...any) {
	f.list = append(f.list, Fault{Path: path, Text: fmt.Sprintf(format, args...)})
}

// decode decodes one JSON value into target, which points to a struct. It adds a fault, with the path, for each
// unknown field, repeated field and value of a wrong type. A list or map may be null, which counts as empty.
func decode(content []byte, target any, path string, f *faults) {
	if !json.Valid(content) {
		f.addf(path, "not a JSON value: %s", syntaxError(content))
		return
	}
	decodeValue(content, reflect.ValueOf(target).Elem(), path, f)
}

// syntaxError returns the decoder's message for content that is not a JSON value.
func syntaxError(content []byte) string {
	var value any
	if err := json.Unmarshal(content, &value); err != nil {
		return err.Error()
	}
	return "unknown syntax error"
}

func decodeValue(raw json.RawMessage, v reflect.Value, path string, f *faults) {
	switch v.Kind() {
	case reflect.Struct:
		decodeObject(raw, v, path, f)
	case reflect.Slice:
		decodeList(raw, v, path, f)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		decodeValue(raw, v.Elem(), path, f)
	default:
		unexpectedNull := isNull(raw) && v.Kind() != reflect.Map
		if err := json.Unmarshal(raw, v.Addr().Interface()); err != nil || unexpectedNull {
			f.addf(path, "want %s, have %s", typeName(v.Kind()), shorten(raw))
		}
	}
}

func decodeObject(raw json.RawMessage, v reflect.Value, path string, f *faults) {
	d := json.NewDecoder(bytes.NewReader(raw))
	if first, err := d.Token(); err != nil || first != json.Delim('{') {
		f.addf(path, "want an object, have %s", shorten(raw))
		return
	}
	seen := make(map[string]bool)
	for d.More() {
		token, _ := d.Token()
		name, _ := token.(string)
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			f.addf(path, "not a JSON value: %v", err)
			return
		}
		fieldPath := join(path, name)
		field, found := fieldByTag(v, name)
		switch {
		case !found:
			f.addf(fieldPath, "unknown field")
		case seen[name]:
			f.addf(fieldPath, "duplicate field")
		default:
			decodeValue(value, field, fieldPath, f)
		}
		seen[name] = true
	}
}

func decodeList(raw json.RawMessage, v reflect.Value, path string, f *faults) {
	var items []json.RawMessage
	if err := json.Unmarshal(raw, &items); err != nil {
		f.addf(path, "want a list, have %s", shorten(raw))
		return
	}
	list := reflect.MakeSlice(v.Type(), len(items), len(items))
	for i, item := range items {
		decodeValue(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i), f)
	}
	v.Set(list)
}

// fieldByTag returns the field of a struct whose json tag has the given name. Case matters, unlike in
// encoding/json.
func fieldByTag(v reflect.Value, name string) (reflect.Value, bool) {
	t := v.Type()
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func isNull(raw json.RawMessage) bool {
	return string(bytes.TrimSpace(raw)) == "null"
}

func typeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Map:
		return "an object of strings"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

// shorten returns the first bytes of a value, for the text of a fault.
func shorten(raw json.RawMessage) string {
	const maxShown = 40
	if len(raw) <= maxShown {
		return string(raw)
	}
	return string(raw[:maxShown]) + "..."
}
