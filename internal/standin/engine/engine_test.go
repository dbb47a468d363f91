package engine_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/standin/engine"
	"carawayrouter.example/router/internal/standin/host"
)

const model = "caption"

// testEngine is an engine with a client.
type testEngine struct {
	*engine.Server
	addr   string
	client endpoint.Engine
}

// fastSettings returns settings with short durations.
func fastSettings(role string) engine.Settings {
	s := engine.DefaultSettings()
	s.Role, s.Model, s.Name = role, model, role
	s.TokenInterval, s.StepCost = time.Millisecond, 0
	s.PrefillPerPiece = 10 * time.Millisecond
	s.Keepalive = 50 * time.Millisecond
	s.LoadReportLag, s.CacheEventDelay, s.CacheEventLoss = 0, 0, 0
	return s
}

func startEngine(t *testing.T, s engine.Settings, o httpendpoint.Options) *testEngine {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := engine.New(engine.Options{Settings: s})
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	t.Cleanup(func() {
		assert.NilError(t, srv.Close())
		assert.NilError(t, <-served)
	})
	addr := ln.Addr().String()
	return &testEngine{Server: srv, addr: addr, client: httpendpoint.NewDialer(o).Engine(addr)}
}

func id(n uint64) reqid.ID { return reqid.ID{Instance: "entry-1", Incarnation: 7, Seq: n} }

// prefillAndImport prefills a request at p and imports the result at d.
func prefillAndImport(t *testing.T, p, d *testEngine, n uint64, prompt string, maxOutput int) {
	t.Helper()
	res, err := p.client.Prefill(t.Context(), endpoint.PrefillRequest{ID: id(n), Attempt: 1, Model: model, Prompt: prompt})
	assert.NilError(t, err)
	assert.NilError(t, d.client.Import(t.Context(), endpoint.ImportRequest{
		ID: id(n), Attempt: 1, Model: model, Handle: res.Handle, Source: p.addr, Tokens: res.Tokens, MaxOutput: maxOutput,
	}))
}

// readTokens reads tokens until an error, but at most want.
func readTokens(s endpoint.TokenStream, want int) ([]endpoint.Token, error) {
	var list []endpoint.Token
	for len(list) < want {
		tok, err := s.Next()
		if err != nil {
			return list, err
		}
		list = append(list, tok)
	}
	return list, nil
}

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

func TestWholeOutput(t *testing.T) {
	p, d := startEngine(t, fastSettings("prefill"), httpendpoint.Options{}), startEngine(t, fastSettings("decode"), httpendpoint.Options{})
	const prompt = "a harbour at dusk"
	prefillAndImport(t, p, d, 1, prompt, 30)
	s, err := d.client.Decode(t.Context(), endpoint.DecodeRequest{ID: id(1), Attempt: 1, MaxOutput: 30})
	assert.NilError(t, err)
	list, err := readTokens(s, 100)
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, s.Close())
	n := engine.ExpectedLength(model, prompt, 30)
	assert.Equal(t, len(list), n)
	for i, tok := range list {
		assert.Equal(t, tok.Text, engine.ExpectedText(model, prompt, i))
		assert.Equal(t, tok.Finish != "", i == n-1)
	}
	waitFor(t, "memory freed after the output was read", func() bool { return d.UsedPieces() == 0 })
	assert.Equal(t, p.UsedPieces(), 0)
	l := p.Ledger()
	assert.Equal(t, l.PrefillsImported, 1)
	assert.Equal(t, len(l.Leaks), 0)
}

// TestDroppedStreamHoldsMemory checks that an output keeps its memory after its
// connection was dropped, until it is read to the end over another connection or
// cancelled.
func TestDroppedStreamHoldsMemory(t *testing.T) {
	p, d := startEngine(t, fastSettings("prefill"), httpendpoint.Options{}), startEngine(t, fastSettings("decode"), httpendpoint.Options{})
	const prompt = "two boats"
	n := engine.ExpectedLength(model, prompt, 400)
	var first []endpoint.Token
	for seq := range uint64(2) {
		prefillAndImport(t, p, d, seq, prompt, 400)
		s, err := d.client.Decode(t.Context(), endpoint.DecodeRequest{ID: id(seq), Attempt: 1, MaxOutput: 400})
		assert.NilError(t, err)
		first, err = readTokens(s, 3)
		assert.NilError(t, err)
		d.Inject(host.Fault{Kind: host.Drop})
		_, err = readTokens(s, 1000)
		assert.ErrorIs(t, err, endpoint.ErrCallFailed)
	}
	waitFor(t, "outputs generated without a reader", func() bool { return d.Ledger().TokensGenerated == 2*n })
	assert.Equal(t, len(d.Running()), 2)

	s, err := d.client.Decode(t.Context(), endpoint.DecodeRequest{ID: id(1), Attempt: 1, Offset: len(first)})
	assert.NilError(t, err)
	rest, err := readTokens(s, 1000)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, rest[0].Index, len(first))
	assert.Equal(t, len(first)+len(rest), n)
	waitFor(t, "output read to the end is freed", func() bool { return len(d.Running()) == 1 })

	assert.NilError(t, d.client.Cancel(t.Context(), id(0), 1))
	assert.Equal(t, d.UsedPieces(), 0)
	_, err = d.client.Decode(t.Context(), endpoint.DecodeRequest{ID: id(0), Attempt: 1})
	assert.ErrorIs(t, err, endpoint.ErrGone)
}

func TestSilentConnectionIsFound(t *testing.T) {
	o := httpendpoint.Options{IdleTimeout: 400 * time.Millisecond}
	p, d := startEngine(t, fastSettings("prefill"), o), startEngine(t, fastSettings("decode"), o)
	prefillAndImport(t, p, d, 1, "a church", 2000)
	s, err := d.client.Decode(t.Context(), endpoint.DecodeRequest{ID: id(1), Attempt: 1, MaxOutput: 2000})
	assert.NilError(t, err)
	list, err := readTokens(s, 2)
	assert.NilError(t, err)
	d.Inject(host.Fault{Kind: host.Silent})
	more, err := readTokens(s, 5000)
	assert.ErrorIs(t, err, endpoint.ErrIdleTimeout)

	// The stream can be resumed over a new connection where it stopped.
	next := len(list) + len(more)
	s, err = d.client.Decode(t.Context(), endpoint.DecodeRequest{ID: id(1), Attempt: 1, MaxOutput: 2000, Offset: next})
	assert.NilError(t, err)
	rest, err := readTokens(s, 5000)
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, next+len(rest), engine.ExpectedLength(model, "a church", 2000))
}

// TestSilentPooledConnection checks that a pooled connection that is silent before the
// response header is detected, here during a cancel.
func TestSilentPooledConnection(t *testing.T) {
	d := startEngine(t, fastSettings("decode"), httpendpoint.Options{IdleTimeout: time.Second})
	_, err := d.client.Load(t.Context())
	assert.NilError(t, err)
	d.Inject(host.Fault{Kind: host.Silent})
	err = d.client.Cancel(t.Context(), id(1), 1)
	assert.ErrorIs(t, err, endpoint.ErrIdleTimeout)
	assert.NilError(t, d.client.Cancel(t.Context(), id(1), 1))
}

func TestCrossedStreamsAreFound(t *testing.T) {
	p, d := startEngine(t, fastSettings("prefill"), httpendpoint.Options{}), startEngine(t, fastSettings("decode"), httpendpoint.Options{})
	prompts := []string{"an altar", "a rail"}
	var streams []endpoint.TokenStream
	for i, prompt := range prompts {
		prefillAndImport(t, p, d, uint64(i), prompt, 2000)
		s, err := d.client.Decode(t.Context(), endpoint.DecodeRequest{ID: id(uint64(i)), Attempt: 1, MaxOutput: 2000})
		assert.NilError(t, err)
		streams = append(streams, s)
	}
	d.Inject(host.Fault{Kind: host.Crossed})
	for i, s := range streams {
		list, err := readTokens(s, 5000)
		assert.ErrorIs(t, err, endpoint.ErrMismatch)
		for _, tok := range list {
			assert.Equal(t, tok.Text, engine.ExpectedText(model, prompts[i], tok.Index))
		}
	}
}

func TestResultExpires(t *testing.T) {
	ps := fastSettings("prefill")
	ps.ResultTTL = 30 * time.Millisecond
	p, d := startEngine(t, ps, httpendpoint.Options{}), startEngine(t, fastSettings("decode"), httpendpoint.Options{})
	res, err := p.client.Prefill(t.Context(), endpoint.PrefillRequest{ID: id(1), Attempt: 1, Model: model, Prompt: "late"})
	assert.NilError(t, err)
	waitFor(t, "result expired", func() bool { return p.UsedPieces() == 0 })
	err = d.client.Import(t.Context(), endpoint.ImportRequest{
		ID: id(1), Attempt: 1, Model: model, Handle: res.Handle, Source: p.addr, Tokens: res.Tokens, MaxOutput: 10,
	})
	assert.ErrorIs(t, err, endpoint.ErrGone)
	assert.Equal(t, d.UsedPieces(), 0)
	assert.Equal(t, p.Ledger().PrefillsWasted, 1)
}

// TestCancelFreesEveryStage checks that a cancel frees the memory held in every stage,
// and that later calls of the cancelled attempt are refused.
func TestCancelFreesEveryStage(t *testing.T) {
	ps := fastSettings("prefill")
	ps.PrefillPerPiece = time.Hour
	ds := fastSettings("decode")
	p, fast, d := startEngine(t, ps, httpendpoint.Options{}), startEngine(t, fastSettings("prefill"), httpendpoint.Options{}), startEngine(t, ds, httpendpoint.Options{})

	pre := endpoint.PrefillRequest{ID: id(1), Attempt: 1, Model: model, Prompt: strings.Repeat("x", 9000)}
	ended := make(chan error, 1)
	go func() {
		_, err := p.client.Prefill(context.WithoutCancel(t.Context()), pre)
		ended <- err
	}()
	waitFor(t, "prefill runs", func() bool { return p.UsedPieces() > 0 })
	assert.NilError(t, p.client.Cancel(t.Context(), id(1), 1))
	assert.ErrorIs(t, <-ended, endpoint.ErrGone)
	assert.Equal(t, p.UsedPieces(), 0)
	_, err := p.client.Prefill(t.Context(), pre)
	assert.ErrorIs(t, err, endpoint.ErrGone)

	fast.Inject(host.Fault{Kind: host.StallTransfer})
	res, err := fast.client.Prefill(t.Context(), endpoint.PrefillRequest{ID: id(2), Attempt: 2, Model: model, Prompt: "y"})
	assert.NilError(t, err)
	imp := endpoint.ImportRequest{ID: id(2), Attempt: 2, Model: model, Handle: res.Handle, Source: fast.addr, Tokens: res.Tokens, MaxOutput: 10}
	go func() { ended <- d.client.Import(context.WithoutCancel(t.Context()), imp) }()
	waitFor(t, "import holds memory", func() bool { return d.UsedPieces() > 0 })
	assert.NilError(t, d.client.Cancel(t.Context(), id(2), 1))
	assert.Assert(t, d.UsedPieces() > 0) // attempt 2 is not affected
	assert.NilError(t, d.client.Cancel(t.Context(), id(2), 2))
	assert.ErrorIs(t, <-ended, endpoint.ErrGone)
	assert.Equal(t, d.UsedPieces(), 0)
	assert.Equal(t, len(d.Running()), 0)
}

func TestFullEngineRefuses(t *testing.T) {
	ds := fastSettings("decode")
	ds.Slots = 1
	p, d := startEngine(t, fastSettings("prefill"), httpendpoint.Options{}), startEngine(t, ds, httpendpoint.Options{})
	prefillAndImport(t, p, d, 1, "one", 10)
	err := d.client.Import(t.Context(), endpoint.ImportRequest{ID: id(2), Attempt: 1, Model: model, Handle: "h", Source: p.addr, Tokens: 1, MaxOutput: 10})
	assert.ErrorIs(t, err, endpoint.ErrFull)
	err = d.client.Import(t.Context(), endpoint.ImportRequest{ID: id(3), Attempt: 1, Model: "other", Handle: "h", Source: p.addr, Tokens: 1, MaxOutput: 10})
	assert.ErrorIs(t, err, endpoint.ErrRefused)
}

func TestStaleEpoch(t *testing.T) {
	honours := startEngine(t, fastSettings("decode"), httpendpoint.Options{})
	s := fastSettings("decode")
	s.Fencing = "ignore"
	ignores := startEngine(t, s, httpendpoint.Options{})
	for _, c := range []struct {
		engine *testEngine
		want   error
		model  string
	}{{honours, endpoint.ErrStaleEpoch, "new"}, {ignores, nil, "old"}} {
		_, err := c.engine.client.Order(t.Context(), endpoint.Order{Epoch: 5, Model: "new", Role: "decode"})
		assert.NilError(t, err)
		_, err = c.engine.client.Order(t.Context(), endpoint.Order{Epoch: 4, Model: "old", Role: "decode"})
		assert.ErrorIs(t, err, c.want)
		assert.Equal(t, c.engine.Ledger().LastOrder.Model, c.model)
	}
}

// TestPrefixCache checks that a cached prefix is not prefilled again and that cache
// events list its pieces.
func TestPrefixCache(t *testing.T) {
	p := startEngine(t, fastSettings("prefill"), httpendpoint.Options{})
	prefix := strings.Repeat("g", 3*endpoint.PieceTokens*endpoint.BytesPerToken)
	var cached []int
	for n := range uint64(2) {
		res, err := p.client.Prefill(t.Context(), endpoint.PrefillRequest{ID: id(n), Attempt: 1, Model: model, Prompt: prefix + "tail"})
		assert.NilError(t, err)
		cached = append(cached, res.CachedTokens)
	}
	assert.DeepEqual(t, cached, []int{0, 3 * endpoint.PieceTokens})
	events, err := p.client.CacheEvents(t.Context(), 1)
	assert.NilError(t, err)
	hashes := endpoint.PrefixHashes(model, prefix)
	assert.DeepEqual(t, events, []endpoint.CacheEvent{{Seq: 2, Hash: hashes[1]}, {Seq: 3, Hash: hashes[2]}})
}

// TestPrefillPriority checks that prefills run one at a time in order of priority.
func TestPrefillPriority(t *testing.T) {
	ps := fastSettings("prefill")
	p := startEngine(t, ps, httpendpoint.Options{})
	p.Inject(host.Fault{Kind: host.Stall})
	order := make(chan int, 3)
	submit := func(n uint64, priority int) {
		seen := len(p.Running())
		go func() {
			_, err := p.client.Prefill(context.WithoutCancel(t.Context()), endpoint.PrefillRequest{ID: id(n), Attempt: 1, Model: model, Prompt: strings.Repeat("p", 8000), Priority: priority})
			if err != nil {
				priority = -1
			}
			order <- priority
		}()
		waitFor(t, "prefill arrived", func() bool { return len(p.Running()) > seen })
	}
	submit(1, 0)
	waitFor(t, "first prefill runs", func() bool { return p.UsedPieces() > 0 })
	submit(2, 9)
	submit(3, 1)
	p.Inject(host.Fault{Kind: host.Clear})
	assert.DeepEqual(t, []int{<-order, <-order, <-order}, []int{0, 1, 9})
}

func TestDeathLosesStateAndRevives(t *testing.T) {
	p, d := startEngine(t, fastSettings("prefill"), httpendpoint.Options{}), startEngine(t, fastSettings("decode"), httpendpoint.Options{})
	prefillAndImport(t, p, d, 1, "gone", 2000)
	s, err := d.client.Decode(t.Context(), endpoint.DecodeRequest{ID: id(1), Attempt: 1, MaxOutput: 2000})
	assert.NilError(t, err)
	d.Inject(host.Fault{Kind: host.Die})
	_, err = readTokens(s, 5000)
	assert.ErrorIs(t, err, endpoint.ErrCallFailed)
	_, err = d.client.Running(t.Context())
	assert.ErrorIs(t, err, endpoint.ErrNotSent)
	assert.NilError(t, d.Restart())
	list, err := d.client.Running(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
}
