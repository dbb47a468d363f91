package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayrouter.example/router/internal/config"
)

// An endpoint in a pause is given nothing, also where all others have failed, and its pool's callers are told
// when the first pause ends.
func TestPausedEndpointIsGivenNothing(t *testing.T) {
	s := newScheduler(1, config.Build(1, &config.Objects{
		Pools:     []*config.Pool{{Name: servicePool, Kind: config.ServicePool}},
		Endpoints: []*config.Endpoint{{Name: "a", Pool: servicePool, Role: config.Plain, Slots: 1}, {Name: "b", Pool: servicePool, Role: config.Plain, Slots: 1}},
	}))
	assert.Assert(t, s.Pause(start, "a", 3*time.Second))
	assert.Assert(t, !s.Pause(start, "a", time.Second), "a shorter pause does not end a longer one")
	assert.Equal(t, s.PauseLeft(start, Demand{Pool: servicePool}), time.Duration(0), "b is available")
	for range 10 {
		l := s.AcquireService(start, Demand{Pool: servicePool})
		assert.Equal(t, l.Target.Name, "b")
	}
	assert.Assert(t, s.Pause(start, "b", 5*time.Second))
	assert.Assert(t, s.AcquireService(start, Demand{Pool: servicePool}) == nil)
	assert.Assert(t, !s.TakeTurn(start, "a"), "nor is it asked anything else")
	assert.Equal(t, s.PauseLeft(start, Demand{Pool: servicePool}), 3*time.Second)
	assert.Equal(t, s.AcquireService(start.Add(3*time.Second), Demand{Pool: servicePool}).Target.Name, "a")
	assert.Assert(t, !s.Pause(start, "unknown", time.Second))
}
