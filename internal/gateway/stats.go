package gateway

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayrouter.example/router/internal/errkind"
)

// Bounds of the histograms, in seconds: around the latency targets of plain calls (0.1
// to 0.3) and of streams (0.9).
var latencyBounds = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 0.9, 1.5, 3, 6, 14}

// stats are the counters and histograms of one instance. Labels come from closed lists:
// nothing is counted per account, key, request or endpoint.
type stats struct {
	set *metrics.Set

	requests          map[string]*metrics.Counter // by outcome
	refused           map[errkind.Kind]*metrics.Counter
	sends             *metrics.Counter
	retries           *metrics.Counter
	redirects         *metrics.Counter
	retriesDenied     *metrics.Counter
	ejections         *metrics.Counter
	resumes           *metrics.Counter
	prefills          *metrics.Counter
	prefillsUnfetched *metrics.Counter
	storeFailures     *metrics.Counter
	updatesRefused    *metrics.Counter
	omitted           *metrics.Counter

	callLatency *metrics.PrometheusHistogram
	firstEvent  *metrics.PrometheusHistogram
	longestGap  *metrics.PrometheusHistogram
	queueWait   *metrics.PrometheusHistogram
}

// Outcomes of requests.
const (
	outcomeComplete   = "whole"   // a complete answer was sent
	outcomeRefused    = "refused" // not run
	outcomeFailed     = "failed"  // may have run, and no answer was had
	outcomeTruncated  = "cut"     // the answer broke off
	outcomeCallerGone = "gone"    // the caller left
)

func newStats(s *Server) *stats {
	set := metrics.NewSet()
	m := &stats{
		set:               set,
		requests:          map[string]*metrics.Counter{},
		refused:           map[errkind.Kind]*metrics.Counter{},
		sends:             set.NewCounter("caraway_endpoint_requests_total"),
		retries:           set.NewCounter("caraway_repeats_total"),
		redirects:         set.NewCounter("caraway_redirects_total"),
		retriesDenied:     set.NewCounter("caraway_repeats_refused_total"),
		ejections:         set.NewCounter("caraway_endpoint_ejections_total"),
		resumes:           set.NewCounter("caraway_stream_resumes_total"),
		prefills:          set.NewCounter("caraway_prefills_total"),
		prefillsUnfetched: set.NewCounter("caraway_prefills_unfetched_total"),
		storeFailures:     set.NewCounter("caraway_store_failures_total"),
		updatesRefused:    set.NewCounter("caraway_updates_refused_total"),
		omitted:           set.NewCounter("caraway_log_requests_omitted_total"),
		callLatency:       set.NewPrometheusHistogramExt("caraway_plain_request_seconds", latencyBounds),
		firstEvent:        set.NewPrometheusHistogramExt("caraway_first_event_seconds", latencyBounds),
		longestGap:        set.NewPrometheusHistogramExt("caraway_longest_pause_seconds", latencyBounds),
		queueWait:         set.NewPrometheusHistogramExt("caraway_place_wait_seconds", latencyBounds),
	}
	for _, o := range []string{outcomeComplete, outcomeRefused, outcomeFailed, outcomeTruncated, outcomeCallerGone} {
		m.requests[o] = set.NewCounter(`caraway_requests_total{outcome="` + o + `"}`)
	}
	for _, k := range errkind.Kinds() {
		m.refused[k] = set.NewCounter(`caraway_errors_total{kind="` + string(k) + `"}`)
	}
	set.NewGauge("caraway_requests_active", func() float64 { return float64(s.active.Load()) })
	set.NewGauge("caraway_configuration_version", func() float64 { return float64(s.state.Current().Ticket) })
	set.NewGauge("caraway_endpoints", func() float64 { return float64(len(s.state.Current().Endpoints)) })
	set.NewGauge("caraway_instances", func() float64 { return float64(s.peers.fleetSize()) })
	set.NewGauge("caraway_waiting", func() float64 { return float64(s.admission.queueLength()) })
	set.NewGauge("caraway_store_away", func() float64 {
		if s.state.storeUnavailable() {
			return 1
		}
		return 0
	})
	return m
}

func (m *stats) write(w io.Writer) { m.set.WritePrometheus(w) }

// Log lines of routine requests: up to logRate requests a second write each of their
// decisions at once. Above it only the requests that ended badly, were repeated or were
// slow do, when they end.
const (
	logRate  = 60 // requests a second; some 200 lines and 60 KB
	logBurst = 120
)

// logQuota is a token bucket of requests whose lines are all written.
type logLimiter struct {
	mu     sync.Mutex
	tokens float64
	at     time.Time
}

func (q *logLimiter) allow(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.at.IsZero() {
		q.tokens = logBurst
	} else {
		q.tokens = min(logBurst, q.tokens+logRate*now.Sub(q.at).Seconds())
	}
	q.at = now
	if q.tokens < 1 {
		return false
	}
	q.tokens--
	return true
}
