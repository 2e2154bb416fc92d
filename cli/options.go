package cli

import (
	"strings"
	"time"

	"github.com/godwithub/godwithub/client"
	"github.com/godwithub/godwithub/keys"
	"github.com/godwithub/godwithub/settings"
)

// Options are the settings that all commands share. Each can be set by a flag or
// by an environment variable of the same name.
type Options struct {
	Servers string        `flag:"server" usage:"API addresses of control members, as host:port, comma-separated"`
	CAFile  string        `flag:"ca" usage:"file with the certificate of the fleet's certificate authority, ca.crt"`
	Token   string        `flag:"token" usage:"token of the resource API; set it in the environment, because other users can see the arguments of a process"`
	Timeout time.Duration `flag:"timeout" usage:"how long to retry until there is a response" range:"100ms to 1h" validate:"min=100ms,max=1h"`
	Output  string        `flag:"output" usage:"format of the output" range:"table or json" validate:"oneof=table json"`
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{Timeout: 30 * time.Second, Output: "table"}
}

func (a *app) addOptions() {
	settings.AddFlags(&a.parser.Subcommand, &a.options)
	for _, f := range a.parser.Flags {
		if f.LongName == "output" {
			f.ShortName = "o"
		}
	}
}

func (a *app) json() bool { return a.options.Output == "json" }

// connect returns a client of the resource API.
func (a *app) connect() (*client.Client, error) {
	o := &a.options
	switch {
	case o.Servers == "":
		return nil, usagef("--server or %s is required", settings.EnvName("server"))
	case o.Token == "":
		return nil, usagef("--token or %s is required", settings.EnvName("token"))
	}
	c := client.Config{Servers: strings.Split(o.Servers, ","), Token: o.Token, RetryFor: o.Timeout}
	if o.CAFile != "" {
		var err error
		if c.TLS, err = keys.APIClient(o.CAFile); err != nil {
			return nil, err
		}
	}
	out, err := client.New(c)
	if err != nil {
		return nil, usageError{err}
	}
	return out, nil
}
