package entry_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"carawayrouter.example/router/internal/ctl"
	"carawayrouter.example/router/internal/entry"
	"carawayrouter.example/router/internal/settings"
	"carawayrouter.example/router/internal/standin/process"
)

// TestSettingsReference checks that docs/settings.md matches the settings in the code. Run it
// with -update to regenerate the page.
func TestSettingsReference(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Settings\n\nWritten by `go test ./internal/entry -run TestSettingsReference -update`. Settings\nfiles are INI; unknown sections and names are refused with file and line.\n\n")
	for _, p := range []struct {
		title string
		into  any
	}{
		{"caraway-entry", &entry.Settings{}},
		{"caraway-ctl", &ctl.Settings{}},
		{"caraway-standin platform", &process.PlatformSettings{}},
		{"caraway-standin engine", &process.EngineSettings{}},
		{"caraway-standin service", &process.ServiceSettings{}},
	} {
		b.WriteString("## " + p.title + "\n\n" + settings.Reference(p.into))
	}
	golden.Assert(t, b.String(), "../../../docs/settings.md")
}
