package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Settings of a stand-in.
type Settings struct {
	ID                string        `flag:"id" usage:"id of this upstream, unique in the fleet" validate:"required"`
	Service           string        `flag:"service" usage:"service that it belongs to" validate:"required"`
	Listen            string        `flag:"listen" usage:"IP:port to serve requests at" validate:"hostname_port"`
	Advertise         string        `flag:"advertise" usage:"IP:port to announce instead of that of listen, for instance that of a relay in front of it" validate:"omitempty,hostname_port"`
	AdminListen       string        `flag:"admin-listen" usage:"IP:port of the admin endpoint; empty for none" validate:"omitempty,hostname_port"`
	AnnounceAddr      string        `flag:"announce-addr" usage:"IP:port of its node's announcements; empty for none" validate:"omitempty,hostname_port"`
	Lease             time.Duration `flag:"lease" usage:"lease to ask for; it is renewed after a third of it" validate:"min=100ms"`
	Slots             int           `flag:"slots" usage:"requests that it runs at once" validate:"min=1,max=1000"`
	Connections       int           `flag:"connections" usage:"connections that it accepts at once" validate:"min=1"`
	ServiceTime       time.Duration `flag:"service-time" usage:"least time that a request takes" validate:"min=0"`
	ServiceTimeSpread time.Duration `flag:"service-spread" usage:"service times are uniform from service-time to this much above it" validate:"min=0"`
	AnswerBytes       int           `flag:"answer-bytes" usage:"size of an answer's body, in bytes" validate:"min=0,max=67108864"`
	Paths             []string      `flag:"path" usage:"PREFIX:BASE:SPREAD:BYTES for one path prefix, for instance /orders:20ms:5ms:512; repeatable"`
	ColdStart         time.Duration `flag:"cold-start" usage:"how long after its start it is slower" validate:"min=0"`
	ColdFactor        float64       `flag:"cold-factor" usage:"slowness at the start, falling to 1 at the end of the cold start" validate:"min=1"`
	ConnectCost       time.Duration `flag:"connect-cost" usage:"time to accept a connection; connections are accepted one after the other" validate:"min=0"`
	ProbeCost         time.Duration `flag:"probe-cost" usage:"time that a probe of /healthz occupies a slot" validate:"min=0"`
	MinDrainTime      time.Duration `flag:"drain-min" usage:"least time from the announcement of drain to the exit" validate:"min=0"`
	CrashMarker       string        `flag:"crash-marker" usage:"fault in force from the start: a request whose body contains it ends the process"`
	RunLog            string        `flag:"run-log" usage:"file to append a JSON line to for each start and end of a run; empty for none"`
	LogLevel          string        `flag:"log-level" usage:"debug, info, warn or error" validate:"oneof=debug info warn error"`
}

// DefaultSettings returns the settings of an upstream as described on the design page.
func DefaultSettings() Settings {
	return Settings{
		ID:                "upstream-1",
		Service:           "storefront",
		Listen:            "127.0.0.1:8081",
		Lease:             3 * time.Second,
		Slots:             5,
		Connections:       400,
		ServiceTime:       10 * time.Millisecond,
		ServiceTimeSpread: 10 * time.Millisecond,
		AnswerBytes:       1024,
		ColdFactor:        3,
		ConnectCost:       time.Millisecond,
		ProbeCost:         25 * time.Millisecond,
		MinDrainTime:      500 * time.Millisecond,
		LogLevel:          "info",
	}
}

// pathSettings holds the service time and answer size of the paths with one prefix.
type pathSettings struct {
	prefix string
	base   time.Duration
	spread time.Duration
	bytes  int
}

// parsePath parses PREFIX:BASE:SPREAD:BYTES.
func parsePath(s string) (pathSettings, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 4 || !strings.HasPrefix(parts[0], "/") {
		return pathSettings{}, fmt.Errorf("standin: path %q is not PREFIX:BASE:SPREAD:BYTES", s)
	}
	base, err := time.ParseDuration(parts[1])
	if err != nil || base < 0 {
		return pathSettings{}, fmt.Errorf("standin: path %q: base time %q is not a non-negative duration", s, parts[1])
	}
	spread, err := time.ParseDuration(parts[2])
	if err != nil || spread < 0 {
		return pathSettings{}, fmt.Errorf("standin: path %q: spread %q is not a non-negative duration", s, parts[2])
	}
	n, err := strconv.Atoi(parts[3])
	if err != nil || n < 0 {
		return pathSettings{}, fmt.Errorf("standin: path %q: %q is not a valid number of bytes", s, parts[3])
	}
	return pathSettings{parts[0], base, spread, n}, nil
}

// parsePaths parses all paths of s. The settings for all other paths, with an empty prefix, come
// last.
func parsePaths(s *Settings) ([]pathSettings, error) {
	var out []pathSettings
	for _, text := range s.Paths {
		p, err := parsePath(text)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	return append(out, pathSettings{"", s.ServiceTime, s.ServiceTimeSpread, s.AnswerBytes}), nil
}
