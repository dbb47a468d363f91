package gateway

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/quarantine"
)

// mapStore is a store of one table that can be unavailable.
type mapStore struct {
	Store
	down bool
	rows map[string][]byte
}

func (m *mapStore) failure() error {
	if m.down {
		return errors.New("the store is down")
	}
	return nil
}

func (m *mapStore) Rows(context.Context, Table) (rows []Row, at Position, err error) {
	for key, value := range m.rows {
		rows = append(rows, Row{Key: key, Value: value})
	}
	return rows, Position{Version: 1}, m.failure()
}

func (m *mapStore) Create(_ context.Context, _ Table, key string, value []byte) ([]byte, error) {
	if err := m.failure(); err != nil {
		return nil, err
	}
	m.rows[key] = value
	return value, nil
}

func (m *mapStore) Put(_ context.Context, _ Table, key string, value []byte) error {
	if err := m.failure(); err != nil {
		return err
	}
	m.rows[key] = value
	return nil
}

func (m *mapStore) Delete(_ context.Context, _ Table, key string) error {
	if err := m.failure(); err != nil {
		return err
	}
	delete(m.rows, key)
	return nil
}

func newQuarantineServer(store Store) *Server {
	s := newTestServer("127.0.0.1:1", time.Now())
	s.store = store
	return s
}

// Numbers of the prompts and endpoints of the tests so far.
var bodies, crashed int

// promptExchange returns an exchange of a prompt of its own with the given parts.
func promptExchange(s *Server, parts ...string) *exchange {
	bodies++
	return callExchange(s, fmt.Sprint("prompt ", bodies), parts...)
}

// callExchange returns an exchange of a request with the given body.
func callExchange(s *Server, body string, parts ...string) *exchange {
	return &exchange{s: s, call: &Call{Route: &config.Route{Open: true}, Body: []byte(body), PromptParts: parts, Arrived: time.Now()}}
}

// crash records three crashes, of different prompts with the given parts.
func crash(t *testing.T, s *Server, parts ...string) {
	t.Helper()
	crashOn(t, s, func() *exchange { return promptExchange(s, parts...) })
}

// crashOn records three crashes of endpoints at which nothing listens, each on an exchange.
func crashOn(t *testing.T, s *Server, next func() *exchange) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	for range 3 {
		crashed++
		next().recordBreak(context.Background(), &config.Endpoint{Name: fmt.Sprint("e", crashed), Addr: ln.Addr().String()}, errors.Mark(errors.New("EOF"), endpoint.ErrCallFailed))
	}
}

// A quarantine that begins while the store is down is written when it is back, so that it
// outlives all instances.
func TestQuarantineOutlivesAllInstances(t *testing.T) {
	ctx := context.Background()
	store := &mapStore{down: true, rows: map[string][]byte{}}
	s := newQuarantineServer(store)
	crash(t, s, "first", "deadly")
	assert.Assert(t, errors.Is(promptExchange(s, "first", "deadly").admit(), errQuarantined))
	assert.NilError(t, promptExchange(s, "first").admit())
	s.settleQuarantine(time.Now().Add(time.Second))
	assert.Equal(t, len(s.quarantine.changed), 1, "the store is compared at once")
	assert.ErrorContains(t, s.storeQuarantine(ctx), "down")
	store.down = false
	assert.NilError(t, s.storeQuarantine(ctx))

	s = newQuarantineServer(store)
	assert.NilError(t, promptExchange(s, "deadly").admit())
	assert.NilError(t, s.restoreQuarantine(ctx))
	assert.Assert(t, errors.Is(promptExchange(s, "deadly").admit(), errQuarantined))
}

// An instance takes callers only when it knows what was quarantined before it started, from the
// store or another instance, unless both are out of reach.
func TestReadyWhenQuarantineIsKnown(t *testing.T) {
	ctx := context.Background()
	store := &mapStore{down: true, rows: map[string][]byte{}}
	started := func() *Server {
		s := newQuarantineServer(store)
		s.settings.Bootstrap, s.peers.started, s.peers.listed = true, time.Now(), true
		return s
	}
	a, b := started(), started()
	assert.ErrorContains(t, a.restoreQuarantine(ctx), "down")
	assert.Assert(t, !a.ready())
	secret := []byte("secret")
	receive := func() {
		a.peers.self.Incarnation++
		datagram, err := gossip.Encode(a.peers.buildUpdate(), secret)
		assert.NilError(t, err)
		u, _, err := gossip.Decode(datagram, secret)
		assert.NilError(t, err)
		u.Instance = "i2"
		assert.Assert(t, b.peers.applyUpdate(time.Now(), u, netip.AddrPort{}, false))
	}
	receive()
	assert.Assert(t, !b.ready(), "the other instance does not know either")
	store.down = false
	assert.NilError(t, a.restoreQuarantine(ctx))
	assert.Assert(t, a.ready())
	receive()
	assert.Assert(t, b.ready())

	alone := started()
	alone.peers.started = time.Now().Add(-2 * syncTimeout)
	assert.Assert(t, alone.ready())
}

// A request that crashes its endpoints each time that it comes is refused, with another kind than
// prompts with a quarantined part. Other requests with its parts are not.
func TestRepeatedRequestIsRefused(t *testing.T) {
	s := newQuarantineServer(nil)
	again := func() *exchange { return callExchange(s, "deadly", "first") }
	crashOn(t, s, again)
	err := again().admit()
	assert.Assert(t, errors.Is(err, errQuarantined))
	assert.Equal(t, errkind.From(err).Kind, errkind.RequestQuarantined)
	assert.NilError(t, promptExchange(s, "first").admit())
	crash(t, s, "other")
	assert.Equal(t, errkind.From(promptExchange(s, "other").admit()).Kind, errkind.PromptQuarantined)
}

// Another instance refuses the part and the request as soon as it receives an update.
func TestQuarantineReachesOtherInstances(t *testing.T) {
	a, b := newQuarantineServer(nil), newQuarantineServer(nil)
	crash(t, a, "deadly")
	crashOn(t, a, func() *exchange { return callExchange(a, "deadly") })
	secret := []byte("secret")
	datagram, err := gossip.Encode(a.peers.buildUpdate(), secret)
	assert.NilError(t, err)
	u, _, err := gossip.Decode(datagram, secret)
	assert.NilError(t, err)
	b.mergeQuarantine(time.Now(), u)
	assert.Assert(t, errors.Is(promptExchange(b, "deadly").admit(), errQuarantined))
	assert.Assert(t, errors.Is(callExchange(b, "deadly").admit(), errQuarantined))
	assert.NilError(t, callExchange(b, "sound").admit())
}

// A cause that is found from the evidence of two instances is stored at once, so that it outlives
// both.
func TestQuarantineFoundByAnUpdateIsStored(t *testing.T) {
	s := newQuarantineServer(nil)
	deadly := gossip.CrashedRequest{Fingerprint: "deadly"}
	update := &gossip.Update{Instance: "i1"}
	for i := range 3 {
		update.Crashes = append(update.Crashes, gossip.Crash{Endpoint: fmt.Sprint("e", i), Requests: []gossip.CrashedRequest{deadly}})
	}
	now := time.Now()
	s.mergeQuarantine(now, update)
	select {
	case <-s.quarantine.crashed:
	default:
		t.Fatal("the evidence is not weighed again")
	}
	next := s.settleQuarantine(now)
	assert.Assert(t, next > 0)
	assert.Equal(t, s.settleQuarantine(now.Add(next)), time.Duration(0))
	assert.Equal(t, s.quarantine.count(), 1)
	select {
	case <-s.quarantine.changed:
	default:
		t.Fatal("the store is compared only after the usual interval")
	}
	update.Quarantined = []gossip.Quarantine{{Cause: "another", Remaining: 1000}}
	s.mergeQuarantine(time.Now(), update)
	assert.Equal(t, len(s.quarantine.changed), 0, "the instance that found it stores it")
}

// An answer that is lost while its engine goes on is no crash.
func TestLostAnswerIsNoCrash(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serveHealth(t, "127.0.0.2:"+port(t, ln), "e1")
	s := newQuarantineServer(nil)
	broken := errors.Mark(errors.New("EOF"), endpoint.ErrCallFailed)
	for range 5 {
		promptExchange(s, "sound").recordBreak(context.Background(), &config.Endpoint{Name: "e1", Pool: "desk", Addr: "127.0.0.2:" + port(t, ln)}, broken)
	}
	assert.NilError(t, promptExchange(s, "sound").admit())
}

func port(t *testing.T, ln net.Listener) string {
	t.Helper()
	_, p, err := net.SplitHostPort(ln.Addr().String())
	assert.NilError(t, err)
	return p
}

// The evidence of many crashes of long prompts fits in an update and leaves room for other state.
func TestEvidenceFitsInAnUpdate(t *testing.T) {
	s := newQuarantineServer(nil)
	id := func(i int) string { return fmt.Sprintf("%032x", i) }
	now := time.Now()
	for i := range 1000 {
		parts := make([]string, 50)
		for j := range parts {
			parts[j] = id(50*i + j)
		}
		r := quarantine.Request{Fingerprint: fmt.Sprintf("%s%032x", fingerprintPrefix, i), Parts: parts}
		s.quarantine.tracker.Begun(now, r)
		s.quarantine.tracker.Crashed(now, fmt.Sprint("endpoint-", i/40), r)
		lifted := quarantine.Request{Fingerprint: fmt.Sprintf("%s%032x", fingerprintPrefix, 1000+i)}
		s.quarantine.tracker.Restore(now, lifted.Fingerprint, now.Add(time.Hour))
		s.quarantine.tracker.Begun(now, lifted)
		s.quarantine.tracker.Restore(now, id(i), now.Add(time.Hour))
	}
	datagram, err := gossip.Encode(s.peers.buildUpdate(), []byte("secret"))
	assert.NilError(t, err)
	assert.Assert(t, len(datagram) <= gossip.MaxDatagramBytes*2/3, "%d bytes", len(datagram))
}

// tell passes an update of one instance on to another.
func tell(t *testing.T, from, to *Server) *gossip.Update {
	t.Helper()
	secret := []byte("secret")
	datagram, err := gossip.Encode(from.peers.buildUpdate(), secret)
	assert.NilError(t, err)
	u, _, err := gossip.Decode(datagram, secret)
	assert.NilError(t, err)
	to.mergeQuarantine(time.Now(), u)
	return u
}

// Where the response to a request that was on its way begins, the quarantine of its part is lifted at
// all instances, and its row is deleted, also when the store is away for a time.
func TestLiftedQuarantineReachesInstancesAndStore(t *testing.T) {
	ctx := context.Background()
	store := &mapStore{rows: map[string][]byte{}}
	a, b := newQuarantineServer(store), newQuarantineServer(store)
	onItsWay := promptExchange(b, "sound")
	crash(t, a, "sound")
	a.settleQuarantine(time.Now().Add(time.Second))
	tell(t, a, b)
	for _, s := range []*Server{a, b} {
		assert.NilError(t, s.storeQuarantine(ctx))
		assert.Assert(t, errors.Is(promptExchange(s, "sound").admit(), errQuarantined))
		for len(s.quarantine.changed) > 0 {
			<-s.quarantine.changed
		}
	}
	assert.Equal(t, len(store.rows), 1)
	store.down = true
	onItsWay.recordBegun()
	u := tell(t, b, a)
	for _, q := range u.Quarantined {
		assert.Assert(t, q.Remaining <= 0, "a former build would take it for a quarantine")
	}
	tell(t, a, b)
	for _, s := range []*Server{a, b} {
		assert.NilError(t, promptExchange(s, "sound").admit())
		assert.Equal(t, len(s.quarantine.changed), 1, "the store is compared at once")
		assert.ErrorContains(t, s.storeQuarantine(ctx), "down")
	}
	store.down = false
	assert.NilError(t, a.storeQuarantine(ctx))
	assert.NilError(t, b.storeQuarantine(ctx))
	assert.Equal(t, len(store.rows), 0)
	started := newQuarantineServer(store)
	assert.NilError(t, started.restoreQuarantine(ctx))
	assert.NilError(t, promptExchange(started, "sound").admit())
}

// An operator lifts a quarantine while the instances run. One reads the store, tells the others and
// deletes the row; the mark lifts no quarantine that begins later.
func TestOperatorLiftsAQuarantine(t *testing.T) {
	ctx := context.Background()
	store := &mapStore{rows: map[string][]byte{}}
	a, b := newQuarantineServer(store), newQuarantineServer(store)
	crash(t, a, "mended")
	a.settleQuarantine(time.Now().Add(time.Second))
	tell(t, a, b)
	assert.NilError(t, a.storeQuarantine(ctx))
	assert.NilError(t, b.storeQuarantine(ctx))
	assert.ErrorContains(t, LiftQuarantine(ctx, store, time.Now(), "other"), "not quarantined")
	now := time.Now().Add(2 * time.Second)
	behind := now.Add(-time.Hour) // the operator's clock
	assert.NilError(t, LiftQuarantine(ctx, store, behind, "mended"))
	marked := store.rows[quarantineKeyPrefix+"mended"]
	rows, err := QuarantineRows(ctx, store)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Assert(t, rows[0].Lifted)

	started := newQuarantineServer(store)
	assert.NilError(t, started.restoreQuarantine(ctx))
	assert.NilError(t, promptExchange(started, "mended").admit())

	assert.NilError(t, a.storeQuarantine(ctx))
	assert.Equal(t, len(store.rows), 0)
	tell(t, a, b)
	for _, s := range []*Server{a, b} {
		assert.NilError(t, promptExchange(s, "mended").admit())
	}
	assert.NilError(t, b.storeQuarantine(ctx))

	a.quarantine.tracker.Restore(now.Add(time.Minute), "mended", now.Add(time.Minute+quarantine.Duration))
	store.rows[quarantineKeyPrefix+"mended"] = marked
	assert.NilError(t, a.liftByRows(ctx))
	assert.Assert(t, errors.Is(promptExchange(a, "mended").admit(), errQuarantined))
}
