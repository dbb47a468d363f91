package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/standin/engine"
)

// TestCallerThatStopsReadingFreesTheEngines keeps a connection open without reading from
// it. The write timeout must end the request long before its output is complete or its
// deadline passes.
func TestCallerThatStopsReadingFreesTheEngines(t *testing.T) {
	const tokens = 30_000
	d := singleEngines()
	d.Model.TokenInterval = 100 * time.Microsecond
	d.Model.StepCost = 0
	f := startFleet(t, d)
	e := f.Entries[0]
	e.Kill()
	e.settings.Listen.WriteTimeout = 500 * time.Millisecond
	assert.NilError(t, e.Start())
	f.waitReady(t)
	prompt := ""
	for n := 0; engine.ExpectedLength(d.Model.Model, prompt, tokens) < tokens; n++ {
		prompt = fmt.Sprintf("nobody reads this %d", n)
	}
	c, err := net.Dial("tcp", e.settings.Listen.Callers)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4096))
	body, err := json.Marshal(map[string]any{"model": d.Model.Model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	assert.NilError(t, err)
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", f.Key(d.Accounts[0].Name), len(body), body)
	assert.NilError(t, err)
	poll.WaitOn(t, inStage(f, "decode"), poll.WithTimeout(waitLimit), poll.WithDelay(time.Millisecond))
	waitIdle(t, f)
	cancelled := 0
	for _, e := range f.Engines {
		cancelled += e.Server.Ledger().OutputsCancelled
	}
	assert.Equal(t, cancelled, 1, "the output was not cut")
}
