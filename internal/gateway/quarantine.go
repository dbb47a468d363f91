package gateway

import (
	"context"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"carawayrouter.example/router/internal/config"
	"carawayrouter.example/router/internal/endpoint"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/gossip"
	"carawayrouter.example/router/internal/quarantine"
)

const (
	quarantineKeyPrefix    = "quarantine/"    // of the rows of quarantined causes, in the table Fleet
	quarantineSyncInterval = 30 * time.Second // between comparisons with the store
	quarantineRetryDelay   = time.Second      // after a failed comparison
	crashCheckTimeout      = 100 * time.Millisecond
	// beginEvents is how many events show that an engine has begun a stream and not crashed
	// on it. The first one may be lost in the crash or leave the engine just before it.
	beginEvents = 2
)

// quarantineState is the instance's view of the requests and prompt parts on which endpoints crash.
type quarantineState struct {
	mu      sync.Mutex
	tracker *quarantine.Tracker
	known   bool            // the quarantined causes of the time before the start are known
	stored  map[string]bool // quarantined causes that have a row in the store
	changed chan struct{}   // a cause was quarantined by this instance
	crashed chan struct{}   // there is a crash of which not all requests are known
}

func newQuarantineState() *quarantineState {
	return &quarantineState{tracker: quarantine.New(), stored: map[string]bool{}, changed: make(chan struct{}, 1), crashed: make(chan struct{}, 1)}
}

// count returns the number of quarantined causes.
func (q *quarantineState) count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Len()
}

// isKnown reports whether the causes that were quarantined before the start are known, from the
// store or another instance.
func (q *quarantineState) isKnown() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.known
}

// setKnown records that the causes that were quarantined before the start are known.
func (q *quarantineState) setKnown() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.known = true
}

func (q *quarantineState) setStored(cause string, stored bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if stored {
		q.stored[cause] = true
	} else {
		delete(q.stored, cause)
	}
}

var errQuarantined = errors.New("the request or a part of its prompt is quarantined")

// admit checks whether the request may be sent to an endpoint: the caller's key is valid, and
// neither the request nor a part of its prompt is quarantined. It runs again before each send.
func (x *exchange) admit() error {
	if err := x.identify(x.s.state.Current()); err != nil {
		return err
	}
	r := x.identity()
	q := x.s.quarantine
	q.mu.Lock()
	cause, left, refused := q.tracker.Refuses(time.Now(), r)
	q.mu.Unlock()
	if !refused {
		return nil
	}
	x.decision("quarantined", "cause", cause, "left_ms", left.Milliseconds())
	err := refusal(errkind.PromptQuarantined, "engines crash on a part of this prompt", left)
	if cause == r.Fingerprint {
		err = refusal(errkind.RequestQuarantined, "endpoints crash on this request", left)
	}
	return errors.Mark(err, errQuarantined)
}

// identity returns what may make the request crash its endpoint.
func (x *exchange) identity() quarantine.Request {
	return quarantine.Request{Fingerprint: x.fingerprint(), Parts: x.call.PromptParts}
}

// recordBegun records that an endpoint has begun the response to the request.
func (x *exchange) recordBegun() {
	r := x.identity()
	q := x.s.quarantine
	q.mu.Lock()
	q.tracker.Begun(time.Now(), r)
	lifted := q.tracker.Lifted()
	q.mu.Unlock()
	if len(lifted) > 0 {
		x.s.announceLifted(lifted)
		x.s.peers.requestUpdate()
	}
}

// announceLifted has the rows of causes deleted whose quarantine responses have lifted.
func (s *Server) announceLifted(causes []string) {
	for _, cause := range causes {
		s.log.Info("quarantine.lifted", "cause", cause)
	}
	signal(s.quarantine.changed)
}

// recordBreak records a request that broke before its response had begun, if the endpoint
// crashed or crashes soon.
func (x *exchange) recordBreak(ctx context.Context, ep *config.Endpoint, err error) {
	s := x.s
	switch {
	case errors.Is(err, endpoint.ErrNotSent):
		s.recordConnectError(ep, err)
		return
	case ctx.Err() != nil || errors.Is(err, errEndpointTimeout):
		x.recordAbandoned(ep)
		return
	case !errors.Is(err, endpoint.ErrCallFailed):
		return
	}
	if !s.endpointCrashed(context.WithoutCancel(ctx), ep) {
		return
	}
	s.stats.crashes.Inc()
	x.crashed = true
	x.decision("endpoint_crashed", "endpoint", ep.Name, "fingerprint", x.fingerprint(), "parts", strings.Join(x.call.PromptParts, ","))
	r := x.identity()
	q := s.quarantine
	q.mu.Lock()
	refused := q.tracker.Crashed(time.Now(), ep.Name, r)
	q.mu.Unlock()
	s.announceEvidence(refused)
}

// recordAbandoned records that the response to the request is no longer awaited.
func (x *exchange) recordAbandoned(ep *config.Endpoint) {
	r := x.identity()
	q := x.s.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.Abandoned(time.Now(), ep.Name, r)
}

// recordConnectError records that the endpoint's process has ended, if nothing listens at its
// address.
func (s *Server) recordConnectError(ep *config.Endpoint, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	q := s.quarantine
	q.mu.Lock()
	refused := q.tracker.Ended(time.Now(), ep.Name)
	q.mu.Unlock()
	if len(refused) > 0 {
		s.announceEvidence(refused)
	}
}

// announceEvidence passes on new evidence, and has it weighed again when all of its crash is known.
func (s *Server) announceEvidence(refused []string) {
	for _, cause := range refused {
		s.log.Info("quarantine.held", "cause", cause)
	}
	signal(s.quarantine.crashed)
	s.peers.requestUpdate()
}

// settleLoop quarantines the causes of crashes when all of these is known.
func (s *Server) settleLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.quarantine.crashed:
		}
		for next := s.settleQuarantine(time.Now()); next > 0; next = s.settleQuarantine(time.Now()) {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(next):
			}
		}
	}
}

// settleQuarantine passes on and stores the causes that are quarantined by now. It returns the time
// until it is to be called again, or zero.
func (s *Server) settleQuarantine(now time.Time) time.Duration {
	q := s.quarantine
	q.mu.Lock()
	found, next := q.tracker.Settle(now)
	q.mu.Unlock()
	if len(found) > 0 {
		s.logQuarantined(found, s.settings.Instance)
		signal(q.changed)
		s.peers.requestUpdate()
	}
	return next
}

// suspected reports whether the last endpoint crashed on the request and another one is likely to.
func (x *exchange) suspected() bool {
	if !x.crashed {
		return false
	}
	r := x.identity()
	q := x.s.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Suspected(time.Now(), r)
}

// endpointCrashed reports whether the endpoint's process has ended: nothing listens at its
// address, or another endpoint does.
func (s *Server) endpointCrashed(ctx context.Context, ep *config.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	name, err := s.identifyEndpoint(ctx, ep)
	return errors.Is(err, syscall.ECONNREFUSED) || (err == nil && name != "" && name != ep.Name)
}

func (s *Server) logQuarantined(causes []string, source string) {
	for _, cause := range causes {
		s.log.Info("quarantine.began", "cause", cause, "source", source)
	}
}

// addQuarantine adds the evidence and the quarantined causes to an update.
func (s *Server) addQuarantine(now time.Time, u *gossip.Update) {
	q := s.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.tracker.Report(now)
	for _, c := range r.Crashes {
		crash := gossip.Crash{Endpoint: c.Endpoint, Age: gossip.AgeMillis(now, c.At)}
		for _, request := range c.Requests {
			crash.Requests = append(crash.Requests, gossip.CrashedRequest{Fingerprint: request.Fingerprint, Parts: request.Parts})
		}
		u.Crashes = append(u.Crashes, crash)
	}
	for cause, n := range r.Begun {
		u.Begun = append(u.Begun, gossip.BegunResponses{Cause: cause, Count: n})
	}
	for cause, until := range r.Quarantined {
		if left := until.Sub(now).Milliseconds(); left > 0 {
			u.Quarantined = append(u.Quarantined, gossip.Quarantine{Cause: cause, Remaining: left})
		}
	}
	// A quarantine that has ended tells of a lifted one; former builds pass it over.
	for cause, at := range r.Lifted {
		u.Quarantined = append(u.Quarantined, gossip.Quarantine{Cause: cause, Remaining: min(0, at.Sub(now).Milliseconds())})
	}
}

// mergeQuarantine applies the evidence and the quarantined causes of another instance.
func (s *Server) mergeQuarantine(now time.Time, u *gossip.Update) {
	if len(u.Crashes)+len(u.Begun)+len(u.Quarantined) == 0 {
		s.forgetQuarantinePeer(u.Instance)
		return
	}
	r := quarantine.Report{Begun: make(map[string]int, len(u.Begun)), Quarantined: make(map[string]time.Time, len(u.Quarantined)), Lifted: map[string]time.Time{}}
	for _, c := range u.Crashes {
		crash := quarantine.Crash{Endpoint: c.Endpoint, At: gossip.TimeOfAge(now, c.Age)}
		for _, request := range c.Requests {
			crash.Requests = append(crash.Requests, quarantine.Request{Fingerprint: request.Fingerprint, Parts: request.Parts})
		}
		r.Crashes = append(r.Crashes, crash)
	}
	for _, b := range u.Begun {
		r.Begun[b.Cause] = b.Count
	}
	for _, q := range u.Quarantined {
		at := now.Add(time.Duration(q.Remaining) * time.Millisecond)
		if q.Remaining > 0 {
			r.Quarantined[q.Cause] = at
		} else {
			r.Lifted[q.Cause] = at
		}
	}
	q := s.quarantine
	q.mu.Lock()
	learned, refused := q.tracker.Merge(now, u.Instance, r)
	lifted := q.tracker.Lifted()
	q.mu.Unlock()
	s.logQuarantined(learned, u.Instance)
	if len(lifted) > 0 {
		s.announceLifted(lifted)
	}
	if len(refused) > 0 {
		s.announceEvidence(refused)
	} else if len(r.Crashes) > 0 {
		signal(q.crashed)
	}
}

// forgetQuarantinePeer drops the counts that an instance no longer reports.
func (s *Server) forgetQuarantinePeer(instance string) {
	s.quarantine.mu.Lock()
	defer s.quarantine.mu.Unlock()
	s.quarantine.tracker.Forget(instance)
}

// quarantineLoop restores the quarantined causes from the store at the start, and keeps the
// store's rows equal to them, so that a restart of all instances does not lift a quarantine.
func (s *Server) quarantineLoop(ctx context.Context) error {
	restored, failures := false, 0
	for ctx.Err() == nil {
		wait := quarantineSyncInterval
		if !restored {
			restored = s.reportSync(&failures, s.restoreQuarantine(ctx))
		}
		if !s.reportSync(&failures, s.storeQuarantine(ctx)) || !restored {
			wait = quarantineRetryDelay
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-s.quarantine.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// reportSync logs the first of a series of failures and reports whether there was none.
func (s *Server) reportSync(failures *int, err error) bool {
	if err == nil {
		*failures = 0
		return true
	}
	if *failures++; *failures == 1 {
		s.log.Info("quarantine.store_lost", "cause", err.Error())
	}
	return false
}

func (s *Server) restoreQuarantine(ctx context.Context) error {
	rows, _, err := s.store.Rows(ctx, Fleet)
	if err != nil {
		return err
	}
	now := time.Now()
	q := s.quarantine
	var causes []string
	q.mu.Lock()
	for _, r := range rows {
		cause, ok := strings.CutPrefix(r.Key, quarantineKeyPrefix)
		if !ok {
			continue
		}
		until, lifted, err := parseQuarantine(r.Value)
		if err != nil {
			s.log.Info("quarantine.unreadable", "row", r.Key, "cause", err.Error())
			continue
		}
		q.stored[cause] = true
		if lifted {
			q.tracker.Lift(now, cause, until)
			continue
		}
		q.tracker.Restore(now, cause, until)
		causes = append(causes, cause)
	}
	q.known = true
	q.mu.Unlock()
	s.logQuarantined(causes, "store")
	return nil
}

// liftByRows lifts the quarantines whose rows an operator has marked.
func (s *Server) liftByRows(ctx context.Context) error {
	q := s.quarantine
	if q.count() == 0 {
		return nil
	}
	rows, err := QuarantineRows(ctx, s.store)
	if err != nil {
		return err
	}
	q.mu.Lock()
	for _, r := range rows {
		if r.Lifted {
			q.stored[r.Cause] = true
			q.tracker.Lift(time.Now(), r.Cause, r.At)
		}
	}
	lifted := q.tracker.Lifted()
	q.mu.Unlock()
	if len(lifted) > 0 {
		s.announceLifted(lifted)
		s.peers.requestUpdate()
	}
	return nil
}

// storeQuarantine writes the rows of newly quarantined causes and deletes those of causes whose
// quarantine has ended.
func (s *Server) storeQuarantine(ctx context.Context) error {
	if err := s.liftByRows(ctx); err != nil {
		return err
	}
	q := s.quarantine
	q.mu.Lock()
	now := time.Now()
	for _, cause := range q.tracker.Expired(now) {
		s.log.Info("quarantine.ended", "cause", cause)
	}
	quarantined := q.tracker.Report(now).Quarantined
	var missing, ended []string
	for cause := range quarantined {
		if !q.stored[cause] {
			missing = append(missing, cause)
		}
	}
	for cause := range q.stored {
		if _, ok := quarantined[cause]; !ok {
			ended = append(ended, cause)
		}
	}
	q.mu.Unlock()
	for _, cause := range missing {
		if _, err := s.store.Create(ctx, Fleet, quarantineKeyPrefix+cause, []byte(quarantined[cause].UTC().Format(time.RFC3339))); err != nil {
			return err
		}
		q.setStored(cause, true)
	}
	for _, cause := range ended {
		if err := s.store.Delete(ctx, Fleet, quarantineKeyPrefix+cause); err != nil {
			return err
		}
		q.setStored(cause, false)
	}
	return nil
}
