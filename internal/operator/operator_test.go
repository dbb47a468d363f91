package operator

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
	"carawayrouter.example/router/internal/ticket"
)

const token = "operator-token"

type staticSource struct {
	state *config.State
	age   time.Duration
}

func (f staticSource) Current() *config.State { return f.state }
func (f staticSource) Age() time.Duration     { return f.age }

type staticCutOff []string

func (c staticCutOff) CutOff() []string { return c }

type staticRefusals []Refusal

func (r staticRefusals) Refusals() []Refusal { return r }

// newTestHandler returns a store with two tickets and three instances, one of which has
// not applied the second ticket, and a handler that reads it.
func newTestHandler(t *testing.T) (*memplatform.Store, fasthttp.RequestHandler) {
	t.Helper()
	ctx := context.Background()
	store := memplatform.New(memplatform.Options{})
	table := store.For("a").Table
	for i := range 2 {
		_, err := ticket.Submit(ctx, table, "ana", ticket.NewDraft("", ticket.PutAccount(&config.Account{Name: "x", Rate: float64(i + 1)})))
		assert.NilError(t, err)
	}
	now := clock.NewFake(time.Unix(1000, 0).UTC())
	recent, old := now.Now().Add(-time.Second), now.Now().Add(-time.Minute)
	for _, r := range []member.Row{
		{Name: "e0", DataCentre: "a", Epoch: 1, Applied: 2, Renewed: recent},
		{Name: "e1", DataCentre: "b", Epoch: 2, Applied: 1, Renewed: old},
		{Name: "e2", DataCentre: "a", Epoch: 3, Applied: 2, Renewed: old},
		{Name: "left", DataCentre: "a", Epoch: 4, Applied: 1, Renewed: old, Released: true},
	} {
		value, err := json.Marshal(r)
		assert.NilError(t, err)
		_, err = table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: member.RowKey(r.Name), Value: value}}})
		assert.NilError(t, err)
	}
	sum := sha256.Sum256([]byte(token))
	ring := event.NewRing("e0", 8, clock.Real{})
	ring.Add(event.Event{Kind: "x.y"})
	h, err := Handler(Options{
		Instance: "e0", DataCentre: "a", Version: "v1", Tokens: []string{hex.EncodeToString(sum[:])},
		Config: staticSource{config.Build(2, nil), 3 * time.Second}, Table: table, Ring: ring, Clock: now,
		CutOff: staticCutOff{"dohoku-c"}, Refusals: staticRefusals{{Account: "<b>x", Kind: errkind.OverRate, Count: 7}},
	})
	assert.NilError(t, err)
	return store, h
}

func get(h fasthttp.RequestHandler, path, authorization string) (int, string) {
	var rc fasthttp.RequestCtx
	rc.Request.SetRequestURI(path)
	if authorization != "" {
		rc.Request.Header.Set("Authorization", authorization)
	}
	h(&rc)
	return rc.Response.StatusCode(), string(rc.Response.Body())
}

func TestRequestsNeedOperatorToken(t *testing.T) {
	_, h := newTestHandler(t)
	basic := func(password string) string {
		return "Basic " + base64.StdEncoding.EncodeToString([]byte("me:"+password))
	}
	for _, path := range []string{"/", "/status", "/events", "/metrics", "/tickets/1", "/none"} {
		for _, auth := range []string{"", "Bearer wrong", "Bearer " + token + "x", token, basic("wrong"), basic(""), "Basic !"} {
			status, body := get(h, path, auth)
			assert.Equal(t, status, 401, "%s %s", path, auth)
			assert.Equal(t, body, "")
		}
		status, _ := get(h, path, "Bearer "+token)
		assert.Assert(t, status == 200 || path == "/none", path)
	}
	status, _ := get(h, "/", basic(token))
	assert.Equal(t, status, 200)
	_, err := Handler(Options{})
	assert.ErrorContains(t, err, "at least one is required")
	_, err = Handler(Options{Tokens: []string{"abc"}})
	assert.ErrorContains(t, err, "64 hexadecimal digits")
}

func TestStatusListsLaggards(t *testing.T) {
	store, h := newTestHandler(t)
	_, body := get(h, "/status", "Bearer "+token)
	var s Status
	assert.NilError(t, json.Unmarshal([]byte(body), &s))
	assert.Equal(t, s.Accepted, uint64(2))
	assert.Equal(t, s.Progress.InForce, 2)
	assert.Equal(t, s.Progress.Instances, 3)
	assert.Equal(t, s.Progress.Laggards[0].Name, "e1")
	assert.Equal(t, s.AgeSeconds, 3.0)
	assert.DeepEqual(t, s.CutOff, []string{"b", "dohoku-c"})
	store.Down(true)
	_, body = get(h, "/status", "Bearer "+token)
	assert.NilError(t, json.Unmarshal([]byte(body), &s))
	assert.Assert(t, s.StoreError != "")
	assert.Equal(t, s.Applied, uint64(2))
}

func TestPage(t *testing.T) {
	store, h := newTestHandler(t)
	_, body := get(h, "/", "Bearer "+token)
	for _, want := range []string{"<h1>Ticket 2</h1>", "in force on 2 of 3", "e1: at 1", "dohoku-c", "&lt;b&gt;x: 7 over_rate", "current 3s ago", "width=device-width"} {
		assert.Assert(t, strings.Contains(body, want), "%q not in page", want)
	}
	store.Down(true)
	_, body = get(h, "/", "Bearer "+token)
	assert.Assert(t, strings.Contains(body, "The store cannot be read"))
}

func TestTicketsAndEvents(t *testing.T) {
	_, h := newTestHandler(t)
	_, body := get(h, "/tickets/2", "Bearer "+token)
	tk, err := ticket.DecodeTicket([]byte(body))
	assert.NilError(t, err)
	assert.Equal(t, tk.Changes[0].Account.Rate, 2.0)
	for path, want := range map[string]int{"/tickets/3": 404, "/tickets/x": 400, "/events?after=-1": 400, "/events?after=1": 200} {
		status, _ := get(h, path, "Bearer "+token)
		assert.Equal(t, status, want, path)
	}
}

func TestRefusalCounterExpiresAndIsBounded(t *testing.T) {
	c := clock.NewFake(time.Unix(0, 0))
	r := NewRefusalCounter(c)
	for i := range maxRefusalKeys + 50 {
		r.Add(string(rune('a'+i%26))+strings.Repeat("x", i/26), errkind.OverRate)
	}
	r.Add("a", errkind.OverRate)
	got := r.Refusals()
	assert.Equal(t, len(got), maxRefusalKeys)
	assert.DeepEqual(t, got[0], Refusal{Account: "a", Kind: errkind.OverRate, Count: 2})
	c.Advance(refusalWindow)
	r.Add("b", errkind.QueueFull)
	assert.Equal(t, len(r.Refusals()), maxRefusalKeys+1)
	c.Advance(refusalWindow)
	assert.DeepEqual(t, r.Refusals(), []Refusal{{Account: "b", Kind: errkind.QueueFull, Count: 1}})
	c.Advance(2 * refusalWindow)
	assert.Equal(t, len(r.Refusals()), 0)
}
