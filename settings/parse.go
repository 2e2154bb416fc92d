package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/integrii/flaggy"
)

func addDuration(c *flaggy.Subcommand, p any, name, usage string) {
	d, ok := p.(*time.Duration)
	if !ok {
		panic(fmt.Sprintf("settings: flag %s has type %T", name, p))
	}
	c.Duration(d, "", name, usage)
}

// Program describes a daemon or tool for the help and version output of its command line.
type Program struct {
	Name        string
	Description string
	Version     string
}

// Parse fills target from the environment and then from args, and validates it.
// --help and --version print their output and exit the process.
func Parse(p Program, target any, args []string) error {
	// An error in the environment must not hide errors in flags, so parsing goes on.
	envErr := FromEnv(target)
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.Version = p.Version
	AddFlags(&parser.Subcommand, target)
	restore := ClearLists(target)
	if err := parser.ParseArgs(args); err != nil {
		return errors.Join(envErr, fmt.Errorf("settings: %w", err))
	}
	restore()
	splitLists(target)
	if len(parser.TrailingArguments) > 0 {
		return fmt.Errorf("settings: unexpected argument %q", parser.TrailingArguments[0])
	}
	return errors.Join(envErr, Check(target))
}

// ClearLists clears the lists of target. restore puts back those that flags have not set in
// between. Otherwise a flag would append to the value of the environment or the default
// instead of replacing it.
func ClearLists(target any) (restore func()) {
	saved := map[*[]string][]string{}
	eachField(target, func(_ reflect.StructField, v reflect.Value) {
		if list, ok := v.Addr().Interface().(*[]string); ok {
			saved[list], *list = *list, nil
		}
	})
	return func() {
		for list, value := range saved {
			if *list == nil {
				*list = value
			}
		}
	}
}

// splitLists splits the elements of fields tagged list:"comma" at commas, so that one flag can
// hold several values, as an environment variable can.
func splitLists(target any) {
	eachField(target, func(f reflect.StructField, v reflect.Value) {
		list, ok := v.Addr().Interface().(*[]string)
		if !ok || f.Tag.Get("list") != "comma" {
			return
		}
		var out []string
		for _, element := range *list {
			for part := range strings.SplitSeq(element, ",") {
				if part = strings.TrimSpace(part); part != "" {
					out = append(out, part)
				}
			}
		}
		*list = out
	})
}
