package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/origin"
)

// countingStore is a streamStore that several instances use. It counts the writes.
type countingStore struct {
	Store
	mu     sync.Mutex
	inner  streamStore
	writes int
	bytes  int
	down   func(key string) bool
}

func newCountingStore() *countingStore {
	return &countingStore{inner: streamStore{rows: map[string][]byte{}}, down: func(string) bool { return false }}
}

func (c *countingStore) Rows(ctx context.Context, t Table) ([]Row, Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inner.Rows(ctx, t)
}

func (c *countingStore) Changes(context.Context, Table, uint64, time.Duration) ([]Row, Position, error) {
	return nil, Position{Version: 1}, nil
}

func (c *countingStore) Put(ctx context.Context, t Table, key string, value []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	c.bytes += len(value)
	if c.down(key) {
		return errors.New("store is unavailable")
	}
	return c.inner.Put(ctx, t, key, value)
}

func (c *countingStore) Delete(ctx context.Context, t Table, key string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inner.Delete(ctx, t, key)
}

// originFleet is a fleet of instances that only record where streams begin.
type originFleet struct {
	store   *countingStore
	servers []*Server
	silent  map[int]bool // frozen or cut off
	cancel  context.CancelFunc
	done    sync.WaitGroup
	streams map[string]time.Time // begun, by attempt
}

const transit = 100 * time.Millisecond // of updates through relays

func startOriginFleet(instances int) *originFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &originFleet{store: newCountingStore(), silent: map[int]bool{}, cancel: cancel, streams: map[string]time.Time{}}
	for i := range instances {
		s := newOriginServer(f.store, i)
		for other := range instances {
			if other != i {
				s.peers.known[fmt.Sprint("i", other)] = &peer{lastUpdateAt: time.Now(), update: &gossip.Update{}}
			}
		}
		twoVersions(s.origins, "writers")
		f.servers = append(f.servers, s)
		f.done.Go(func() { _ = s.originsLoop(ctx) })
	}
	return f
}

// newOriginServer returns an instance that only records where streams begin.
func newOriginServer(store Store, i int) *Server {
	s := &Server{store: store, log: logr.Discard()}
	s.settings.Instance = fmt.Sprint("i", i)
	s.peers = &peers{s: s, known: map[string]*peer{}}
	s.origins = newOrigins(store, s.settings.Instance, nil)
	s.origins.fleetSize, s.origins.heardRank = s.peers.fleetSize, s.peers.heardRank
	return s
}

// run lets streams begin at every instance in turn, which the others hear of a transit later.
func (f *originFleet) run(d time.Duration, perSecond int) {
	begin := time.Now()
	for step := 0; time.Since(begin) < d; step++ {
		var keys []byte
		for range perSecond * int(transit) / int(time.Second) {
			attempt, i := fmt.Sprint(len(f.streams)), len(f.streams)%len(f.servers)
			f.streams[attempt] = time.Now()
			f.servers[i].origins.begin(time.Now(), "a", attempt, origin.Origin{Pool: "writers", Version: "v1"})
			k := origin.KeyOf("a", attempt)
			keys = append(keys, k[:]...)
		}
		time.Sleep(transit)
		for i, s := range f.servers {
			s.peers.mu.Lock()
			for other := range f.servers {
				if x := s.peers.known[fmt.Sprint("i", other)]; x != nil && !f.silent[other] {
					x.lastUpdateAt = time.Now()
				}
			}
			s.peers.mu.Unlock()
			if !f.silent[i] {
				s.origins.merge(time.Now(), []gossip.BegunStreams{{Pool: "writers", SoftwareVersion: "v1", Keys: keys, Age: transit.Milliseconds()}}, nil)
			}
		}
	}
}

// kill ends all instances at once and returns the share of the streams begun in a time before that an instance
// knows which starts then.
func (f *originFleet) kill(t *testing.T, from, until time.Duration) float64 {
	t.Helper()
	now := time.Now()
	f.cancel()
	f.done.Wait()
	s := newOriginServer(f.store, 0)
	_, err := s.origins.load(context.Background(), true)
	assert.NilError(t, err)
	known, begun := 0, 0
	for attempt, at := range f.streams {
		if age := now.Sub(at); age < until || age > from {
			continue
		}
		begun++
		if at, ok := s.origins.lookUp(origin.KeyOf("a", attempt)); ok {
			assert.Equal(t, at.Version, "v1")
			known++
		}
	}
	return float64(known) / float64(begun)
}

// Callers take up streams after all instances of a large fleet were killed a second after these began: their
// origins are known, and the store's calls hardly grow with the fleet.
func TestStreamsOfALargeFleetAreKnownAfterARestartOfAll(t *testing.T) {
	for _, c := range []struct{ instances, perSecond int }{{51, 60}, {195, 230}} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startOriginFleet(c.instances)
				const d = 24 * time.Second
				f.run(d, c.perSecond)
				writes := float64(f.store.writes) / d.Seconds()
				t.Logf("%.1f writes and %.0f bytes a second", writes, float64(f.store.bytes)/d.Seconds())
				assert.Equal(t, f.kill(t, 20*time.Second, time.Second), 1.0)
				// An instance begins a row each originRowSpan. Beside that, as many calls as a small fleet makes.
				small := storeScaleFleet / (0.75 * originStoreDelay.Seconds())
				assert.Assert(t, writes <= float64(c.instances)/originRowSpan.Seconds()+small, "%.1f writes a second", writes)
			})
		})
	}
}

// Those that write the streams of all fall silent, or one of them loses the store: the streams that begin from then on
// are known after a restart of all.
func TestWritingTheStreamsOfAllIsTakenOver(t *testing.T) {
	for _, c := range []struct {
		name   string
		lost   int // writers that cannot write
		silent bool
	}{{"silent", originWriters, true}, {"without the store", 1, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startOriginFleet(51)
				f.run(5*time.Second, 60)
				var lost []string
				for i, s := range f.servers {
					if s.origins.writesRing(time.Now()) && len(lost) < c.lost {
						lost = append(lost, ringPrefix+s.settings.Instance+"/")
						f.silent[i] = c.silent
					}
				}
				assert.Equal(t, len(lost), c.lost)
				f.store.mu.Lock()
				f.store.down = func(key string) bool {
					return slices.ContainsFunc(lost, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
				}
				f.store.mu.Unlock()
				f.run(6*time.Second, 60)
				assert.Equal(t, f.kill(t, 5*time.Second, time.Second), 1.0)
			})
		})
	}
}

// An instance alone writes the rows of its own streams within originStoreDelay, and no others.
func TestSmallFleetWritesOwnRowsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startOriginFleet(storeScaleFleet)
		f.run(10*time.Second, 20)
		for key := range f.store.inner.rows {
			assert.Assert(t, !strings.HasPrefix(key, ringPrefix), key)
		}
		assert.Equal(t, f.kill(t, 8*time.Second, time.Second), 1.0)
	})
}

// A stream's key that two versions began stays unknown after a restart of all, although one of them was written
// before the other was heard of.
func TestStreamThatTwoVersionsBeganStaysUnknown(t *testing.T) {
	store := newCountingStore()
	s := newOriginServer(store, 0)
	for i := range storeScaleFleet {
		s.peers.known[fmt.Sprint("silent", i)] = &peer{}
	}
	v1, v2 := twoVersions(s.origins, "writers")
	k := origin.KeyOf("a", "attempt")
	for _, v := range []origin.Origin{v1, v2} {
		s.origins.merge(time.Now(), []gossip.BegunStreams{{Pool: v.Pool, SoftwareVersion: v.Version, Keys: k[:]}}, nil)
		assert.NilError(t, s.origins.storeForAll(context.Background(), time.Now()))
	}
	restarted := newOriginServer(store, 0)
	_, err := restarted.origins.load(context.Background(), true)
	assert.NilError(t, err)
	_, known := restarted.origins.lookUp(k)
	assert.Assert(t, !known)
}

// A restored store lacks rows: they are written again.
func TestRowsOfAllThatARestoredStoreLacksAreWrittenAgain(t *testing.T) {
	store := newCountingStore()
	s := newOriginServer(store, 0)
	for i := range storeScaleFleet {
		s.peers.known[fmt.Sprint("silent", i)] = &peer{}
	}
	twoVersions(s.origins, "writers")
	k := origin.KeyOf("a", "attempt")
	s.origins.merge(time.Now(), []gossip.BegunStreams{{Pool: "writers", SoftwareVersion: "v1", Keys: k[:]}}, nil)
	assert.NilError(t, s.origins.storeForAll(context.Background(), time.Now()))
	clear(store.inner.rows)
	_, err := s.origins.load(context.Background(), false)
	assert.NilError(t, err)
	assert.NilError(t, s.origins.storeForAll(context.Background(), time.Now()))
	restarted := newOriginServer(store, 1)
	_, err = restarted.origins.load(context.Background(), true)
	assert.NilError(t, err)
	_, known := restarted.origins.lookUp(k)
	assert.Assert(t, known)
}

// The instances that start after a restart of all do not hear each other at first. What they read from the store is not
// written again by each of them.
func TestRestartOfAllWritesNothingAgain(t *testing.T) {
	store := newCountingStore()
	first := newOriginServer(store, 0)
	for i := range storeScaleFleet {
		first.peers.known[fmt.Sprint("silent", i)] = &peer{}
	}
	v1, v2 := twoVersions(first.origins, "writers")
	for i := range 1000 {
		first.origins.begin(time.Now(), "a", fmt.Sprint(i), v1)
	}
	assert.NilError(t, first.origins.storeForAll(context.Background(), time.Now()))
	store.writes = 0
	for i := range storeScaleFleet {
		s := newOriginServer(store, i+1)
		for other := range storeScaleFleet {
			s.peers.known[fmt.Sprint("silent", other)] = &peer{}
		}
		_, err := s.origins.load(context.Background(), true)
		assert.NilError(t, err)
		assert.Assert(t, s.origins.hasSeveralVersions(v2.Pool))
		assert.NilError(t, s.origins.storeForAll(context.Background(), time.Now()))
	}
	assert.Equal(t, store.writes, 0)
}

// The pool of streams that have begun gets a second version: they are written for all.
func TestStreamsOfAPoolThatGetsASecondVersionAreWritten(t *testing.T) {
	store := newCountingStore()
	s := newOriginServer(store, 0)
	for i := range storeScaleFleet {
		s.peers.known[fmt.Sprint("silent", i)] = &peer{}
	}
	versions := func(v string) []gossip.SoftwareVersion {
		return []gossip.SoftwareVersion{{Pool: "writers", Version: v}}
	}
	k := origin.KeyOf("a", "attempt")
	s.origins.merge(time.Now(), []gossip.BegunStreams{{Pool: "writers", SoftwareVersion: "v1", Keys: k[:]}}, versions("v1"))
	s.origins.merge(time.Now(), nil, versions("v2"))
	assert.NilError(t, s.origins.storeForAll(context.Background(), time.Now()))
	restarted := newOriginServer(store, 1)
	_, err := restarted.origins.load(context.Background(), true)
	assert.NilError(t, err)
	_, known := restarted.origins.lookUp(k)
	assert.Assert(t, known)
}
