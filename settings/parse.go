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

// Program describes a daemon or tool to its command line.
type Program struct {
	Name        string
	Description string
	Version     string
}

// Parse fills target from the environment and then from args, and checks it.
// --help and --version print and end the process, as callers of a main expect.
func Parse(p Program, target any, args []string) error {
	// A fault in the environment must not hide the others.
	envErr := FromEnv(target)
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.Version = p.Version
	AddFlags(&parser.Subcommand, target)
	restore := HoldLists(target)
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

// HoldLists empties the lists of target until restore is called, which gives
// back those that flags have not set. A flag would otherwise add to the
// environment's value or the default instead of replacing it.
func HoldLists(target any) (restore func()) {
	held := map[*[]string][]string{}
	eachField(target, func(_ reflect.StructField, v reflect.Value) {
		if list, ok := v.Addr().Interface().(*[]string); ok {
			held[list], *list = *list, nil
		}
	})
	return func() {
		for list, value := range held {
			if *list == nil {
				*list = value
			}
		}
	}
}

// splitLists splits the elements of fields tagged list:"comma", so that a flag
// takes several values at once, as its environment variable does.
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
