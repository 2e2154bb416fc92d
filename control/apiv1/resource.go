package apiv1

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"

	"github.com/godwithub/godwithub/resource"
)

// Resource is an object whose JSON encoding has an additional "type" field.
type Resource struct{ resource.Object }

// MarshalJSON implements json.Marshaler.
func (r Resource) MarshalJSON() ([]byte, error) {
	body, err := json.Marshal(r.Object)
	if err != nil {
		return nil, err
	}
	out := fmt.Appendf(nil, `{"type":%q,`, r.Type())
	return append(out, body[1:]...), nil
}

// FaultsError lists the faults in the fields of one or more objects.
type FaultsError struct{ Faults []resource.FieldError }

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "; ")
}

// UnmarshalJSON implements json.Unmarshaler. Unknown fields are refused. A *FaultsError lists all
// faults in the fields.
func (r *Resource) UnmarshalJSON(data []byte) error {
	o, err := Decode("", data)
	if err != nil {
		return err
	}
	r.Object = o
	return nil
}

// Decode decodes the JSON of an object of type t. If t is empty, the "type" field names the type. A
// *FaultsError lists all faults in the fields.
func Decode(t resource.Type, data []byte) (resource.Object, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("apiv1: %w", err)
	}
	if fields == nil {
		return nil, errors.New("apiv1: null is not an object")
	}
	d := &decoder{key: resource.Key{Type: t}}
	var name string
	if json.Unmarshal(fields["name"], &name) == nil {
		d.key.Name = name
	}
	if raw, ok := fields["type"]; ok {
		d.checkType(raw)
		delete(fields, "type")
	}
	o := resource.New(d.key.Type)
	if o == nil {
		d.addFault("type", "%q is none of %s", d.key.Type, typeNames())
		return nil, &FaultsError{d.faults}
	}
	d.decodeFields(reflect.ValueOf(o).Elem(), fields)
	for _, name := range sortedNames(fields) {
		d.addFault(name, "is not a field of %s", d.key.Type)
	}
	if len(d.faults) > 0 {
		return nil, &FaultsError{d.faults}
	}
	return o, nil
}

// decoder decodes an object field by field, so that it can list the faults of all fields.
type decoder struct {
	key    resource.Key
	faults []resource.FieldError
}

func (d *decoder) addFault(field, format string, args ...any) {
	d.faults = append(d.faults, resource.FieldError{Key: d.key, Field: field, Fault: fmt.Sprintf(format, args...)})
}

func (d *decoder) checkType(raw json.RawMessage) {
	var t resource.Type
	if err := json.Unmarshal(raw, &t); err != nil {
		d.addFault("type", "is not a string")
		return
	}
	if d.key.Type != "" && d.key.Type != t {
		d.addFault("type", "is %q where %q was expected", t, d.key.Type)
		return
	}
	d.key.Type = t
}

// decodeFields decodes fields into the struct v and deletes those that v has from the map.
func (d *decoder) decodeFields(v reflect.Value, fields map[string]json.RawMessage) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			d.decodeFields(v.Field(i), fields)
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		raw, ok := fields[name]
		if !ok {
			continue
		}
		delete(fields, name)
		if err := decodeStrict(raw, v.Field(i).Addr().Interface()); err != nil {
			d.addFault(name, "%s", describeJSONError(err))
		}
	}
}

func decodeStrict(raw json.RawMessage, target any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	return dec.Decode(target)
}

// JSONType returns the type of the JSON value that err is about. err.Value contains the value of a number
// after a space, which is left out, since it may be a customer's key.
func JSONType(err *json.UnmarshalTypeError) string {
	name, _, _ := strings.Cut(err.Value, " ")
	return name
}

// describeJSONError describes a decoding error without the value that does not fit.
func describeJSONError(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("a %s does not fit type %s", JSONType(typeErr), typeErr.Type)
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

func sortedNames(fields map[string]json.RawMessage) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func typeNames() string {
	names := make([]string, len(resource.Types))
	for i, t := range resource.Types {
		names[i] = string(t)
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// DecodeAll decodes a stream of resources with "type" fields, or of JSON arrays of such resources. A
// *FaultsError lists the faults of all resources.
func DecodeAll(r io.Reader) ([]resource.Object, error) {
	dec := json.NewDecoder(r)
	var objects []resource.Object
	var faults []resource.FieldError
	for n := 1; ; n++ {
		var raw json.RawMessage
		err := dec.Decode(&raw)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("apiv1: value %d: %w", n, err)
		}
		items := []json.RawMessage{raw}
		if raw[0] == '[' {
			if err := json.Unmarshal(raw, &items); err != nil {
				return nil, fmt.Errorf("apiv1: value %d: %w", n, err)
			}
		}
		for _, item := range items {
			o, err := Decode("", item)
			var faultsErr *FaultsError
			switch {
			case errors.As(err, &faultsErr):
				faults = append(faults, faultsErr.Faults...)
			case err != nil:
				return nil, fmt.Errorf("apiv1: value %d: %w", n, err)
			default:
				objects = append(objects, o)
			}
		}
	}
	if len(faults) > 0 {
		return nil, &FaultsError{faults}
	}
	return objects, nil
}
