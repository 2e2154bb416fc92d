package resource

import (
	"reflect"
	"strings"
)

// jsonName returns the name of a struct field in JSON, so that validation errors use the name
// that operators write.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "" || name == "-" {
		return f.Name
	}
	return name
}
