// Package logs creates the program's logger: logr on log/slog.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes to w in the given format, "text" or "json". Level 0 is for operators, 1 adds
// details. Packages use loggers with WithName; the name precedes each message.
func New(w io.Writer, format string, level int) (logr.Logger, error) {
	opts := &slog.HandlerOptions{Level: slog.Level(-level), ReplaceAttr: detail}
	switch format {
	case "", "text":
		return logr.FromSlogHandler(prefixer{slog.NewTextHandler(w, opts)}), nil
	case "json":
		return logr.FromSlogHandler(prefixer{slog.NewJSONHandler(w, opts)}), nil
	}
	return logr.Logger{}, fmt.Errorf("logs: format %q: expected text or json", format)
}

// detail returns names for logr's levels, of which level 1 would otherwise be "DEBUG+3".
func detail(_ []string, a slog.Attr) slog.Attr {
	if l, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && l < slog.LevelInfo {
		a.Value = slog.StringValue(slog.LevelDebug.String())
	}
	return a
}

// prefixer moves the logger's name, which logr adds to each record, in front of the message.
type prefixer struct{ slog.Handler }

// Handle writes the record with its prefix.
func (p prefixer) Handle(ctx context.Context, r slog.Record) error {
	out := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "logger" {
			out.Message = a.Value.String() + ": " + r.Message
		} else {
			out.AddAttrs(a)
		}
		return true
	})
	return p.Handler.Handle(ctx, out)
}

// WithAttrs returns a prefixer of the handler with the attributes.
func (p prefixer) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixer{p.Handler.WithAttrs(attrs)}
}

// WithGroup returns a prefixer of the handler with the group.
func (p prefixer) WithGroup(name string) slog.Handler {
	return prefixer{p.Handler.WithGroup(name)}
}
