package ctl

import (
	"fmt"
	"io"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
)

const (
	maxColumns         = 40   // line length that fits a phone screen
	continuationIndent = "  " // added to the indentation of continuation lines
)

// lineWriter collects output in lines of at most maxColumns columns.
type lineWriter struct {
	b strings.Builder
}

// addf appends a formatted line, wrapped at maxColumns.
func (l *lineWriter) addf(format string, args ...any) {
	l.wrap(fmt.Sprintf(format, args...))
}

func (l *lineWriter) wrap(text string) {
	leading := text[:len(text)-len(strings.TrimLeft(text, " "))]
	line := leading
	empty := true
	for _, word := range strings.Fields(text) {
		if !empty && displayColumns(line)+1+displayColumns(word) > maxColumns {
			l.writeLine(line)
			line, empty = leading+continuationIndent, true
		}
		if !empty {
			line += " "
		}
		line, empty = l.breakWord(line+word, leading), false
	}
	l.writeLine(line)
}

// breakWord splits a word that does not fit a line: it writes the full lines and returns
// the remainder.
func (l *lineWriter) breakWord(line, leading string) string {
	for displayColumns(line) > maxColumns {
		r := []rune(line)
		l.writeLine(string(r[:maxColumns]))
		line = leading + continuationIndent + string(r[maxColumns:])
	}
	return line
}

func (l *lineWriter) writeLine(text string) {
	l.b.WriteString(strings.TrimRight(text, " "))
	l.b.WriteByte('\n')
}

func (l *lineWriter) flush(w io.Writer) error {
	_, err := io.WriteString(w, l.b.String())
	return errors.Wrap(err, "write")
}

func displayColumns(s string) int { return utf8.RuneCountInString(s) }
