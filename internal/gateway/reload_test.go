package gateway

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Settings that were read again replace those in force; settings that cannot be used do not.
func TestSettingsThatChangeAreReplaced(t *testing.T) {
	s := newTestServer("127.0.0.1:1", time.Now())
	began := time.Now()
	s.drainStartedAt.Store(&began)
	next, err := Settings{GracePeriod: 5 * time.Second, RetryExtra: 1e6}, error(nil)
	s.load = func() (Settings, []string, error) { return next, nil, err }
	s.reloadSettings()
	assert.Equal(t, s.exitAt(), began.Add(next.GracePeriod-exitMargin))
	assert.Assert(t, s.budget.reserve(began, "p", 1))
	next.RetryExtra, err = 0, errors.New("unreadable")
	s.reloadSettings()
	assert.Assert(t, s.budget.reserve(began, "p", 1), "the settings in force stay")
	next.GracePeriod, err = 7*time.Second, nil
	s.reloadSettings()
	assert.Equal(t, s.exitAt(), began.Add(next.GracePeriod-exitMargin))
	assert.Assert(t, !s.budget.reserve(began, "p", 1))
}
