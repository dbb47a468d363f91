// Package logging makes the programs' loggers: logr on top of slog's JSON handler.
package logging

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// New returns a logger that writes one JSON object a line to w. Verbosity 0 logs
// what operators need; 1 adds detail for debugging. Keys and prompts are never
// passed to a logger.
func New(w io.Writer, program string, verbosity int) logr.Logger {
	h := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	return logr.FromSlogHandler(h).WithName(program)
}
