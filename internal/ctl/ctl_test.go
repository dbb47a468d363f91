package ctl

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/event"
	"carawayrouter.example/router/internal/operator"
	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/httpplatform"
	"carawayrouter.example/router/internal/platform/memplatform"
	"carawayrouter.example/router/internal/ticket"
)

const initialTicket = `[ticket]
note = accounts and routes of the first day, as agreed with the duty editors
[account "kita-news"]
rate = 5000
burst = 60000
[pool "submission-app"]
kind = service
[endpoint "s1"]
pool = submission-app
addr = 127.0.0.1:9001
data_centre = dohoku-a
role = plain
slots = 20
[route "consent-records-of-the-submission-application"]
method = POST
path = /consent/*
pool = submission-app
`

// testEnv is a platform on loopback with a directory for settings and ticket files.
type testEnv struct {
	t        *testing.T
	store    *memplatform.Store
	dir      string
	settings string
	clock    clock.Clock // of commands
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	b := &testEnv{t: t, store: memplatform.New(memplatform.Options{}), dir: t.TempDir(), clock: clock.Real{}}
	addr := b.serve(httpplatform.Handler(b.store))
	b.settings = b.writeFile("ctl.ini", "[platform]\naddr = "+addr+"\ntimeout = 3s\n[operator]\nname = ana\n")
	return b
}

func (b *testEnv) serve(h fasthttp.RequestHandler) string {
	b.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b.t, err)
	srv := &fasthttp.Server{Handler: h}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	b.t.Cleanup(func() {
		_ = ln.Close()
		assert.Check(b.t, <-done)
	})
	return ln.Addr().String()
}

func (b *testEnv) writeFile(name, text string) string {
	b.t.Helper()
	path := filepath.Join(b.dir, name)
	assert.NilError(b.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run executes a command line and checks that no line of its text output is too long.
func (b *testEnv) run(argv ...string) (string, error) {
	b.t.Helper()
	var a Args
	p, err := arg.NewParser(arg.Config{}, &a)
	assert.NilError(b.t, err)
	assert.NilError(b.t, p.Parse(append([]string{"--settings", b.settings}, argv...)))
	var out bytes.Buffer
	if _, real := b.clock.(clock.Real); real {
		err = Run(context.Background(), a, &out)
	} else {
		var c *command
		c, err = newCommand(a, &out)
		assert.NilError(b.t, err)
		c.clock = b.clock
		err = c.run(context.Background(), a)
	}
	if !a.JSON {
		for line := range strings.Lines(out.String()) {
			assert.Assert(b.t, displayColumns(strings.TrimSuffix(line, "\n")) <= maxColumns, line)
		}
	}
	return out.String(), err
}

func (b *testEnv) mustRun(argv ...string) string {
	b.t.Helper()
	out, err := b.run(argv...)
	assert.NilError(b.t, err)
	return out
}

// writeSession writes the session row of an instance.
func (b *testEnv) writeSession(name string, applied uint64) {
	b.t.Helper()
	row := fmt.Sprintf(`{"name":%q,"addr":"127.0.0.1:1","data_centre":"a","epoch":1,"applied":%d}`, name, applied)
	_, err := b.store.For("a").Table.Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: "session/" + name, Value: []byte(row)}}})
	assert.NilError(b.t, err)
}

func TestTicketCommands(t *testing.T) {
	b := newTestEnv(t)
	file := b.writeFile("first.ini", initialTicket)
	assert.Assert(t, strings.Contains(b.mustRun("ticket", "check", file), "valid at ticket 0"))
	assert.Equal(t, b.mustRun("ticket", "submit", file), "ticket 1 accepted\nobjects changed: 4\n")
	change := b.writeFile("change.ini", "[account \"kita-news\"]\nrate = 6000\nburst = 60000\n[endpoint \"s1\"]\ndelete = true\n")
	diff := b.mustRun("ticket", "diff", change)
	assert.Assert(t, strings.HasPrefix(diff, "account kita-news\n- rate = 5000\n+ rate = 6000\nendpoint s1\n- addr = 127.0.0.1:9001\n"), diff)
	b.mustRun("ticket", "submit", change)
	assert.Equal(t, b.mustRun("ticket", "diff", "1", "2"), diff)
	assert.Equal(t, b.mustRun("ticket", "diff", "2", "2"), "no difference\n")

	b.writeSession("e1", 2)
	b.writeSession("e2", 1)
	shown := b.mustRun("ticket", "show", "1")
	for _, want := range []string{"ticket 1\nby ana at ", "  first_token = 1.9s\n", "in force on 2 of 2\n"} {
		assert.Assert(t, strings.Contains(shown, want), shown)
	}
	b.clock = &pollClock{Fake: clock.NewFake(time.Now())}
	out, err := b.run("ticket", "wait", "2", "--timeout", "20ms")
	assert.ErrorContains(t, err, "not in force everywhere")
	b.clock = clock.Real{}
	assert.Equal(t, out, "ticket 2\nin force on 1 of 2\nbehind: e2 at 1\n")
	b.writeSession("e2", 2)
	assert.Equal(t, b.mustRun("ticket", "wait", "2"), "ticket 2\nin force on 2 of 2\n")
	var s fleetStatus
	assert.NilError(t, json.Unmarshal([]byte(b.mustRun("--json", "status")), &s))
	assert.Equal(t, s.Accepted, uint64(2))
	assert.Assert(t, s.Progress.Complete())
	assert.DeepEqual(t, s.CutOff, []string{"a"}) // its sessions were never renewed
}

// pollClock passes only while a wait is between two reads of the progress.
type pollClock struct {
	*clock.Fake
	beforePoll func() // may be nil
}

func (c *pollClock) After(d time.Duration) <-chan time.Time {
	timer := c.Fake.After(d)
	if d == progressPollInterval {
		if c.beforePoll != nil {
			c.beforePoll()
		}
		c.Advance(d)
	}
	return timer
}

// A wait that ends during its first reads says what is not known, not that a read was broken off.
func TestWaitEndsInItsFirstReads(t *testing.T) {
	for held, want := range []string{
		"the store did not answer within 1s: it is not known whether there is a ticket 1 or where it is in force",
		"ticket 1 is accepted; the store did not say within 1s where it is in force",
	} {
		b := newTestEnv(t)
		b.mustRun("ticket", "submit", b.writeFile("first.ini", initialTicket))
		fake := clock.NewFake(time.Now())
		release := make(chan struct{})
		var reads atomic.Int64
		store := httpplatform.Handler(b.store)
		addr := b.serve(func(r *fasthttp.RequestCtx) {
			if reads.Add(1) > int64(held) {
				fake.Advance(time.Second)
				<-release
			}
			store(r)
		})
		t.Cleanup(func() { close(release) })
		b.settings = b.writeFile("silent.ini", "[platform]\naddr = "+addr+"\ntimeout = 3s\n[operator]\nname = ana\n")
		b.clock = fake
		out, err := b.run("ticket", "wait", "1", "--timeout", "1s")
		assert.Error(t, err, want)
		assert.Equal(t, out, "")
	}
}

// A wait that lost the store says how old its knowledge is.
func TestWaitLosesTheStore(t *testing.T) {
	b := newTestEnv(t)
	b.mustRun("ticket", "submit", b.writeFile("first.ini", initialTicket))
	b.writeSession("e1", 0)
	fake := &pollClock{Fake: clock.NewFake(time.Now()), beforePoll: func() { b.store.Down(true) }}
	b.clock = fake
	out, err := b.run("ticket", "wait", "1", "--timeout", "1900ms")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.ErrorContains(t, err, "ticket 1 was not in force everywhere ")
	assert.ErrorContains(t, err, " ago; since then the store cannot be read")
	assert.Equal(t, out, "ticket 1\nin force on 0 of 1\nbehind: e1 at 0\n")
}

func TestUsageErrors(t *testing.T) {
	b := newTestEnv(t)
	bad := b.writeFile("bad.ini", "[account \"a\"]\nrate = 0\nburst = 1\n")
	for _, argv := range [][]string{
		{"ticket", "submit", bad},
		{"ticket", "check", bad},
		{"ticket", "submit", filepath.Join(b.dir, "absent.ini")},
		{"ticket", "diff", "x", "1"},
		{"ticket"},
		{"key"},
		{},
	} {
		_, err := b.run(argv...)
		assert.Assert(t, err != nil && IsUsage(err), "%v: %v", argv, err)
	}
	head, err := ticket.Head(context.Background(), b.store.For("a").Table)
	assert.NilError(t, err)
	assert.Equal(t, head, uint64(0))
	_, err = b.run("ticket", "show", "7")
	assert.Assert(t, err != nil && !IsUsage(err))
	_, err = b.run("ticket", "wait", "7")
	assert.Error(t, err, "there is no ticket 7; the newest is 0")
	assert.Assert(t, strings.Contains(b.mustRun("ticket", "check", "--offline", b.writeFile("f.ini", initialTicket)), "form is valid"))
}

func TestKeyCommands(t *testing.T) {
	b := newTestEnv(t)
	b.mustRun("ticket", "submit", b.writeFile("first.ini", initialTicket))
	out := b.mustRun("key", "issue", "--account", "kita-news", "--id", "kita-1")
	key := strings.TrimSpace(out[strings.Index(out, "cwy_"):])
	state, err := ticket.Load(context.Background(), b.store.For("a"), 2)
	assert.NilError(t, err)
	assert.Equal(t, state.Keys[config.HashKey(key)].ID, "kita-1")
	rows, err := b.store.For("a").Table.Scan(context.Background(), "", "", 100)
	assert.NilError(t, err)
	for _, r := range rows {
		assert.Assert(t, !bytes.Contains(r.Value, []byte(key)), r.Key)
	}
	_, err = b.run("key", "issue", "--account", "kita-news", "--id", "kita-1")
	assert.Error(t, err, "not accepted: ticket 2 changed key kita-1 first")
	_, err = b.run("key", "issue", "--account", "nobody")
	assert.ErrorContains(t, err, `there is no account "nobody"`)
	assert.Equal(t, b.mustRun("key", "withdraw", "kita-1"), "ticket 3 accepted\nkey kita-1 withdrawn\n")
	state, err = ticket.Load(context.Background(), b.store.For("a"), 3)
	assert.NilError(t, err)
	assert.Assert(t, state.Keys[config.HashKey(key)].Withdrawn)
	_, err = b.run("key", "withdraw", "kita-2")
	assert.Error(t, err, `there is no key "kita-2" at ticket 3`)
}

func TestStatusFromInstanceWithStoreDown(t *testing.T) {
	b := newTestEnv(t)
	sum := sha256.Sum256([]byte("secret"))
	h, err := operator.Handler(operator.Options{
		Instance: "e1", DataCentre: "dohoku-a", Tokens: []string{hex.EncodeToString(sum[:])},
		Config: ticket.NewApplier(ticket.Options{}), Table: b.store.For("a").Table, Ring: event.NewRing("e1", 1, clock.Real{}),
	})
	assert.NilError(t, err)
	text, err := os.ReadFile(b.settings)
	assert.NilError(t, err)
	b.settings = b.writeFile("ctl2.ini", string(text)+"instance = "+b.serve(h)+"\ntoken = secret\n")
	assert.Equal(t, b.mustRun("status"), "ticket 0 accepted\nin force on 0 of 0\ne1 in dohoku-a:\n  at ticket 0\n  never known to be current\n")
	b.store.Down(true)
	out, err := b.run("status")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Equal(t, out, "store cannot be read\ne1 in dohoku-a:\n  at ticket 0\n  never known to be current\n")
}

func TestLinesAreWrapped(t *testing.T) {
	var l lineWriter
	l.addf("  note: %s", strings.Repeat("word ", 20)+strings.Repeat("é", 100))
	l.addf("")
	var out bytes.Buffer
	assert.NilError(t, l.flush(&out))
	joined := ""
	for line := range strings.Lines(out.String()) {
		line = strings.TrimSuffix(line, "\n")
		assert.Assert(t, displayColumns(line) <= maxColumns, line)
		joined += strings.TrimSpace(line)
	}
	assert.Equal(t, strings.Count(joined, "word"), 20)
	assert.Equal(t, strings.Count(joined, "é"), 100)
}
