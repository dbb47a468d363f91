package baseline

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/clock"
	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/limit"
	"carawayrouter.example/router/internal/member"
	"carawayrouter.example/router/internal/platform"
)

// testFleet is a config.Source with one account, a member.Source with four members,
// and a platform.Table.
type testFleet struct {
	mu      sync.Mutex
	row     platform.Row
	commits int
	down    bool
}

func (*testFleet) Current() *config.State {
	return config.Build(1, &config.Objects{Accounts: []*config.Account{{Name: "acme", Rate: 100, Burst: 400}}})
}
func (*testFleet) Age() time.Duration { return 0 }
func (*testFleet) View() *member.View { return &member.View{Peers: make([]member.Session, 3)} }

func (f *testFleet) Get(context.Context, ...string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, platform.ErrUnavailable
	}
	return []platform.Row{f.row}, nil
}

func (f *testFleet) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, nil
}

func (f *testFleet) Commit(_ context.Context, t platform.Txn) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	if t.Conditions[0].Version != f.row.Version {
		return 0, &platform.ConflictError{}
	}
	f.row = platform.Row{Version: f.row.Version + 1, Value: t.Writes[0].Value}
	return f.row.Version, nil
}

func reserve(l limit.Limiter, tokens int, wait time.Duration) (limit.Reservation, error) {
	return l.Reserve(context.Background(), "acme", tokens, limit.WaitUntil(time.Now().Add(wait)))
}

func TestPerInstanceDividesRateAndBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{}
		l := NewPerInstance(f, f, clock.Real{})
		r, err := reserve(l, 100, 0)
		assert.NilError(t, err)
		_, err = reserve(l, 100, time.Second)
		assert.Assert(t, errkind.Is(err, errkind.OverRate))
		assert.Equal(t, errkind.From(err).RetryAfter, 4*time.Second)
		r.Settle(50)
		r.Settle(0) // no effect
		start := time.Now()
		_, err = reserve(l, 100, 3*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 2*time.Second)
		_, err = reserve(l, 101, time.Hour)
		assert.Assert(t, errkind.Is(err, errkind.OverRate))
		_, err = reserve(l, 401, time.Hour)
		assert.Assert(t, errkind.Is(err, errkind.TooLarge))
	})
}

func TestTablePerRequestSharesOneLevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{}
		a, b := NewTablePerRequest(f, f, clock.Real{}), NewTablePerRequest(f, f, clock.Real{})
		r, err := reserve(a, 300, 0)
		assert.NilError(t, err)
		_, err = reserve(b, 200, 500*time.Millisecond)
		assert.Assert(t, errkind.Is(err, errkind.OverRate))
		r.Settle(200)
		_, err = reserve(a, 200, 0)
		assert.NilError(t, err)
		assert.Equal(t, f.commits, 2)
		f.down = true
		_, err = reserve(a, 1, 0)
		assert.Assert(t, errkind.Is(err, errkind.StoreUnavailable))
	})
}

func TestUnlimited(t *testing.T) {
	r, err := reserve(Unlimited{}, 1_000_000, 0)
	assert.NilError(t, err)
	r.Settle(1)
}
