package resource

import (
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// FieldError is a validation error of a resource or of a reference between resources.
type FieldError struct {
	Key   Key    `json:"key"`
	Field string `json:"field"` // JSON name of the field
	Fault string `json:"fault"`
}

// Error implements error.
func (e FieldError) Error() string { return fmt.Sprintf("%s: %s: %s", e.Key, e.Field, e.Fault) }

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	methodPattern = regexp.MustCompile(`^(\*|[A-Z]{1,16})$`)
	validate      = newValidator()
)

// ValidName reports whether s may name a resource: 1 to 63 lower-case letters,
// digits and inner dashes.
func ValidName(s string) bool { return namePattern.MatchString(s) }

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	must(v.RegisterValidation("resourcename", func(f validator.FieldLevel) bool {
		return ValidName(f.Field().String())
	}))
	must(v.RegisterValidation("httpmethod", func(f validator.FieldLevel) bool {
		return methodPattern.MatchString(f.Field().String())
	}))
	must(v.RegisterValidation("pathpattern", func(f validator.FieldLevel) bool {
		return validPathPattern(f.Field().String())
	}))
	must(v.RegisterValidation("positivesum", func(f validator.FieldLevel) bool {
		return positiveSum(f.Field().Interface().([]WeightedService))
	}))
	return v
}

func positiveSum(split []WeightedService) bool {
	sum := 0
	for _, w := range split {
		sum += w.Weight
	}
	return sum > 0
}

func validPathPattern(s string) bool {
	if !strings.HasPrefix(s, "/") || len(s) > 1024 {
		return false
	}
	star := strings.IndexByte(s, '*')
	return star < 0 || star == len(s)-1
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Validate returns all validation errors in the fields of o.
func Validate(o Object) []FieldError {
	err := validate.Struct(o)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return nil
	}
	out := make([]FieldError, 0, len(faults))
	for _, f := range faults {
		fault := describe(f)
		if o.Type() == TypeCustomer && strings.HasPrefix(f.Field(), "keys") {
			fault = "is not 1 to 64 keys of 1 to 255 printable ASCII characters each" // never the key itself
		}
		out = append(out, FieldError{KeyOf(o), f.Field(), fault})
	}
	return out
}

func describe(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "positivesum":
		return "the weights add up to nothing"
	case "resourcename":
		return fmt.Sprintf("%q is not 1 to 63 lower-case letters, digits and inner dashes", f.Value())
	case "httpmethod":
		return fmt.Sprintf("%q is neither an upper-case method nor *", f.Value())
	case "pathpattern":
		return fmt.Sprintf("%q is not a path that starts with / and has * at its end only", f.Value())
	case "min", "gt":
		return fmt.Sprintf("%v is below the range (%s %s)", f.Value(), f.Tag(), f.Param())
	case "max", "lt":
		return fmt.Sprintf("%v is above the range (%s %s)", f.Value(), f.Tag(), f.Param())
	default:
		return fmt.Sprintf("%v fails the rule %s %s", f.Value(), f.Tag(), f.Param())
	}
}

// References returns the keys that o refers to.
func References(o Object) []Key {
	switch o := o.(type) {
	case *Service:
		if o.Group != "" {
			return []Key{{TypeGroup, o.Group}}
		}
	case *RequestKind:
		return []Key{{TypeService, o.Service}, {TypeRank, o.Rank}}
	case *Route:
		return o.references()
	}
	return nil
}

func (r *Route) references() []Key {
	var keys []Key
	if r.Service != "" {
		keys = append(keys, Key{TypeService, r.Service})
	}
	for _, w := range r.Split {
		keys = append(keys, Key{TypeService, w.Service})
	}
	if r.Policy != nil {
		keys = append(keys, Key{TypeRank, r.Policy.Rank})
	}
	return keys
}
