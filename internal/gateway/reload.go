package gateway

import (
	"sync/atomic"
	"time"

	"carawayrouter.example/router/internal/limit/window"
)

// LoadSettings reads the settings again. It returns the names of those that differ from the ones at the start and
// take effect only at another start, and an error if the settings cannot be used.
type LoadSettings func() (s Settings, afterRestart []string, err error)

// gracePeriod is Settings.GracePeriod for concurrent use.
type gracePeriod struct{ atomic.Int64 }

func (g *gracePeriod) set(d time.Duration) { g.Store(int64(d)) }
func (g *gracePeriod) get() time.Duration  { return time.Duration(g.Load()) }

// reloadSettings reads the settings again and applies those that may change while the instance runs: the grace period,
// the retry budget and the slack of quotas. Settings that cannot be used leave those in force.
func (s *Server) reloadSettings() {
	if s.load == nil {
		return
	}
	s.reloadMu.Lock()
	defer s.reloadMu.Unlock()
	next, afterRestart, err := s.load()
	if err != nil {
		s.log.Error(err, "settings.refused")
		return
	}
	s.grace.set(next.GracePeriod)
	s.budget.setLimits(next.RetryRatio, next.RetryExtra)
	s.quotaMu.Lock()
	s.quota.SetSlack(window.Slack{Fraction: next.QuotaSlackRatio, Tokens: next.QuotaSlackTokens})
	s.quotaMu.Unlock()
	s.log.Info("settings.read", "grace_ms", next.GracePeriod.Milliseconds(), "retry_ratio", next.RetryRatio, "retry_extra", next.RetryExtra,
		"quota_slack", next.QuotaSlackRatio, "quota_slack_tokens", next.QuotaSlackTokens, "after_restart", afterRestart)
}
