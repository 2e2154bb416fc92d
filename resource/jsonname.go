package resource

import (
	"reflect"
	"strings"
)

// jsonName returns the name of a struct field in JSON, so that a fault names
// the field as its writer knows it.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" || name == "-" {
		return f.Name
	}
	return name
}
