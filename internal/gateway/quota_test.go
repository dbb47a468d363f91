package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/limit/window"
)

// The attempts of one stream have one place in the line for tokens. Streams whose callers do not
// name their first attempt had one together.
func TestStreamsHavePlacesOfTheirOwn(t *testing.T) {
	key := func(id, resumes, account string) window.ClaimKey {
		x := &exchange{call: &Call{ID: id, Resumes: resumes, Account: &config.Account{Name: account}}}
		return x.claimKey()
	}
	assert.Equal(t, key("2", "1", "a"), key("3", "1", "a"))
	assert.Assert(t, key("2", "1", "a") != key("3", "1", "b"))
	assert.Assert(t, key("2", "", "a") != key("3", "", "a"))
}

// Claims arrive at the other instances as they were made.
func TestClaimsSurviveAnUpdate(t *testing.T) {
	now := time.Now()
	u := window.Usage{Account: "a", Own: 5, Returning: 7, Claims: []window.Claim{
		{Key: window.ClaimKey{1}, Tokens: 10, Since: now.UnixMilli()},
		{Key: window.ClaimKey{2}, Tokens: 20, Since: 5, Due: now.Add(300 * time.Millisecond)},
		{Key: window.ClaimKey{3}, Since: 6, Due: now},
		{Key: window.ClaimKey{4}, New: true, Tokens: 30, Since: 7},
	}}
	got := decodeUsage(now, encodeUsage(now, u))
	assert.Equal(t, got.Own, 5)
	assert.Equal(t, got.Returning, 7)
	assert.Equal(t, len(got.Claims), len(u.Claims))
	for i, c := range got.Claims {
		want := u.Claims[i]
		assert.Equal(t, c.Key, want.Key)
		assert.Equal(t, c.New, want.New)
		assert.Equal(t, c.Tokens, want.Tokens)
		assert.Equal(t, c.Since, want.Since)
		assert.Equal(t, c.Due.IsZero(), want.Due.IsZero(), "claim %d", i)
		if !c.Due.IsZero() {
			assert.Assert(t, c.Due.Sub(want.Due).Abs() <= 2*time.Millisecond)
		}
	}
	bad := encodeUsage(now, u)
	bad.Claims[0].Key = []byte("short")
	assert.Equal(t, len(decodeUsage(now, bad).Claims), len(u.Claims)-1, "a key of another length names no request")
}
