package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"

	"github.com/godwithub/godwithub/resource"
)

// printJSON prints v with indentation.
func (a *app) printJSON(v any) error {
	enc := json.NewEncoder(a.Out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printJSONLine prints v as one line of JSON.
func (a *app) printJSONLine(v any) error { return json.NewEncoder(a.Out).Encode(v) }

func (a *app) printf(format string, args ...any) { fmt.Fprintf(a.Out, format, args...) }

// table prints rows with aligned columns. The first row is the header.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer, header ...string) *table {
	t := &table{tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)}
	t.row(header...)
	return t
}

func (t *table) row(cells ...string) { fmt.Fprintln(t.w, strings.Join(cells, "\t")) }

func (t *table) flush() error { return t.w.Flush() }

// field is the JSON name and the value of a field of a resource.
type field struct {
	name  string
	value any
}

// Names of fields that only customers have.
const (
	fieldKeys       = "keys"
	fieldKeyDigests = "keyDigests"
)

// writableFields returns the name of o and then its other fields in the order of
// their declaration. It leaves out the metadata that the system sets, and the keys of
// customers, which the API does not return and which must not be printed.
func writableFields(o resource.Object) []field {
	fields := []field{{"name", o.Metadata().Name}}
	v := reflect.ValueOf(o).Elem()
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Anonymous {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "-" || name == fieldKeys || name == fieldKeyDigests {
			continue
		}
		fields = append(fields, field{name, v.Field(i).Interface()})
	}
	return fields
}

// cell formats the value for a table.
func (f field) cell() string {
	v := reflect.ValueOf(f.value)
	switch {
	case v.Kind() == reflect.Pointer && v.IsNil(), f.value == "":
		return "-"
	case v.Kind() == reflect.Pointer:
		return fmt.Sprint(v.Elem().Interface())
	case v.Kind() == reflect.Slice:
		b, err := json.Marshal(f.value)
		if err != nil {
			return err.Error()
		}
		return string(b)
	}
	return fmt.Sprint(f.value)
}

// printObjects prints objects of one type as a table.
func (a *app) printObjects(objects []resource.Object) error {
	if len(objects) == 0 {
		a.printf("no resources\n")
		return nil
	}
	var header []string
	for _, f := range writableFields(objects[0]) {
		header = append(header, strings.ToUpper(f.name))
	}
	t := newTable(a.Out, append(header, "REVISION")...)
	for _, o := range objects {
		var cells []string
		for _, f := range writableFields(o) {
			cells = append(cells, f.cell())
		}
		t.row(append(cells, fmt.Sprint(o.Metadata().Revision))...)
	}
	return t.flush()
}
