package httpplatform

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/platform"
	"carawayrouter.example/router/internal/platform/memplatform"
)

// start serves a new store on a loopback address and returns both.
func start(t *testing.T) (*memplatform.Store, string) {
	t.Helper()
	store := memplatform.New(memplatform.Options{Seed: 1})
	return store, serve(t, Handler(store))
}

func serve(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &fasthttp.Server{Handler: h}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		assert.NilError(t, <-done)
	})
	return ln.Addr().String()
}

func TestTableOverHTTP(t *testing.T) {
	ctx := context.Background()
	_, addr := start(t)
	table := NewClient(addr, "a").Table
	v, err := table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: "p/x"}},
		Writes:     []platform.Write{{Key: "p/x", Value: []byte{0, 255}}, {Key: "p/y", Value: []byte("y")}},
	})
	assert.NilError(t, err)
	rows, err := table.Get(ctx, "p/x", "absent")
	assert.NilError(t, err)
	assert.DeepEqual(t, rows, []platform.Row{{Key: "p/x", Version: v, Value: []byte{0, 255}}, {Key: "absent"}})
	rows, err = table.Scan(ctx, "p/", "p/x", 5)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	_, err = table.Commit(ctx, platform.Txn{Conditions: []platform.Condition{{Key: "p/x"}}})
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, *conflict, platform.ConflictError{Key: "p/x", Have: v})
}

func TestObjectsAndInstancesOverHTTP(t *testing.T) {
	ctx := context.Background()
	_, addr := start(t)
	p := NewClient(addr, "a")
	assert.NilError(t, p.Objects.Put(ctx, "s/1 2%", []byte("data")))
	got, err := p.Objects.Get(ctx, "s/1 2%")
	assert.NilError(t, err)
	assert.Equal(t, string(got), "data")
	_, err = p.Objects.Get(ctx, "s/none")
	assert.ErrorIs(t, err, platform.ErrNotFound)
	names, err := p.Objects.List(ctx, "s/")
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{"s/1 2%"})
	i := platform.Instance{Name: "e1", Addr: "127.0.0.1:1", DataCentre: "a", Group: "entry", State: platform.Live}
	assert.NilError(t, Register(ctx, addr, i))
	assert.NilError(t, p.Instances.Leave(ctx, "e1"))
	all, err := p.Instances.List(ctx)
	assert.NilError(t, err)
	i.State = platform.Leaving
	assert.DeepEqual(t, all, []platform.Instance{i})
	assert.ErrorIs(t, p.Instances.Leave(ctx, "e2"), platform.ErrNotFound)
}

func TestFaultsOverHTTP(t *testing.T) {
	ctx := context.Background()
	_, addr := start(t)
	table := NewClient(addr, "a").Table
	yes, no, all := true, false, 1.0
	assert.NilError(t, SetFault(ctx, addr, Fault{LoseAnswers: &all}))
	_, err := table.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: "x"}}})
	assert.ErrorIs(t, err, platform.ErrUnknownOutcome)
	assert.NilError(t, SetFault(ctx, addr, Fault{Cut: map[string]bool{"a": true}}))
	_, err = table.Get(ctx, "x")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Error(t, err, "data centre a is cut off: platform service unavailable")
	rows, err := NewClient(addr, "b").Table.Get(ctx, "x")
	assert.NilError(t, err)
	assert.Assert(t, rows[0].Version > 0)
	assert.NilError(t, SetFault(ctx, addr, Fault{Cut: map[string]bool{"a": false}, Down: &yes}))
	_, err = table.Get(ctx, "x")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.NilError(t, SetFault(ctx, addr, Fault{Down: &no}))
	bad := "soon"
	assert.ErrorContains(t, SetFault(ctx, addr, Fault{Slow: &bad}), "is not a duration")
}

// TestCommitTransportErrors checks both kinds of transport error: the request was not sent,
// and the request was sent but got no response.
func TestCommitTransportErrors(t *testing.T) {
	ctx := context.Background()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := ln.Addr().String()
	assert.NilError(t, ln.Close())
	_, err = NewClient(closed, "a").Table.Commit(ctx, platform.Txn{})
	assert.ErrorIs(t, err, platform.ErrUnavailable)

	addr := serve(t, func(rc *fasthttp.RequestCtx) {
		rc.HijackSetNoResponse(true)
		rc.Hijack(func(net.Conn) {})
	})
	_, err = NewClient(addr, "a").Table.Commit(ctx, platform.Txn{})
	assert.ErrorIs(t, err, platform.ErrUnknownOutcome)
	_, err = NewClient(addr, "a").Table.Get(ctx, "x")
	assert.ErrorIs(t, err, platform.ErrUnavailable)
}

func TestSilentServerEndsAtDeadline(t *testing.T) {
	release := make(chan struct{})
	addr := serve(t, func(*fasthttp.RequestCtx) { <-release })
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := NewClient(addr, "a").Table.Commit(ctx, platform.Txn{})
	assert.ErrorIs(t, err, platform.ErrUnknownOutcome)
}

// An answer with a malformed head says nothing: here the parser of net/http would take a part of the head for the object.
func TestAnswerWithAMalformedHeadIsAnError(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\nX: y\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n", "HTTP/1.1 000 OK\r\n\r\n"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			defer nc.Close()
			_, _ = nc.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(nc, head+"data")
		}()
		got, err := NewClient(ln.Addr().String(), "a").Objects.Get(context.Background(), "x")
		assert.ErrorIs(t, err, platform.ErrUnavailable, "%q: %q", head, got)
		_ = ln.Close()
	}
}

// The platform begins its answer to a write while the object is still being sent, and resets the connection. The write is not
// taken for one that was made.
func TestAnswerResetDuringAWriteIsAnError(t *testing.T) {
	const resets = 300
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				_, _ = io.CopyN(io.Discard, nc, 32<<10)
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\n{}")
				_, _ = io.CopyN(io.Discard, nc, 32<<10)
				_ = nc.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	c, object := NewClient(ln.Addr().String(), "a"), make([]byte, 1<<20)
	for i := range resets {
		err := c.Objects.Put(context.Background(), "x", object)
		assert.Assert(t, err != nil, "reset %d: the write looks made", i)
	}
}
