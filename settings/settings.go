// Package settings fills a struct of settings from flags and environment
// variables, and validates it.
//
// A field is a setting if it has a flag tag. Its tags are:
//
//	flag      name of the flag, for instance link-addr; the environment
//	          variable is then GODWITHUB_LINK_ADDR
//	usage     description for the help text, with the unit
//	validate  rules of go-playground/validator
//	list      comma, for a []string whose flag takes several values at once
//	range     the allowed range, for the help text
//
// A field's value before Parse is its default. A flag takes precedence over the
// environment, and the environment over the default.
package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/caarlos0/env/v11"
	"github.com/go-playground/validator/v10"
	"github.com/integrii/flaggy"
)

// Prefix is the prefix of all environment variables.
const Prefix = "GODWITHUB_"

// Fault is the validation error of one setting.
type Fault struct {
	Flag  string
	Fault string
}

// Error implements error.
func (f Fault) Error() string { return fmt.Sprintf("-%s: %s", f.Flag, f.Fault) }

// EnvName returns the name of the environment variable for a flag.
func EnvName(flag string) string {
	return Prefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// FromEnv fills the fields of target, a pointer to a struct, that are set in
// the environment.
func FromEnv(target any) error {
	opts := env.Options{
		Prefix:                Prefix,
		TagName:               "flag",
		UseFieldNameByDefault: false,
	}
	// The env library uses the value of the tag, with the prefix, as the variable's name. A map
	// with such keys lets it find the variables by the flag tag.
	opts.Environment = map[string]string{}
	eachField(target, func(f reflect.StructField, _ reflect.Value) {
		name := f.Tag.Get("flag")
		if v, ok := os.LookupEnv(EnvName(name)); ok {
			opts.Environment[Prefix+name] = v
		}
	})
	if err := env.ParseWithOptions(target, opts); err != nil {
		return fmt.Errorf("settings: environment: %w", err)
	}
	return nil
}

// AddFlags adds a flag to command for each setting of target, a pointer to a struct.
func AddFlags(command *flaggy.Subcommand, target any) {
	eachField(target, func(f reflect.StructField, v reflect.Value) {
		name := f.Tag.Get("flag")
		addFlag(command, v.Addr().Interface(), name, usage(f))
	})
}

func usage(f reflect.StructField) string {
	text := f.Tag.Get("usage")
	if r := f.Tag.Get("range"); r != "" {
		text += " (range " + r + ")"
	}
	return text + " [" + EnvName(f.Tag.Get("flag")) + "]"
}

func addFlag(c *flaggy.Subcommand, p any, name, usage string) {
	switch p := p.(type) {
	case *string:
		c.String(p, "", name, usage)
	case *bool:
		c.Bool(p, "", name, usage)
	case *int:
		c.Int(p, "", name, usage)
	case *int64:
		c.Int64(p, "", name, usage)
	case *uint64:
		c.UInt64(p, "", name, usage)
	case *float64:
		c.Float64(p, "", name, usage)
	case *[]string:
		c.StringSlice(p, "", name, usage)
	default:
		addDuration(c, p, name, usage)
	}
}

// Check returns all validation errors in target's values, joined.
func Check(target any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("flag") })
	err := v.Struct(target)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return err
	}
	out := make([]error, 0, len(faults))
	for _, f := range faults {
		out = append(out, Fault{f.Field(), describe(f)})
	}
	return errors.Join(out...)
}

func describe(f validator.FieldError) string {
	if f.Tag() == "required" {
		return "is required"
	}
	rule := f.Tag()
	if f.Param() != "" {
		rule += "=" + f.Param()
	}
	return fmt.Sprintf("%v is outside the rule %s", f.Value(), rule)
}

func eachField(target any, visit func(reflect.StructField, reflect.Value)) {
	v := reflect.ValueOf(target).Elem()
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if f.Tag.Get("flag") != "" {
			visit(f, v.Field(i))
		}
	}
}
