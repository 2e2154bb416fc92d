// Package logging configures slog so that the messages of each part of a process have a fixed prefix.
package logging

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
)

// Format is a format of log lines.
type Format string

// Formats of log lines.
const (
	Text Format = "text"
	JSON Format = "json"
)

// New returns a logger that writes to w at the given level: "debug", "info",
// "warn" or "error".
func New(w io.Writer, format Format, level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(strings.ToUpper(level))); err != nil {
		return nil, fmt.Errorf("logging: level %q: %w", level, err)
	}
	opts := &slog.HandlerOptions{Level: l}
	switch format {
	case Text:
		return slog.New(slog.NewTextHandler(w, opts)), nil
	case JSON:
		return slog.New(slog.NewJSONHandler(w, opts)), nil
	}
	return nil, fmt.Errorf("logging: format %q is neither text nor json", format)
}

// Part returns a logger whose messages start with "part: ".
func Part(l *slog.Logger, part string) *slog.Logger {
	return slog.New(&prefixHandler{l.Handler(), part + ": "})
}

// Discard returns a logger that writes nothing.
func Discard() *slog.Logger { return slog.New(slog.DiscardHandler) }
