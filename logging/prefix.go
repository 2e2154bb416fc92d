package logging

import (
	"context"
	"log/slog"
)

// prefixHandler prepends a fixed prefix to each message.
type prefixHandler struct {
	slog.Handler
	prefix string
}

func (h *prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{h.Handler.WithAttrs(attrs), h.prefix}
}

func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{h.Handler.WithGroup(name), h.prefix}
}
