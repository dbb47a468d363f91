package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/sched"
)

// What is known of an incarnation outlives its entry, its address and its role, as far as it does not belong to
// these, whatever happens in between and in any order.
func TestKnownOfAnEndpointOutlivesItsEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const name = "e"
		type model struct {
			failures, ejections int
			ejectedUntil        time.Time
			unreachable         bool
			latency             time.Duration
			calls               int
		}
		now := start
		want := model{latency: defaultCallLatency}
		entry := config.Endpoint{Name: name, Pool: servicePool, Role: config.Plain, Slots: 1 << 20, Incarnation: 1, Addr: "0"}
		present := true
		s := newScheduler(1, config.Build(1, &config.Objects{}))
		version := uint64(1)
		apply := func() {
			o := &config.Objects{Pools: []*config.Pool{{Name: servicePool, Kind: config.ServicePool}}}
			if present {
				ep := entry
				o.Endpoints = append(o.Endpoints, &ep)
			}
			version++
			s.SetEndpoints(now, config.Build(version, o))
		}
		reachable := func() {
			if want.unreachable {
				want.unreachable, want.ejectedUntil = false, time.Time{}
			}
		}
		apply()
		var leases []*Lease
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"lapse", "return", "restart", "move", "place", "end", "read anew"}).Draw(t, "event") {
			case "lapse":
				present = false
				apply()
			case "return":
				if !present {
					reachable()
				}
				present = true
				apply()
			case "restart":
				want, leases = model{latency: defaultCallLatency}, nil
				present, entry.Incarnation = true, entry.Incarnation+1
				apply()
			case "move":
				entry.Addr += "0"
				if present {
					reachable()
				}
				apply()
			case "read anew":
				apply()
			case "place":
				if l := s.AcquireService(now, Demand{Pool: servicePool}); l != nil {
					leases = append(leases, l)
					want.calls++
				}
			case "end":
				if len(leases) == 0 {
					break
				}
				l := leases[0]
				leases = leases[1:]
				want.calls--
				outcome := rapid.SampledFrom([]sched.Outcome{sched.Succeeded, sched.Failed, sched.Unreachable}).Draw(t, "outcome")
				s.Release(now, l, outcome)
				switch outcome {
				case sched.Succeeded:
					want.failures, want.ejections = 0, 0
					reachable()
					want.latency = time.Duration(rapid.IntRange(1, 2000).Draw(t, "latency")) * time.Millisecond
					s.known(name).callLatency = want.latency
				case sched.Failed:
					if want.failures++; want.failures >= failuresToEject && !now.Before(want.ejectedUntil) {
						want.ejectedUntil = now.Add(min(maxEjection, initialEjection<<min(want.ejections, 8)))
						want.ejections++
					}
				case sched.Unreachable:
					want.unreachable, want.ejectedUntil = true, now.Add(unreachableTimeout)
				}
			}
			x := s.known(name)
			if x == nil {
				t.Fatalf("forgotten")
			}
			got := model{x.failures, x.ejections, x.ejectedUntil, x.unreachable, x.callLatency, x.calls}
			assert.Equal(t, got, want)
		}
	})
}

// An endpoint that changes its role is the same process: it fails as before, and its limit is in force.
func TestChangedRoleEndsWhatWasMeasuredInIt(t *testing.T) {
	ep := &config.Endpoint{Name: "e", Role: config.Decode, Incarnation: 1}
	x := newEndpointState(ep, nil)
	x.failures, x.ejections, x.ejectedUntil, x.pausedUntil = 4, 2, start.Add(time.Second), start.Add(time.Minute)
	x.tokenTime, x.calls = time.Second, 3
	changed := *ep
	changed.Role = config.Prefill
	got := entered(x, &changed, nil, false)
	assert.Equal(t, got.failures, 4)
	assert.Equal(t, got.ejections, 2)
	assert.Equal(t, got.ejectedUntil, x.ejectedUntil)
	assert.Equal(t, got.pausedUntil, x.pausedUntil)
	assert.Equal(t, got.tokenTime, defaultTokenTime)
	assert.Equal(t, got.calls, 0)
}

// Whatever happens to endpoints and their entries, in any order, an endpoint is given nothing in a pause, and is
// given calls when the pause is over.
func TestPauseEndsWithItsTimeOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const endpoints = 3
		type entry struct {
			present     bool
			incarnation int64
			addr        int
			pausedUntil time.Time
		}
		now := start
		known := make([]entry, endpoints)
		for i := range known {
			known[i] = entry{present: true, incarnation: 1}
		}
		s := newScheduler(1, config.Build(1, &config.Objects{}))
		version := uint64(1)
		apply := func() {
			o := &config.Objects{Pools: []*config.Pool{{Name: servicePool, Kind: config.ServicePool}}}
			for i, e := range known {
				if e.present {
					o.Endpoints = append(o.Endpoints, &config.Endpoint{Name: fmt.Sprint(i), Pool: servicePool, Role: config.Plain, Slots: 4, Incarnation: e.incarnation, Addr: fmt.Sprint(e.addr)})
				}
			}
			version++
			s.SetEndpoints(now, config.Build(version, o))
		}
		apply()
		var leases []*Lease
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, endpoints-1).Draw(t, "endpoint")
			e := &known[i]
			switch rapid.SampledFrom([]string{"lapse", "return", "restart", "move", "refuse", "refuse late", "release"}).Draw(t, "event") {
			case "lapse":
				e.present = false
				apply()
			case "return":
				e.present = true
				apply()
			case "restart":
				e.present, e.incarnation = true, e.incarnation+1
				apply()
			case "move":
				e.addr++
				apply()
			case "refuse", "refuse late": // also of a request that was on its way when the entry lapsed
				d := time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond
				s.Pause(now, fmt.Sprint(i), d)
				if until := now.Add(d); until.After(e.pausedUntil) {
					e.pausedUntil = until
				}
			case "release":
				for _, l := range leases {
					s.Release(now, l, sched.Succeeded)
				}
				leases = nil
			}
			usable := false
			for j, x := range known {
				left := s.PausedFor(now, fmt.Sprint(j))
				assert.Equal(t, left, max(0, x.pausedUntil.Sub(now)), "endpoint %d", j)
				usable = usable || x.present && left == 0
			}
			l := s.AcquireService(now, Demand{Pool: servicePool})
			assert.Equal(t, l != nil, usable)
			if l != nil {
				assert.Equal(t, s.PausedFor(now, l.Target.Name), time.Duration(0))
				leases = append(leases, l)
			}
		}
		for _, l := range leases {
			s.Release(now, l, sched.Succeeded)
		}
		for _, x := range s.endpoints {
			assert.Equal(t, x.calls, 0, "calls of %s", x.ep.Name)
		}
	})
}
