package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
)

// Attempts have the same fingerprint if and only if they ask for the same.
func TestFingerprint(t *testing.T) {
	of := func(change func(*Call)) string {
		c := &Call{ID: "a1", Key: "k1", Method: "POST", Host: "h.example", URI: "/a/b?c", Body: []byte("body"), Account: &config.Account{Name: "p"}}
		change(c)
		return (&exchange{call: c}).fingerprint()
	}
	same := of(func(*Call) {})
	assert.Equal(t, len(same), len(fingerprintPrefix)+2*fingerprintBytes)
	for name, change := range map[string]func(*Call){
		"attempt": func(c *Call) { c.ID = "a2" },
		"key":     func(c *Call) { c.Key = "k2" },
		"resumed": func(c *Call) { c.LastEventID = "7" },
		"port":    func(c *Call) { c.Host = "h.example:80" },
	} {
		assert.Equal(t, of(change), same, name)
	}
	for name, change := range map[string]func(*Call){
		"method":   func(c *Call) { c.Method = "PUT" },
		"host":     func(c *Call) { c.Host = "i.example" },
		"path":     func(c *Call) { c.URI = "/a/c" },
		"query":    func(c *Call) { c.URI = "/a/b?d" },
		"body":     func(c *Call) { c.Body = []byte("bodies") },
		"account":  func(c *Call) { c.Account = &config.Account{Name: "q"} },
		"open":     func(c *Call) { c.Account = nil },
		"boundary": func(c *Call) { c.URI, c.Body = "/a/b?cb", []byte("ody") },
	} {
		assert.Assert(t, of(change) != same, name)
	}
}
