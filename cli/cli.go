// Package cli implements the operators' command line, godwithub. docs/cli.md
// describes its commands and exit codes.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/control/apiv1"
	"github.com/godwithub/godwithub/settings"
	"github.com/godwithub/godwithub/version"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitFailure     = 1 // any failure without a code of its own
	ExitUsage       = 2 // wrong arguments or settings
	ExitConflict    = 3 // the given revision is not the current one
	ExitUnreachable = 4 // no final response in time; a write may have taken effect
	ExitRefused     = 5 // the token is missing or wrong, or its role does not allow the call
	ExitInvalid     = 6 // resources are not valid
	ExitNotFound    = 7 // the resource does not exist
	ExitNotReached  = 8 // the change was accepted, but was not in force at all nodes in time
	ExitDifferent   = 9 // diff found differences
)

// Streams are the standard streams of a command.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// app is one execution of the command line.
type app struct {
	Streams
	options  Options
	parser   *flaggy.Parser
	commands map[*flaggy.Subcommand]command
	reports  reportOptions
}

// command is the action of a subcommand.
type command func(ctx context.Context) error

// usageError is an error in the arguments or settings.
type usageError struct{ error }

func usagef(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// Run runs the command in args, which do not include the program's name, and returns
// the exit code. With --help, --version or unknown arguments, the flag parser ends
// the process instead.
func Run(ctx context.Context, args []string, s Streams) int {
	a := &app{Streams: s, options: DefaultOptions(), commands: map[*flaggy.Subcommand]command{}}
	err := a.run(ctx, args)
	if err != nil && !errors.Is(err, errDifferent) {
		fmt.Fprintf(s.Err, "godwithub: %v\n", err)
	}
	return exitCode(err)
}

func (a *app) run(ctx context.Context, args []string) error {
	envErr := settings.FromEnv(&a.options)
	// Help prints the current values of flags as their defaults. It must not print
	// a token from the environment.
	token := a.options.Token
	a.options.Token = ""
	a.buildParser()
	if err := a.parseArgs(args); err != nil {
		return usageError{errors.Join(envErr, err)}
	}
	if a.options.Token == "" {
		a.options.Token = token
	}
	if len(a.parser.TrailingArguments) > 0 {
		return usagef("unexpected argument %q", a.parser.TrailingArguments[0])
	}
	if err := errors.Join(envErr, settings.Check(&a.options)); err != nil {
		return usageError{err}
	}
	action := a.commands[a.parser.TrailingSubcommand()]
	if action == nil {
		return usagef("no command is given; see godwithub --help")
	}
	return action(ctx)
}

// parseArgs parses the arguments. The parser panics at an empty positional argument.
func (a *app) parseArgs(args []string) error {
	for i, arg := range args {
		if arg == "" && (i == 0 || !strings.HasPrefix(args[i-1], "-")) {
			return fmt.Errorf("argument %d is empty", i+1)
		}
	}
	return a.parser.ParseArgs(args)
}

func (a *app) buildParser() {
	a.parser = flaggy.NewParser("godwithub")
	a.parser.Description = "Writes and watches the configuration of a godwithub fleet."
	a.parser.Version = version.Version
	a.addOptions()
	a.addKeys()
	a.addTokens()
	a.addResources()
	a.addWatch()
	a.addMembers()
	a.addSnapshots()
	a.addReports()
}

// commandParent is a parser or a subcommand.
type commandParent interface {
	AttachSubcommand(c *flaggy.Subcommand, position int)
}

// addGroup adds a subcommand that only contains other subcommands.
func (a *app) addGroup(name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	a.parser.AttachSubcommand(c, 1)
	return c
}

// addCommand adds a subcommand that runs action.
func (a *app) addCommand(parent commandParent, name, description string, action command) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	parent.AttachSubcommand(c, 1)
	a.commands[c] = action
	return c
}

func exitCode(err error) int {
	var usage usageError
	var unreachable *client.UnreachableError
	var refused *apiv1.Error
	var faults *apiv1.FaultsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, errDifferent):
		return ExitDifferent
	case errors.Is(err, errNotReached):
		return ExitNotReached
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case errors.As(err, &faults):
		return ExitInvalid
	case errors.As(err, &refused):
		return apiExitCode(refused.Code)
	}
	return ExitFailure
}

func apiExitCode(c apiv1.ErrorCode) int {
	switch c {
	case apiv1.CodeConflict, apiv1.CodeChangeIDReused:
		return ExitConflict
	case apiv1.CodeUnauthorized, apiv1.CodeForbidden:
		return ExitRefused
	case apiv1.CodeInvalid, apiv1.CodeBadRequest:
		return ExitInvalid
	case apiv1.CodeNotFound:
		return ExitNotFound
	}
	return ExitFailure
}
