package timeline

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleLog = `{"time":"2026-05-30T09:08:21.2Z","level":"INFO","msg":"request.place","instance_name":"east-1","request":"r1","at_ms":0,"prefill":"i-1","decode":"i-2"}
   1.2 east-2 {"time":"2026-05-30T09:08:21.1Z","level":"INFO","msg":"endpoint.ejected","instance_name":"east-2","endpoint":"i-2"}
{"time":"2026-05-30T09:08:21.3Z","level":"INFO","msg":"request.end","instance_name":"east-1","request":"r1","endpoint":"i-2","account":"paper","outcome":"cut"}
{"time":"2026-05-30T09:08:21.4Z","level":"INFO","msg":"log.omitted","instance_name":"east-1","requests":17}
{"time":"2026-05-30T09:08:21.5Z","level":"INFO","msg":"log.dropped","lines":3}
no line of ours
{"time":"never","msg":"x"}
`

func renderText(t *testing.T, f Filter) string {
	t.Helper()
	pages, losses, err := ReadLogs("day", strings.NewReader(sampleLog))
	assert.NilError(t, err)
	line := Merge(pages, f)
	line.Losses = append(line.Losses, losses...)
	var out strings.Builder
	assert.NilError(t, line.Text(&out))
	return out.String()
}

// TestLogsFilteredByRequest checks that the events of one request are listed in order over
// all processes, followed by all losses.
func TestLogsFilteredByRequest(t *testing.T) {
	assert.Equal(t, renderText(t, Filter{Request: "r1"}), `09:08:21.200000 east-1         request.place          request=r1 at_ms=0 decode=i-2 prefill=i-1
09:08:21.300000 east-1         request.end            request=r1 account=paper endpoint=i-2 outcome=cut
lost: east-1: 17 routine requests left out before 09:08:21.400000
lost: day: 3 lines dropped before 09:08:21.500000
lost: day: 2 lines could not be parsed
`)
}

// TestLogsFilteredByEndpoint checks that an endpoint is found in every field of a line.
func TestLogsFilteredByEndpoint(t *testing.T) {
	lines := strings.Split(renderText(t, Filter{Endpoint: "i-2"}), "\n")
	assert.Assert(t, strings.Contains(lines[0], "east-2") && strings.Contains(lines[0], "endpoint.ejected"), lines[0])
	assert.Assert(t, strings.Contains(lines[1], "request.place"))
	assert.Assert(t, strings.Contains(lines[2], "request.end"))
	assert.Assert(t, strings.HasPrefix(lines[3], "lost:"))
}

// FuzzLogs checks that ReadLogs accepts arbitrary input without panicking.
func FuzzLogs(f *testing.F) {
	f.Add(sampleLog)
	f.Add("{")
	f.Fuzz(func(t *testing.T, s string) {
		_, _, _ = ReadLogs("day", strings.NewReader(s))
	})
}
