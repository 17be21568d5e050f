// Package logs makes the program's logger: logr over log/slog.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes to w in the given format, "text" or "json".
// Level 0 shows what operators need, 1 adds detail. A part of the program
// takes its own logger by WithName; the name stands in front of each message.
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

// detail names logr's levels of detail as slog names its own: level 1 would
// otherwise read "DEBUG+3".
func detail(_ []string, a slog.Attr) slog.Attr {
	if l, ok := a.Value.Any().(slog.Level); ok && a.Key == slog.LevelKey && l < slog.LevelInfo {
		a.Value = slog.StringValue(slog.LevelDebug.String())
	}
	return a
}

// prefixer puts the name of the part, which logr adds to each record, in front
// of the message.
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

// WithAttrs keeps the prefixer around the handler.
func (p prefixer) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixer{p.Handler.WithAttrs(attrs)}
}

// WithGroup keeps the prefixer around the handler.
func (p prefixer) WithGroup(name string) slog.Handler {
	return prefixer{p.Handler.WithGroup(name)}
}
