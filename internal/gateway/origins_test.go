package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/origin"
)

// streamStore is a store whose only rows are those of streams.
type streamStore struct {
	Store
	rows map[string][]byte
}

func (m *streamStore) Rows(_ context.Context, t Table) (rows []Row, at Position, err error) {
	if t != Streams {
		return nil, Position{Version: 1}, nil
	}
	for key, value := range m.rows {
		rows = append(rows, Row{Key: key, Value: value})
	}
	return rows, Position{Version: 1}, nil
}

func (m *streamStore) Changes(context.Context, Table, uint64, time.Duration) ([]Row, Position, error) {
	return nil, Position{Version: 1}, nil
}

func (m *streamStore) Put(_ context.Context, _ Table, key string, value []byte) error {
	m.rows[key] = value
	return nil
}

func (m *streamStore) Delete(_ context.Context, _ Table, key string) error {
	delete(m.rows, key)
	return nil
}

// age makes the rows of software versions older.
func (m *streamStore) age(t *testing.T, d time.Duration) {
	t.Helper()
	for key, value := range m.rows {
		row := decodeRow(Row{Key: key, Value: value})
		if row.software == nil {
			continue
		}
		row.software.SeenMillis -= d.Milliseconds()
		b, err := json.Marshal(row.software)
		assert.NilError(t, err)
		m.rows[key] = b
	}
}

func newOriginsServer(store Store) *Server {
	s := newTestServer("127.0.0.1:1", time.Now())
	s.store, s.origins.store = store, store
	return s
}

func twoVersions(o *origins, pool string) (v1, v2 origin.Origin) {
	v1, v2 = origin.Origin{Pool: pool, Version: "v1"}, origin.Origin{Pool: pool, Version: "v2"}
	for _, v := range []origin.Origin{v1, v2} {
		o.software[v] = &softwareVersion{lastSeen: time.Now()}
	}
	return v1, v2
}

// A running instance that reads its own rows does not report and store its streams twice.
func TestOwnRowsAreNotDuplicated(t *testing.T) {
	store := &streamStore{rows: map[string][]byte{}}
	o := newOriginsServer(store).origins
	v1, _ := twoVersions(o, "writers")
	o.begin(time.Now(), "a", "attempt", v1)
	assert.NilError(t, o.storeRows(context.Background()))
	for range 3 {
		assert.NilError(t, o.refresh(context.Background(), time.Now()))
	}
	assert.Equal(t, len(o.table.Own(time.Time{})), 1)
}

// A row whose streams are in the middle of the span can hold all streams of the span although the
// instance has read its own rows in the meantime.
func TestReadingOwnRowsDoesNotDropStreams(t *testing.T) {
	store := &streamStore{rows: map[string][]byte{}}
	o := newOriginsServer(store).origins
	v1, _ := twoVersions(o, "writers")
	now := time.UnixMilli(time.Now().UnixMilli() / originRowSpan.Milliseconds() * originRowSpan.Milliseconds()) // begin of the span
	const n = 300
	begin := func(i int) {
		o.begin(now.Add(time.Duration(i)*time.Millisecond+time.Microsecond), "a", fmt.Sprint(i), v1)
	}
	for i := range n {
		begin(i)
	}
	assert.NilError(t, o.storeRows(context.Background()))
	assert.NilError(t, o.refresh(context.Background(), time.Now()))
	begin(n)
	assert.NilError(t, o.storeRows(context.Background()))
	keys := map[string]bool{}
	for _, value := range store.rows {
		var streams []storedStream
		assert.NilError(t, json.Unmarshal(value, &streams))
		for _, s := range streams {
			keys[string(s.Key)] = true
		}
	}
	assert.Equal(t, len(keys), n+1)
}

// BenchmarkLoad reads the rows of a fleet of 83 instances that each began 20 streams a second.
func BenchmarkLoad(b *testing.B) {
	for _, instances := range []int{83, 380} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			store := &streamStore{rows: map[string][]byte{}}
			o := newOriginsServer(store).origins
			twoVersions(o, "quote-writer")
			size := 0
			for x := range instances {
				for row := range originRows {
					var streams []storedStream
					for i := range 160 * 83 / instances {
						k := origin.KeyOf("a", fmt.Sprint(x, row, i))
						streams = append(streams, storedStream{Key: k[:], Pool: "quote-writer", SoftwareVersion: "v1.1", BegunMillis: time.Now().UnixMilli() - int64(row)*7000})
					}
					v, _ := json.Marshal(streams)
					size += len(v)
					store.rows[fmt.Sprintf("streams/i%d/%d", x, row)] = v
				}
			}
			b.ReportMetric(float64(size)/1e6, "MB")
			b.ResetTimer()
			for range b.N {
				_, _ = o.load(context.Background(), false)
			}
		})
	}
}

// BenchmarkFirstOwnLoad reads the rows of the instance itself for the first time while it runs, with 20 begun streams
// a second.
func BenchmarkFirstOwnLoad(b *testing.B) {
	for range b.N {
		b.StopTimer()
		store := &streamStore{rows: map[string][]byte{}}
		o := newOriginsServer(store).origins
		v1, _ := twoVersions(o, "quote-writer")
		base := time.Now().Add(-58 * time.Second)
		for i := range 58 * 20 {
			o.begin(base.Add(time.Duration(i)*50*time.Millisecond+time.Microsecond), "a", fmt.Sprint(i), v1)
		}
		_ = o.storeRows(context.Background())
		b.StartTimer()
		_, _ = o.load(context.Background(), false)
	}
}

// The updates of a large fleet, in which streams begin at every instance, all reach the members of a
// relay's data centre.
func TestUpdatesOfALargeFleetAreRelayed(t *testing.T) {
	secret := []byte("s")
	for _, c := range []struct{ instances, perSecond int }{{83, 2}, {83, 5}, {380, 1}, {380, 2}, {380, 230}} {
		b := &gossip.Batch{Relay: "frontend-quito-centro-3", Forward: true}
		for i := range c.instances {
			u := &gossip.Update{Instance: fmt.Sprintf("frontend-quito-centro-%d", i), Incarnation: time.Now().UnixNano(), Sequence: 100000, StateAddr: "10.20.30.40:12345", ConfigurationVersion: 1000, EndpointsVersion: 100000}
			streams := gossip.BegunStreams{Pool: "quote-writer", SoftwareVersion: "v1.1", Age: 3000}
			for j := range 3 * c.perSecond {
				k := origin.KeyOf("a", fmt.Sprint(i, j))
				streams.Keys = append(streams.Keys, k[:]...)
			}
			u.Streams = append(u.Streams, streams)
			d, err := gossip.Encode(u, secret)
			assert.NilError(t, err)
			b.Datagrams = append(b.Datagrams, d)
		}
		datagrams, err := gossip.EncodeBatches(b, secret)
		assert.NilError(t, err)
		seen := map[string]bool{}
		for _, d := range datagrams {
			assert.Assert(t, len(d) <= gossip.MaxDatagramBytes)
			_, batch, err := gossip.Decode(d, secret)
			assert.NilError(t, err)
			assert.Assert(t, batch.Forward)
			for _, d := range batch.Datagrams {
				u, _, err := gossip.Decode(d, secret)
				assert.NilError(t, err)
				assert.Equal(t, len(u.Streams[0].Keys), 3*c.perSecond*len(origin.Key{}))
				seen[u.Instance] = true
			}
		}
		assert.Equal(t, len(seen), c.instances)
	}
}

// A version whose last endpoint has gone is forgotten, although the instances lost sight of it at
// different times and read the rows in the meantime.
func TestEndedVersionIsForgottenByAll(t *testing.T) {
	store := &streamStore{rows: map[string][]byte{}}
	var all []*origins
	for i := range 2 {
		o := newOriginsServer(store).origins
		o.instance = fmt.Sprint("i", i)
		v1, _ := twoVersions(o, "writers")
		o.software[v1].lastSeen = time.Now().Add(-time.Duration(i) * softwareMemory / 2)
		all = append(all, o)
	}
	const step = 10 * time.Second
	for elapsed := time.Duration(0); elapsed < 10*softwareMemory; elapsed += step {
		store.age(t, step)
		for _, o := range all {
			for v, s := range o.software {
				if v.Version == "v1" {
					s.lastSeen, s.storedAt = s.lastSeen.Add(-step), s.storedAt.Add(-step)
				}
			}
			_, err := o.load(context.Background(), false) // for a stream that is not known
			assert.NilError(t, err)
			assert.NilError(t, o.storeSoftware(context.Background()))
		}
	}
	for _, o := range all {
		assert.Assert(t, !o.hasSeveralVersions("writers"), "remembered after %v", 10*softwareMemory)
	}
}

// A version that comes back while its row is deleted is not forgotten.
func TestVersionThatComesBackWhileItsRowIsDeletedIsNotForgotten(t *testing.T) {
	store := &streamStore{rows: map[string][]byte{}}
	o := newOriginsServer(store).origins
	v1, _ := twoVersions(o, "writers")
	o.software[v1].lastSeen = time.Now().Add(-softwareMemory)
	o.store = &deleteHook{streamStore: store, during: func() {
		o.mu.Lock()
		o.seeVersion(v1, time.Now()) // as for an endpoint in force
		o.mu.Unlock()
	}}
	assert.NilError(t, o.storeSoftware(context.Background()))
	at, only := o.onlyVersion("writers")
	assert.Assert(t, !only, "%v counts as the only version", at)
}

type deleteHook struct {
	*streamStore
	during func()
}

func (d *deleteHook) Delete(ctx context.Context, t Table, key string) error {
	d.during()
	return d.streamStore.Delete(ctx, t, key)
}

// An engine whose report cannot be had for another reason than its death is not confirmed.
func TestReportWithoutAnIncarnationConfirmsNothing(t *testing.T) {
	for _, status := range []int{200, 404, 429, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = w.Write([]byte("{}"))
			}))
			defer srv.Close()
			u := newUpstream(reportWire{}, func(net.Conn) {})
			addr := srv.Listener.Addr().String()
			c, err := u.dial(context.Background(), addr)
			assert.NilError(t, err)
			_, err = u.identify(context.Background(), c, endpointRequest{endpoint: "e", addr: addr, incarnation: 5, mustConfirm: true})
			assert.ErrorIs(t, err, errIncarnationUnknown)
		})
	}
}

// reportWire decodes reports.
type reportWire struct{ nameOnlyWire }

func (reportWire) ReportPath() string { return "/v1/report" }

func (reportWire) ReportedIncarnation(report []byte) (int64, error) {
	var r struct {
		Stage string
		Born  int64
	}
	if err := json.Unmarshal(report, &r); err != nil || r.Stage == "" {
		return 0, errors.New("no report")
	}
	return r.Born, nil
}

// An instance tells of ever new software versions. This one still sends its own updates, which hold all that it knows.
func TestFloodOfSoftwareVersionsLeavesUpdatesSmall(t *testing.T) {
	o := newOrigins(nil, "i1", newState(nil, nil, logr.Discard()))
	now := time.Now()
	for i := range 5000 {
		o.merge(now, nil, []gossip.SoftwareVersion{{Pool: "writers", Version: fmt.Sprintf("version-%d", i)}, {Pool: fmt.Sprint(i), Version: strings.Repeat("a", 1<<12)}})
	}
	u := &gossip.Update{Instance: "i1"}
	o.addRecent(now, u)
	b, err := gossip.Encode(u, []byte("secret"))
	assert.NilError(t, err)
	t.Logf("%d versions, %d bytes", len(u.Software), len(b))
	_, ok := o.onlyVersion("another")
	assert.Assert(t, !ok, "a version that was left out may be of the pool")
}
