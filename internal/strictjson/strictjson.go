// Package strictjson decodes JSON so that what is decoded is what was sent. The decoder of the standard library repairs text that
// is not UTF-8, takes names of fields in any case, and lets the last of two equal names win.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"unicode/utf8"
)

// Errors of text that means nothing, or more than one thing. Errors of other kinds are those of encoding/json.
var (
	ErrNotUTF8   = errors.New("strictjson: the text is not UTF-8")
	ErrSurrogate = errors.New("strictjson: an escape stands for half of a surrogate pair")
	ErrTooDeep   = errors.New("strictjson: values are nested too deeply")
	ErrNull      = errors.New("strictjson: null stands for a value that is required")
)

// NameError reports the name of a field that cannot be decoded.
type NameError struct {
	Name   string
	Reason string
}

// Error implements error.
func (e *NameError) Error() string {
	return fmt.Sprintf("strictjson: field %.64q %s", e.Name, e.Reason)
}

// maxDepth bounds the nesting of values.
const maxDepth = 64

// Check returns an error if body is not exactly one JSON value, or if an object in it has two names that are equal but for
// their case.
func Check(body []byte) error {
	return check(body, nil)
}

// Unmarshal decodes body into target, a pointer. Besides what Check refuses, it refuses unknown names, names in another case, and null
// for a value that is no pointer.
func Unmarshal(body []byte, target any) error {
	if err := check(body, reflect.TypeOf(target).Elem()); err != nil {
		return err
	}
	return json.Unmarshal(body, target)
}

func check(body []byte, t reflect.Type) error {
	switch {
	case !utf8.Valid(body):
		return ErrNotUTF8
	case hasLoneSurrogate(body):
		return ErrSurrogate
	}
	w := walker{json.NewDecoder(bytes.NewReader(body)), map[reflect.Type]map[string]reflect.Type{}}
	if err := w.value(t, 0); err != nil {
		return err
	}
	if !json.Valid(body) {
		return errors.New("strictjson: text follows the value")
	}
	return nil
}

// hasLoneSurrogate reports whether the text has an escape of a surrogate that is no half of a pair.
func hasLoneSurrogate(text []byte) bool {
	for i := 0; i < len(text); i++ {
		if text[i] != '\\' {
			continue
		}
		i++
		unit, ok := escapedUnit(text[i-1:])
		switch {
		case !ok:
			continue
		case unit >= 0xdc00 && unit <= 0xdfff:
			return true
		case unit >= 0xd800 && unit <= 0xdbff:
			low, ok := escapedUnit(text[i+5:])
			if !ok || low < 0xdc00 || low > 0xdfff {
				return true
			}
			i += escapeLength
		}
	}
	return false
}

// escapeLength is the length of an escape of the form \u0000.
const escapeLength = 6

// escapedUnit returns the UTF-16 unit of an escape of the form \u0000 at the start of text.
func escapedUnit(text []byte) (unit int, ok bool) {
	if len(text) < escapeLength || text[0] != '\\' || text[1] != 'u' {
		return 0, false
	}
	for _, c := range text[2:escapeLength] {
		digit := strings.IndexByte("0123456789abcdef", c|0x20)
		if digit < 0 {
			return 0, false
		}
		unit = unit<<4 | digit
	}
	return unit, true
}

// walker reads a value token by token.
type walker struct {
	*json.Decoder
	fields map[reflect.Type]map[string]reflect.Type // see fieldsOf
}

// value reads one value. t is the type into which it is decoded, or nil.
func (w walker) value(t reflect.Type, depth int) error {
	if depth > maxDepth {
		return ErrTooDeep
	}
	token, err := w.Token()
	if err != nil {
		return err
	}
	if token == nil && t != nil && t.Kind() != reflect.Pointer {
		return ErrNull
	}
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch token {
	case json.Delim('{'):
		fields, ok := w.fields[t]
		if !ok {
			fields = fieldsOf(t)
			w.fields[t] = fields
		}
		return w.object(fields, depth)
	case json.Delim('['):
		return w.array(t, depth)
	}
	return nil
}

func (w walker) array(t reflect.Type, depth int) error {
	var element reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		element = t.Elem()
	}
	for w.More() {
		if err := w.value(element, depth+1); err != nil {
			return err
		}
	}
	_, err := w.Token()
	return err
}

// object reads the rest of an object with the given fields; nil: any.
func (w walker) object(fields map[string]reflect.Type, depth int) error {
	seen := make(map[string]bool, len(fields)) // by name in lower case
	for w.More() {
		token, err := w.Token()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		folded := strings.ToLower(strings.ToUpper(name))
		if seen[folded] {
			return &NameError{name, "stands twice"}
		}
		seen[folded] = true
		field, known := fields[name]
		if fields != nil && !known {
			return &NameError{name, "is not known"}
		}
		err = w.value(field, depth+1)
		if errors.Is(err, ErrNull) {
			return &NameError{name, "is null"}
		}
		if err != nil {
			return err
		}
	}
	_, err := w.Token()
	return err
}

// fieldsOf returns the types of the fields of a struct by their names in JSON, or nil for another type.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	fields := map[string]reflect.Type{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if f.IsExported() && !slices.Contains([]string{"", "-"}, name) {
			fields[name] = f.Type
		}
	}
	return fields
}
