package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/caller"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/logging"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// operatorGet returns the body of a GET request to the instance's operator port.
func (e *Entry) operatorGet(t *testing.T, path string) []byte {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, e.OperatorURL()+path, nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+e.fleet.OperatorToken())
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK, "%s", body)
	return body
}

// sendRaw writes a raw request to a new connection and discards the response.
func sendRaw(t *testing.T, addr, request string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer c.Close()
	// The instance may close the connection before it has read the whole request.
	_, _ = io.WriteString(c, request)
	_ = c.(*net.TCPConn).CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(waitLimit))
	_, _ = io.Copy(io.Discard, c)
}

// Markers used in keys and prompts, which must not appear in logs, events or the store.
const (
	markerKey    = "cwy_MARKEDKEY0123456789"
	markerPrompt = "MARKEDPROMPT"
)

// malformedRequests returns raw requests that carry a marker and cannot be served.
func malformedRequests() []string {
	const head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
	withBody := func(headers, body string) string {
		return fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", head, headers, len(body), body)
	}
	auth := "Authorization: Bearer " + markerKey + "\r\n"
	body := `{"model":"caption-large","prompt":"` + markerPrompt + `","max_tokens":3}`
	return []string{
		withBody(auth, body),
		withBody(auth, body[:len(body)-5]),
		withBody(auth, `{"model":7,"prompt":"`+markerPrompt+`"}`),
		withBody(auth, `{"model":"`+markerPrompt+`","prompt":"x"}`),
		withBody("Authorization: Bearer "+markerKey+" "+markerKey+"\r\n", body),
		withBody("Authorization: "+markerKey+"\r\n", body),
		withBody("Authorization Bearer "+markerKey+"\r\n", body),
		withBody("X-Api-Key: "+markerKey+"\r\nCookie: key="+markerKey+"\r\n", body),
		withBody(auth+auth, body),
		head + auth + "Content-Length: 9" + markerKey + "\r\n\r\n" + body,
		head + auth + "Content-Length: 900\r\n\r\n" + body,
		head + auth + "Transfer-Encoding: chunked\r\n\r\nzz" + markerPrompt + "\r\n" + body,
		markerKey + " " + markerPrompt + "\r\n\r\n",
		"POST /v1/completions HTTP/9\r\n" + auth + "\r\n" + body,
		head + auth + strings.Repeat("X-Long: "+markerKey+"\r\n", 5000) + "\r\n",
		withBody("Idempotency-Key: x\r\n"+auth, strings.Repeat(markerPrompt, 600_000)),
	}
}

func TestKeysAndPromptsAreNeverRecorded(t *testing.T) {
	var logs lockedBuffer
	f, err := Start(smallDeployment(), Options{Seed: 7, Log: logging.New(&logs, "fleet", 4)})
	assert.NilError(t, err)
	t.Cleanup(f.Close)
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	_, err = f.Bootstrap(ctx)
	assert.NilError(t, err)
	f.waitReady(t)
	for i, e := range f.Entries {
		_, err := f.client(i, 0).Complete(ctx, f.completion(markerPrompt+" served", 10))
		assert.NilError(t, err)
		for _, path := range []string{ServicePath + "x", f.Deployment.OperationsPath + "/x"} {
			key := fmt.Sprintf("operation-%d", i)
			_, err = f.client(i, 0).Call(ctx, caller.Call{Method: "POST", Path: path, IdempotencyKey: key, Body: []byte(markerPrompt)})
			assert.NilError(t, err)
		}
		left, leave := context.WithCancel(ctx)
		q := f.completion(markerPrompt+" left", 2000)
		q.OnToken = func(string) { leave() }
		_, err = f.client(i, 0).Complete(left, q)
		assert.Assert(t, err != nil)
		for _, request := range malformedRequests() {
			sendRaw(t, e.settings.Listen.Callers, request)
			sendRaw(t, e.settings.Listen.Operator, request)
			sendRaw(t, e.settings.Listen.Peers, request)
		}
	}
	waitIdle(t, f)
	f.assertNoSecrets(t, "log", logs.String())
	for _, e := range f.Entries {
		events := e.operatorGet(t, "/events")
		var page event.Page
		assert.NilError(t, json.Unmarshal(events, &page))
		assert.Equal(t, page.Lost, uint64(0))
		assert.Assert(t, strings.Contains(string(events), "request.refused"))
		for _, path := range []string{"/events", "/status", "/metrics", "/", "/tickets/1"} {
			f.assertNoSecrets(t, e.Name()+path, string(e.operatorGet(t, path)))
		}
	}
	for _, row := range f.Store.Peek("") {
		f.assertNoSecrets(t, "row "+row.Key, row.Key+string(row.Value))
	}
	assert.Assert(t, logs.String() != "")
}

// assertNoSecrets checks that a text contains no key, operator token or prompt.
func (f *Fleet) assertNoSecrets(t *testing.T, where, text string) {
	t.Helper()
	secrets := []string{markerKey, markerPrompt, f.OperatorToken()}
	for _, a := range f.Deployment.Accounts {
		secrets = append(secrets, f.Key(a.Name))
	}
	for _, secret := range secrets {
		i := strings.Index(text, secret)
		assert.Assert(t, i < 0, "%s contains a secret: %.200s", where, text[max(0, i-100):])
	}
}
