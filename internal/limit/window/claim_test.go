package window

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func claimKey(i int) (k ClaimKey) {
	k[0], k[1] = byte(i), byte(i>>8)
	return k
}

// claim asks for the tokens of a stream at an instance and reports whether they were granted.
func (f *testFleet) claim(now time.Time, i, key, tokens int) (granted bool, retryAfter time.Duration) {
	if f.limiters[i] == nil {
		return false, 0
	}
	d := f.limiters[i].ClaimTokens(now, account, claimKey(key), tokens)
	if d.Allowed {
		f.charges = append(f.charges, charge{now, tokens})
	}
	f.send(now, i)
	return d.Allowed, d.RetryAfter
}

// restartAll restarts all instances, which then assume a full bucket. Reports on their way are lost
// with the sockets of the former processes.
func (f *testFleet) restartAll(now time.Time) {
	f.transit = nil
	for i := range f.limiters {
		f.kill(i)
	}
	for i := range f.limiters {
		f.start(now, i)
	}
}

// All instances restart at an account's full rate, and the callers of 24 broken streams return
// while new generations arrive at twice the rate. The streams go on in the order of their
// return, before the new ones.
func TestStreamsTakenUpGoBeforeNewGenerations(t *testing.T) {
	const broken, tokens = 24, 250
	now := epoch
	f := newTestFleet(4, now)
	f.flood(now, 3*time.Second, 20*time.Millisecond)
	now = now.Add(3 * time.Second)
	f.restartAll(now)
	var order []int
	waiting := map[int]bool{}
	newServed := 0
	for step := range 900 {
		at := now.Add(time.Duration(step) * 10 * time.Millisecond)
		f.exchange(at)
		if step >= 10 && step < 10+broken {
			waiting[step-10] = true
		}
		for key := range broken {
			if waiting[key] {
				if ok, _ := f.claim(at, key%4, key, tokens); ok {
					delete(waiting, key)
					order = append(order, key)
				}
			}
		}
		if step%12 == 0 && f.request(at, step/12%4, tokens) && len(waiting) > 0 && step >= 10+broken {
			newServed++
		}
	}
	assert.Equal(t, len(order), broken)
	assert.Equal(t, newServed, 0, "new generations were served while streams waited")
	for i, key := range order {
		assert.Equal(t, key, i, "in the order %v", order)
	}
	got := maxWindowSum(f.charges)
	assert.Assert(t, got <= allowedInWindow, "%d tokens in a window, %d are allowed", got, allowedInWindow)
}

// A caller that was told to return comes to another instance and has its place there; the place
// at the first instance is given up.
func TestClaimKeepsItsPlaceAtAnotherInstance(t *testing.T) {
	now := epoch
	f := newTestFleet(3, now)
	f.restartAll(now)
	ok, after := f.claim(now, 0, 1, 400)
	assert.Assert(t, !ok)
	f.limiters[0].PostponeClaim(now, account.Name, claimKey(1), after)
	f.exchange(now)
	later := now.Add(20 * time.Millisecond)
	ok, _ = f.claim(later, 1, 2, 400)
	assert.Assert(t, !ok)
	for end := now.Add(after); now.Before(end); now = now.Add(10 * time.Millisecond) {
		f.exchange(now)
	}
	first, _ := f.claim(now, 2, 1, 400)
	for step := 0; !first && step < 10; step++ { // with the later stream before it, it would need 400 ms more
		now = now.Add(10 * time.Millisecond)
		f.exchange(now)
		first, _ = f.claim(now, 2, 1, 400)
	}
	assert.Assert(t, first, "the stream lost its place")
	f.exchange(now)
	for i, l := range f.limiters {
		for _, c := range l.accounts[account.Name].claims {
			assert.Assert(t, c.Key != claimKey(1) || c.Tokens == 0, "instance %d still holds the claim", i)
		}
	}
}

// The claim of an instance that ends, and of a caller that does not return, hold nobody up.
func TestLostClaimsHoldNobodyUp(t *testing.T) {
	for name, lose := range map[string]func(f *testFleet, now time.Time){
		"instance killed": func(f *testFleet, _ time.Time) { f.kill(0) },
		"caller gone": func(f *testFleet, now time.Time) {
			f.limiters[0].PostponeClaim(now, account.Name, claimKey(1), 100*time.Millisecond)
		},
		"withdrawn": func(f *testFleet, _ time.Time) { f.limiters[0].WithdrawClaim(account.Name, claimKey(1)) },
	} {
		t.Run(name, func(t *testing.T) {
			now := epoch
			f := newTestFleet(2, now)
			f.restartAll(now)
			ok, _ := f.claim(now, 0, 1, 5000)
			assert.Assert(t, !ok)
			lose(f, now)
			served := false
			for step := 0; !served && step < 400; step++ {
				now = now.Add(10 * time.Millisecond)
				f.exchange(now)
				served = f.request(now, 1, 100)
			}
			assert.Assert(t, served, "a small generation waited for more than 4 s")
		})
	}
}

// A caller that is refused is told when its tokens will have drained, with those ahead counted:
// the times grow with the line and come at the account's rate.
func TestCallersReturnInLine(t *testing.T) {
	now := epoch
	l := New(windowLength, testSlack, now)
	var last time.Duration
	for i := range 12 {
		d := l.Reserve(now, account, 500, Generation)
		assert.Assert(t, !d.Allowed)
		if i > 0 && d.RetryAfter < windowLength {
			step := d.RetryAfter - last
			rate := 500 / step.Seconds()
			assert.Assert(t, rate < 1.25*account.Rate*1.1, "callers return at %.0f tokens a second", rate)
		}
		last = d.RetryAfter
	}
	assert.Assert(t, last > 4*time.Second, "the last of 12 is told to return after %v", last)
	assert.Assert(t, last <= windowLength)
}

// Streams that are taken up at instances that are killed, leave and start in any order keep the
// limit, whatever the delay of updates.
func TestClaimsKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		now := epoch
		f := newTestFleet(n, now)
		f.delay = time.Duration(rapid.SampledFrom([]int{0, 5, 10}).Draw(t, "delay")) * time.Millisecond
		waiting := map[int]int{} // instance by stream
		key := 0
		for range rapid.IntRange(1, 8).Draw(t, "events") {
			for range rapid.IntRange(0, 12).Draw(t, "streams") {
				key++
				waiting[key] = rapid.IntRange(0, n-1).Draw(t, "instance")
			}
			for step := range 150 {
				at := now.Add(time.Duration(step) * 20 * time.Millisecond)
				f.exchange(at)
				for k := 1; k <= key; k++ {
					if i, ok := waiting[k]; ok {
						if granted, _ := f.claim(at, i, k, 300); granted {
							delete(waiting, k)
						}
					}
				}
				f.request(at, step%n, 300)
			}
			now = now.Add(3 * time.Second)
			i := rapid.IntRange(0, n-1).Draw(t, "victim")
			switch {
			case rapid.IntRange(0, 2).Draw(t, "all") == 0:
				f.restartAll(now)
			case f.limiters[i] == nil:
				f.start(now, i)
			default:
				f.kill(i)
				for k, at := range waiting {
					if at == i {
						waiting[k] = (i + 1) % n
					}
				}
			}
		}
		if got := maxWindowSum(f.charges); got > allowedInWindow {
			t.Fatalf("%d tokens in a window, %d are allowed", got, allowedInWindow)
		}
	})
}

// The callers of many streams return to as many instances of a large fleet at the same moment, when
// an account has room for one of them. Each instance granted it before it had heard of the others.
func TestClaimsAtManyInstancesAtOnceKeepTheLimit(t *testing.T) {
	const n, tokens = 20, 300
	now := epoch
	f := newTestFleet(n, now)
	f.flood(now, 8*time.Second, 5*time.Millisecond)
	f.delay = 100 * time.Millisecond
	now = now.Add(8 * time.Second)
	f.restartAll(now)
	for _, l := range f.limiters {
		l.transit = f.delay
	}
	granted := map[int]bool{}
	for step := range 1500 {
		at := now.Add(time.Duration(step) * 10 * time.Millisecond)
		f.exchange(at)
		if step < 400 { // until about the tokens of one stream have drained, and none is used
			continue
		}
		for i := range n {
			if !granted[i] {
				granted[i], _ = f.claim(at, i, i, tokens)
			}
		}
		f.request(at, step%n, tokens)
	}
	assert.Equal(t, len(granted), n)
	for i := range n {
		assert.Assert(t, granted[i], "stream %d did not go on", i)
	}
	got := maxWindowSum(f.charges)
	assert.Assert(t, got <= allowedInWindow, "%d tokens in a window, %d are allowed", got, allowedInWindow)
}

// A flood of small generations is remembered in few records.
func TestFloodOfRefusalsIsRememberedBriefly(t *testing.T) {
	now := epoch
	l := New(windowLength, testSlack, now)
	for i := range 20000 {
		l.Reserve(now.Add(time.Duration(i)*time.Microsecond*10), account, 1000, Generation)
	}
	assert.Assert(t, len(l.accounts[account.Name].returning) <= int(windowLength/returnStep)+1)
}
