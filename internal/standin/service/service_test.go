package service_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/endpoint/httpendpoint"
	"carawayrouter.example/router/internal/reqid"
	"carawayrouter.example/router/internal/standin/host"
	"carawayrouter.example/router/internal/standin/service"
)

func startService(t *testing.T, s service.Settings, idle time.Duration) (*service.Server, endpoint.Service) {
	t.Helper()
	return startServiceWithDial(t, s, idle, nil)
}

// startServiceWithDial is like startService; dial may be nil.
func startServiceWithDial(t *testing.T, s service.Settings, idle time.Duration, dial func(ctx context.Context, network, addr string) (net.Conn, error)) (*service.Server, endpoint.Service) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := service.New(service.Options{Settings: s})
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	t.Cleanup(func() {
		assert.NilError(t, srv.Close())
		assert.NilError(t, <-served)
	})
	d := httpendpoint.NewDialer(httpendpoint.Options{ServiceIdleTimeout: idle, DialContext: dial})
	return srv, d.Service(ln.Addr().String())
}

func newRequest(key string) endpoint.ServiceRequest {
	return endpoint.ServiceRequest{
		ID: reqid.ID{Instance: "entry-1", Incarnation: 1, Seq: 1}, Method: "POST", Path: "/deposits?x=1",
		Headers: []endpoint.Header{{Name: service.HeaderIdempotencyKey, Value: key}},
		Body:    []byte(`{"amount": 12}`),
	}
}

func readReceipt(t *testing.T, r *endpoint.ServiceResponse) service.Receipt {
	t.Helper()
	data, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	assert.NilError(t, r.Body.Close())
	var out service.Receipt
	assert.NilError(t, json.Unmarshal(data, &out))
	return out
}

func TestReceiptAndRuns(t *testing.T) {
	srv, c := startService(t, service.DefaultSettings(), 0)
	var got []service.Receipt
	for range 2 {
		r, err := c.Do(t.Context(), newRequest("k1"))
		assert.NilError(t, err)
		got = append(got, readReceipt(t, r))
	}
	assert.Equal(t, got[0].Receipt, got[1].Receipt)
	assert.DeepEqual(t, []int{got[0].N, got[1].N}, []int{1, 2})
	assert.Equal(t, srv.Ledger().Runs["k1"], 2)
}

// TestNoRepetition checks that the client does not send a request again after its
// connection was closed once the request had run, or after a pooled connection became
// silent. net/http would repeat such a request because it has an Idempotency-Key.
func TestNoRepetition(t *testing.T) {
	srv, c := startService(t, service.DefaultSettings(), 500*time.Millisecond)
	r, err := c.Do(t.Context(), newRequest("warm"))
	assert.NilError(t, err)
	readReceipt(t, r)
	srv.Inject(host.Fault{Kind: host.DropAfter})
	_, err = c.Do(t.Context(), newRequest("dropped"))
	assert.ErrorIs(t, err, endpoint.ErrCallFailed)
	srv.Inject(host.Fault{Kind: host.Clear})
	assert.Equal(t, srv.Ledger().Runs["dropped"], 1)

	r, err = c.Do(t.Context(), newRequest("warm"))
	assert.NilError(t, err)
	readReceipt(t, r)
	srv.Inject(host.Fault{Kind: host.Silent})
	_, err = c.Do(t.Context(), newRequest("silent"))
	assert.ErrorIs(t, err, endpoint.ErrIdleTimeout)
	assert.Equal(t, srv.Ledger().Runs["silent"], 0)
}

// closedConn is a connection whose reads fail as those of a closed one do.
type closedConn struct{ net.Conn }

func (closedConn) Read([]byte) (int, error) { return 0, net.ErrClosed }

// A request whose connection became silent ends with the idle timeout, also when the connection
// on which the transport tries it again fails in another way.
func TestIdleTimeoutOutlivesRefusedRepetition(t *testing.T) {
	errDial := errors.New("no more connections")
	for _, second := range []func(net.Conn) (net.Conn, error){
		func(c net.Conn) (net.Conn, error) { return closedConn{c}, nil },
		func(c net.Conn) (net.Conn, error) { return nil, errors.CombineErrors(errDial, c.Close()) },
	} {
		var dials atomic.Int64
		srv, c := startServiceWithDial(t, service.DefaultSettings(), 500*time.Millisecond, func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, addr)
			if err != nil || dials.Add(1) == 1 {
				return conn, err
			}
			return second(conn)
		})
		r, err := c.Do(t.Context(), newRequest("warm"))
		assert.NilError(t, err)
		readReceipt(t, r)
		srv.Inject(host.Fault{Kind: host.Silent})
		_, err = c.Do(t.Context(), newRequest("silent"))
		assert.ErrorIs(t, err, endpoint.ErrIdleTimeout)
		assert.Equal(t, srv.Ledger().Runs["silent"], 0)
		assert.Equal(t, dials.Load(), int64(2))
	}
}

func TestRefusalsProveNotRun(t *testing.T) {
	s := service.DefaultSettings()
	s.Slots = 1
	srv, c := startService(t, s, 0)
	srv.Inject(host.Fault{Kind: host.Stall})
	first := make(chan error, 1)
	go func() {
		r, err := c.Do(t.Context(), newRequest("one"))
		if err == nil {
			err = r.Body.Close()
		}
		first <- err
	}()
	for srv.Ledger().Calls == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := c.Do(t.Context(), newRequest("two"))
	assert.ErrorIs(t, err, endpoint.ErrRefused)
	assert.Equal(t, srv.Ledger().Runs["two"], 0)
	srv.Inject(host.Fault{Kind: host.Clear})
	assert.NilError(t, <-first)

	srv.Inject(host.Fault{Kind: host.Die})
	// On connections that were pooled before the crash, calls may fail with errors
	// other than ErrNotSent.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := c.Do(t.Context(), newRequest("three"))
		switch {
		case err == nil:
			return poll.Error(errors.New("a crashed service responded"))
		case errors.Is(err, endpoint.ErrNotSent):
			return poll.Success()
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(20*time.Second))
	assert.Equal(t, srv.Ledger().Runs["three"], 0)
}

func TestCredentialsAreNoticed(t *testing.T) {
	srv, c := startService(t, service.DefaultSettings(), 0)
	q := newRequest("k")
	q.Headers = append(q.Headers, endpoint.Header{Name: "authorization", Value: "Bearer x"})
	r, err := c.Do(t.Context(), q)
	assert.NilError(t, err)
	readReceipt(t, r)
	assert.Equal(t, srv.Ledger().Leaks[0].Header, "Authorization")
}
