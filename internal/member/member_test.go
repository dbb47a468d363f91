package member

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayrouter.example/router/internal/platform"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "7") // a seed on the command line takes precedence
	m.Run()
}

func startThree(f *fleet, dc string, first int) []*process {
	var out []*process
	for i := range 3 {
		n := first + i
		out = append(out, f.start(dc, fmt.Sprintf("i%d", n), fmt.Sprintf("10.0.0.%d:1", n)))
	}
	return out
}

func active(p *process) bool {
	_, ok := p.ActiveEpoch()
	return ok
}

func roundsIn(d time.Duration) int { return int(d/roundInterval) + 1 }

func TestViewHoldsAllDataCentres(t *testing.T) {
	f := newFleet(t)
	a, b := startThree(f, "a", 1), startThree(f, "b", 4)
	f.rounds(20)
	for _, p := range append(a, b...) {
		assert.Equal(t, len(p.View().Peers), 5)
		assert.Equal(t, len(p.View().InDataCentre("b")), 3)
		assert.Assert(t, active(p))
	}
}

func TestCrashIsRecordedAfterListSessionAndPeersAgree(t *testing.T) {
	f := newFleet(t)
	p := startThree(f, "a", 1)
	f.rounds(20)
	f.crash("10.0.0.2:1")
	f.rounds(roundsIn(2 * DefaultSuspectAfter))
	assert.Assert(t, !p[0].Alive("i2") && !p[2].Alive("i2"))
	assert.Assert(t, !f.dead(p[1]), "suspicion alone does not prove death")
	f.rounds(roundsIn(2 * DefaultDeadAfter))
	assert.Assert(t, f.dead(p[1]))
	assert.Equal(t, len(p[0].View().Peers), 1)
}

func TestNothingIsRecordedWhileOneKindOfEvidenceIsMissing(t *testing.T) {
	for name, faults := range map[string]func(f *fleet, p []*process){
		"listed":     func(f *fleet, p []*process) { p[1].paused = true },
		"list down":  func(f *fleet, p []*process) { f.crash("10.0.0.2:1"); f.store.ListDown(true) },
		"renewing":   func(f *fleet, p []*process) { f.store.RemoveInstance("i2"); f.cut = cutInstance("10.0.0.2:1") },
		"store down": func(f *fleet, p []*process) { f.crash("10.0.0.2:1"); f.setStoreDown(true) },
		"peer cannot be asked": func(f *fleet, p []*process) {
			f.crash("10.0.0.2:1")
			p[2].paused = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			p := startThree(f, "a", 1)
			f.rounds(20)
			faults(f, p)
			f.rounds(roundsIn(5 * DefaultDeadAfter))
			assert.Assert(t, !f.dead(p[1]))
		})
	}
}

func cutInstance(addr string) func(from, to string) bool {
	return func(from, to string) bool { return from == addr || to == addr }
}

func TestPausedProcessGrantsNothingUntilItHears(t *testing.T) {
	f := newFleet(t)
	p := startThree(f, "a", 1)
	f.rounds(20)
	p[1].paused = true
	f.clock.Advance(DefaultIsolateAfter + time.Millisecond)
	assert.Assert(t, !active(p[1]))
	f.rounds(1)
	p[1].paused = false
	f.rounds(1)
	assert.Assert(t, active(p[1]))
}

// A process is paused, removed from the platform's list and expired, while the response
// to a heartbeat that it sent before waits in its socket. Reading that response must not
// make the process active again.
func TestAnswerFromBeforeAPauseProvesNothing(t *testing.T) {
	f := newFleet(t)
	p := startThree(f, "a", 1)
	f.rounds(20)
	f.store.RemoveInstance("i2")
	f.delayReply(p[1], roundsIn(4*DefaultDeadAfter))
	assert.Assert(t, f.dead(p[1]))
	assert.Assert(t, !active(p[1]))
	f.setStoreDown(true)
	f.rounds(10) // peers answer, the store does not
	assert.Assert(t, !active(p[1]))
	f.setStoreDown(false)
	f.rounds(roundsIn(2 * DefaultRenewEvery))
	<-p[1].Fenced()
}

func TestPeerContactIsTimedFromTheRequest(t *testing.T) {
	f := newFleet(t)
	p := startThree(f, "a", 1)
	f.rounds(20)
	f.delayReply(p[1], roundsIn(DefaultIsolateAfter))
	assert.Assert(t, !active(p[1]))
}

func TestRenewalDuringTheVerdictWins(t *testing.T) {
	f := newFleet(t)
	p := startThree(f, "a", 1)
	f.rounds(20)
	p[1].paused = true
	f.store.RemoveInstance("i2")
	renewals := 0
	f.afterQuery = func() {
		p[1].renewRound(context.Background())
		renewals++
	}
	for renewals == 0 {
		f.rounds(1)
	}
	assert.Assert(t, active(p[1]) && !f.dead(p[1]))
}

// The only peer that heard a process recently is restarted. The new process has heard
// nothing yet, which must not count as evidence of death.
func TestRestartedPeerIsNoEvidenceOfSilence(t *testing.T) {
	f := newFleet(t)
	p := startThree(f, "a", 1)
	f.rounds(20)
	f.store.RemoveInstance("i2")
	f.cut = func(from, to string) bool {
		return cutInstance("10.0.0.2:1")(from, to) && from+to != "10.0.0.2:110.0.0.3:1"
	}
	f.setStoreUnreachable(p[1], true)
	f.rounds(roundsIn(4 * DefaultDeadAfter))
	assert.Assert(t, active(p[1]))
	f.crash("10.0.0.3:1")
	f.start("a", "i3", "10.0.0.3:1")
	p[1].paused = true
	f.rounds(roundsIn(DefaultIsolateAfter))
	assert.Assert(t, !f.dead(p[1]))
	f.rounds(roundsIn(4 * DefaultDeadAfter))
	assert.Assert(t, f.dead(p[1]))
}

// The first instance by name, which is the poller, loses access to the store. The next
// one must scan the rows and expire dead sessions in its place.
func TestNextPollerScansWhenTheFirstLosesTheStore(t *testing.T) {
	f := newFleet(t)
	p := startThree(f, "a", 1)
	f.rounds(20)
	f.setStoreUnreachable(p[0], true)
	f.rounds(roundsIn(stalePollerScans * DefaultScanEvery))
	startThree(f, "b", 4)
	f.crash("10.0.0.3:1")
	f.rounds(roundsIn(10 * DefaultDeadAfter))
	assert.Equal(t, len(p[1].View().InDataCentre("b")), 3)
	assert.Assert(t, f.dead(p[2]))
	assert.Assert(t, active(p[0]), "a process that hears its peers stays active")
}

func TestRestartAtSameAddressTakesHigherEpochAtOnce(t *testing.T) {
	f := newFleet(t)
	p := startThree(f, "a", 1)
	f.rounds(20)
	f.crash("10.0.0.2:1")
	next := f.start("a", "i2", "10.0.0.2:1")
	f.rounds(2)
	assert.Assert(t, next.Self().Epoch > p[1].Self().Epoch)
	assert.Assert(t, f.dead(p[1]))
	f.rounds(2)
	assert.Equal(t, p[0].View().Peers[0].Epoch, next.Self().Epoch)
}

func TestReplacementAtOtherAddressWaitsForEvidence(t *testing.T) {
	f := newFleet(t)
	p := startThree(f, "a", 1)
	f.rounds(20)
	old := p[1]
	old.paused = true
	next := f.start("a", "i2", "10.0.0.9:1")
	f.rounds(4)
	assert.Equal(t, next.Self().Epoch, uint64(0))
	f.rounds(roundsIn(4 * DefaultDeadAfter))
	assert.Assert(t, next.Self().Epoch > old.Self().Epoch)
	assert.Assert(t, active(next) && !active(old))
}

func TestReleasedSessionIsDeadAtOnceAndItsRowIsDeletedLater(t *testing.T) {
	f := newFleet(t)
	p := startThree(f, "a", 1)
	f.rounds(20)
	assert.NilError(t, p[1].Leave(context.Background()))
	assert.Assert(t, !active(p[1]) && f.dead(p[1]))
	f.crash("10.0.0.2:1")
	f.rounds(roundsIn(4 * DefaultDeadAfter))
	rows, err := f.store.For("a").Table.Get(context.Background(), RowKey("i2"))
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Version, uint64(0))
}

func TestStartWithStoreDown(t *testing.T) {
	f := newFleet(t)
	f.setStoreDown(true)
	p := append(startThree(f, "a", 1), startThree(f, "a", 4)...)
	for _, c := range p {
		c.opts.Seeds = []string{"10.0.0.3:1"}
	}
	f.rounds(40)
	for _, c := range p {
		assert.Equal(t, len(c.View().Peers), 5)
		assert.Assert(t, !active(c))
	}
	f.crash("10.0.0.6:1")
	f.rounds(roundsIn(4 * provisionalTTL))
	assert.Equal(t, len(p[0].known), 4, "an instance without an epoch is removed")
	p = p[:5]
	f.setStoreDown(false)
	f.rounds(10)
	for _, c := range p {
		assert.Assert(t, active(c))
	}
}

// Two faults at once: a data centre is cut off from the other one and from the platform,
// and one of its instances dies in the meantime.
func TestCutOffDataCentreGoesOnAndHeals(t *testing.T) {
	f := newFleet(t)
	a, b := startThree(f, "a", 1), startThree(f, "b", 4)
	f.rounds(20)
	f.store.Cut("a", true)
	f.cut = func(from, to string) bool {
		return f.processes[from].Self().DataCentre != f.processes[to].Self().DataCentre
	}
	f.crash("10.0.0.3:1")
	f.rounds(roundsIn(time.Minute))
	assert.Assert(t, active(a[0]) && active(a[1]))
	for _, p := range a {
		assert.Assert(t, !f.dead(p))
	}
	assert.Assert(t, active(b[0]))
	f.store.Cut("a", false)
	f.cut = func(string, string) bool { return false }
	f.rounds(roundsIn(4 * DefaultDeadAfter))
	assert.Assert(t, active(a[0]) && f.dead(a[2]))
	assert.Equal(t, len(b[0].View().Peers), 4)
}

func TestLostAnswersDoNotEndASession(t *testing.T) {
	f := newFleet(t)
	p := startThree(f, "a", 1)
	f.store.LoseAnswers(0.5)
	f.store.LoseRequests(0.2)
	f.rounds(200)
	for _, c := range p {
		assert.Assert(t, active(c))
	}
}

func TestControlTrafficDoesNotGrowWithTheFleet(t *testing.T) {
	perInstance := map[int]int{}
	for _, n := range []int{6, 24} {
		f := newFleet(t)
		for i := range n {
			f.start("a", fmt.Sprintf("i%02d", i), fmt.Sprintf("10.0.0.%d:1", i))
		}
		f.rounds(40)
		f.calls.Store(0)
		f.rounds(40)
		perInstance[n] = int(f.calls.Load()) / n
	}
	assert.Assert(t, perInstance[24] <= perInstance[6]*3/2, "calls per instance in 20 s: %v", perInstance)
}

// Random sequences of crashes, pauses, partitions, restarts and a platform list that
// omits live processes: no process is active once its session is recorded as dead
// (checked in every round), and after all faults have ended every live process is
// active again or fenced.
func TestNoProcessGrantsOnceItsDeathIsOnRecord(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t)
		startThree(f, "a", 1)
		startThree(f, "b", 4)
		f.rounds(20)
		addr := rapid.SampledFrom([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"})
		isolated := map[string]bool{}
		f.cut = func(from, to string) bool { return isolated[from] || isolated[to] }
		rt.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { f.checkInvariant() },
			"run": func(rt *rapid.T) {
				f.rounds(rapid.IntRange(1, 16).Draw(rt, "rounds"))
			},
			"crash": func(rt *rapid.T) { f.crash(addr.Draw(rt, "addr")) },
			"restart": func(rt *rapid.T) {
				a := addr.Draw(rt, "addr")
				if p := f.processes[a]; p != nil {
					f.crash(a)
					f.start(p.opts.Session.DataCentre, p.opts.Session.Name, a)
				}
			},
			"pause": func(rt *rapid.T) {
				if p := f.processes[addr.Draw(rt, "addr")]; p != nil {
					p.paused = !p.paused
				}
			},
			"wrong list": func(rt *rapid.T) {
				if p := f.processes[addr.Draw(rt, "addr")]; p != nil {
					f.store.RemoveInstance(p.opts.Session.Name)
				}
			},
			"cut instance": func(rt *rapid.T) {
				a := addr.Draw(rt, "addr")
				isolated[a] = !isolated[a]
			},
			"cut data centre": func(rt *rapid.T) { f.store.Cut("a", rapid.Bool().Draw(rt, "cut")) },
			"lose table": func(rt *rapid.T) {
				if p := f.processes[addr.Draw(rt, "addr")]; p != nil {
					f.setStoreUnreachable(p, rapid.Bool().Draw(rt, "lost"))
				}
			},
			"store":        func(rt *rapid.T) { f.setStoreDown(rapid.Bool().Draw(rt, "down")) },
			"lost answers": func(rt *rapid.T) { f.store.LoseAnswers(rapid.SampledFrom([]float64{0, 0.5}).Draw(rt, "p")) },
			"answer waits": func(rt *rapid.T) {
				a := addr.Draw(rt, "addr")
				n := rapid.IntRange(1, 30).Draw(rt, "rounds")
				p := f.processes[a]
				if p == nil || p.paused {
					return
				}
				f.delayReply(p, n)
			},
		})
		f.store.Cut("a", false)
		f.setStoreDown(false)
		f.store.LoseAnswers(0)
		clear(isolated)
		for _, p := range f.processes {
			f.setStoreUnreachable(p, false)
			p.paused = false
			s := p.opts.Session
			f.store.SetInstance(platform.Instance{Name: s.Name, Addr: s.Addr, DataCentre: s.DataCentre, State: platform.Live})
		}
		f.rounds(roundsIn(6 * DefaultDeadAfter))
		for a, p := range f.processes {
			assert.Assert(rt, active(p) || p.isFenced(), "%s is neither active nor fenced", a)
		}
	})
}
