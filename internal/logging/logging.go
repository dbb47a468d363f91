// Package logging creates the programs' loggers: logr backed by slog's JSON handler.
package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes one JSON object per line to w. Verbosity 0 logs
// what operators need; 1 adds debugging detail. API keys and prompts must never be
// passed to it.
func New(w io.Writer, program string, verbosity int) logr.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(h).WithName(program)
}
