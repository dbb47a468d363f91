package gateway

import (
	"context"
	"time"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/limit/window"
	"carawayrouter.example/router/internal/origin"
)

const (
	// claimInterval is how often a request that waits for its account's tokens is tried again:
	// an update of another instance may have changed its place.
	claimInterval = 20 * time.Millisecond
	// claimWaitRatio is the part of the caller's patience, less startMargin, for which a stream
	// may wait for tokens. The rest is for a place at an engine.
	claimWaitRatio = 0.5
)

// limit charges the request's tokens to the account.
func (x *exchange) limit(ctx context.Context) error {
	c := x.call
	if c.Account == nil {
		return nil
	}
	c.ChargedTokens = c.Account.FlatTokens
	kind := window.PlainCall
	if c.HasTokenCounts {
		c.ChargedTokens, kind = c.PromptTokens+c.MaxOutputTokens, window.Generation
		if x.s.admission.floods(c.Pool.Name, c.Route.Priority, x.priority()) {
			kind = window.LowerGeneration
		}
	}
	if x.takenUp {
		return x.claimTokens(ctx)
	}
	var d window.Decision
	x.s.withQuota(func(now time.Time, l *window.Limiter) { d = l.Reserve(now, c.Account, c.ChargedTokens, kind) })
	if d.Announce {
		return x.reserveAnnounced(ctx, kind)
	}
	return x.finishLimit(d, 0)
}

// reserveAnnounced waits until the other instances have heard of the request.
func (x *exchange) reserveAnnounced(ctx context.Context, kind window.RequestKind) error {
	c := x.call
	key := window.ClaimKey(origin.KeyOf(x.account(), c.ID))
	return x.awaitTokens(ctx, key, func(now time.Time, l *window.Limiter) (window.Decision, bool) {
		d, waits := l.ReserveAnnouncedKind(now, c.Account, key, c.ChargedTokens, kind)
		return d, !waits
	})
}

// claimTokens waits for the tokens of a stream that its caller takes up again, if they can be had
// while the caller is still there. Otherwise the caller is told when its turn is expected.
func (x *exchange) claimTokens(ctx context.Context) error {
	key := x.claimKey()
	patience := time.Duration(claimWaitRatio * float64(x.callerTimeout()-startMargin))
	latest := x.call.Arrived.Add(patience)
	return x.awaitTokens(ctx, key, func(now time.Time, l *window.Limiter) (window.Decision, bool) {
		return x.tryClaim(now, l, key, latest, patience)
	})
}

// awaitTokens tries until the request's claim is decided. The other instances hear at once of the claim and
// of its end.
func (x *exchange) awaitTokens(ctx context.Context, key window.ClaimKey, try func(now time.Time, l *window.Limiter) (d window.Decision, decided bool)) error {
	began := time.Now()
	ticker := time.NewTicker(claimInterval)
	defer ticker.Stop()
	for first := true; ; first = false {
		var d window.Decision
		var decided bool
		x.s.withQuota(func(now time.Time, l *window.Limiter) { d, decided = try(now, l) })
		if first || decided {
			x.s.peers.requestUpdate()
		}
		if decided {
			x.queueTime += time.Since(began)
			return x.finishLimit(d, time.Since(began))
		}
		select {
		case <-ctx.Done():
			x.s.withQuota(func(_ time.Time, l *window.Limiter) { l.WithdrawClaim(x.call.Account.Name, key) })
			x.s.peers.requestUpdate()
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

// claimKey identifies the stream over all attempts of its caller. A caller that does not name the
// attempt with which it began has a new place with each one.
func (x *exchange) claimKey() window.ClaimKey {
	attempt := x.call.Resumes
	if attempt == "" {
		attempt = x.call.ID
	}
	return window.ClaimKey(origin.KeyOf(x.account(), attempt))
}

// tryClaim asks for the tokens of a stream once. If they cannot be had until the latest time, the claim
// is postponed: the caller returns when there is about half of its patience left to wait here.
func (x *exchange) tryClaim(now time.Time, l *window.Limiter, key window.ClaimKey, latest time.Time, patience time.Duration) (d window.Decision, decided bool) {
	a := x.call.Account
	d = l.ClaimTokens(now, a, key, x.call.ChargedTokens)
	if d.Allowed || !now.Add(d.RetryAfter).After(latest) {
		return d, d.Allowed
	}
	d.RetryAfter = max(d.RetryAfter-patience/2, window.MinRetryAfter)
	l.PostponeClaim(now, a.Name, key, d.RetryAfter)
	return d, true
}

// finishLimit records the outcome of a reservation.
func (x *exchange) finishLimit(d window.Decision, waited time.Duration) error {
	c := x.call
	c.OverLimit = d.UsedSlack
	if d.Allowed {
		x.chargedAt = d.ChargedAt
		x.s.stats.tokensCharged.Add(c.ChargedTokens)
		return nil
	}
	x.decision("over_rate", "account", c.Account.Name, "rank", x.priority(), "taken_up", x.takenUp, "tokens", c.ChargedTokens, "needed", int(d.Needed), "limit", int(d.Limit), "rate", int(d.Rate), "own", int(d.OwnUsage), "others", int(d.PeerUsage), "assumed", int(d.Assumed), "silent", d.SilentPeers, "ahead", int(d.Ahead), "waited_ms", waited.Milliseconds(), "retry_after_ms", d.RetryAfter.Milliseconds())
	return refusal(errkind.OverRate, "the account is above its rate", d.RetryAfter)
}

// withQuota runs f with the limiter under its lock.
func (s *Server) withQuota(f func(now time.Time, l *window.Limiter)) {
	s.quotaMu.Lock()
	defer s.quotaMu.Unlock()
	f(time.Now(), s.quota)
}

// refundTokens returns the tokens of a request that did not run.
func (s *Server) refundTokens(chargedAt time.Time, a *config.Account, tokens int) {
	s.withQuota(func(now time.Time, l *window.Limiter) { l.Refund(now, chargedAt, a.Name, tokens) })
}

// encodeUsage converts an account's usage for an update.
func encodeUsage(now time.Time, u window.Usage) gossip.AccountUsage {
	out := gossip.AccountUsage{Account: u.Account, Tokens: u.Own, Level: u.Level, Returning: u.Returning}
	for _, c := range u.Claims {
		claim := gossip.Claim{Key: c.Key[:], New: c.New, Tokens: c.Tokens, Since: c.Since}
		if !c.Due.IsZero() {
			claim.Due = -gossip.AgeMillis(now, c.Due)
			if claim.Due == 0 {
				claim.Due = -1
			}
		}
		out.Claims = append(out.Claims, claim)
	}
	return out
}

// decodeUsage is the inverse of encodeUsage. Claims whose key cannot be read are left out.
func decodeUsage(now time.Time, u gossip.AccountUsage) window.Usage {
	out := window.Usage{Account: u.Account, Own: u.Tokens, Level: u.Level, Returning: max(0, u.Returning)}
	for _, c := range u.Claims {
		if len(c.Key) != len(window.ClaimKey{}) {
			continue
		}
		claim := window.Claim{Key: window.ClaimKey(c.Key), New: c.New, Tokens: max(0, c.Tokens), Since: c.Since}
		if c.Due != 0 {
			claim.Due = gossip.TimeOfAge(now, -c.Due)
		}
		out.Claims = append(out.Claims, claim)
	}
	return out
}
