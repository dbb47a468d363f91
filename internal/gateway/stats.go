package gateway

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"carawayrouter.example/router/internal/endpointload"
	"carawayrouter.example/router/internal/errkind"
	"carawayrouter.example/router/internal/scarcity"
)

// latencyBounds are the bounds of the histograms, in seconds. They are densest around the
// latency targets of service calls (0.1 to 0.3) and streams (0.9).
var latencyBounds = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 0.9, 1.5, 3, 6, 14}

// stats are the counters and histograms of one instance. Label values come from fixed sets;
// there are no labels for accounts, keys, requests or endpoints.
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
	wrongEventIDs     *metrics.Counter
	prefills          *metrics.Counter
	prefillsUnfetched *metrics.Counter
	storeFailures     *metrics.Counter
	updatesRefused    *metrics.Counter
	omitted           *metrics.Counter
	tokensCharged     *metrics.Counter
	crashes           *metrics.Counter
	pauses            *metrics.Counter
	coldTurnsRefused  *metrics.Counter
	coldUnreadable    *metrics.Counter
	memoryShort       *metrics.Counter
	stalledCallers    *metrics.Counter
	acceptFailures    *metrics.Counter
	yieldedConns      *metrics.Counter
	evacuationRows    *metrics.Counter // ignored
	loadsMalformed    *metrics.Counter
	loadReports       map[endpointload.Source]*metrics.Counter
	byRank            map[string]map[string]*metrics.Counter // generations of pools with several ranks
	closedAnswers     map[bool]*metrics.Counter              // answers without a length, by whether their end was confirmed

	callLatency *metrics.PrometheusHistogram
	firstEvent  *metrics.PrometheusHistogram
	longestGap  *metrics.PrometheusHistogram
	queueWait   *metrics.PrometheusHistogram
	reportAge   *metrics.PrometheusHistogram
}

// Outcomes of requests.
const (
	outcomeComplete   = "whole"   // a complete response was sent
	outcomeRefused    = "refused" // not run
	outcomeFailed     = "failed"  // may have run, but no response was received
	outcomeTruncated  = "cut"     // the response ended early
	outcomeCallerGone = "gone"    // the caller disconnected
)

// Ranks in metrics.
const (
	rankBest      = "best"
	rankLower     = "lower"
	rankOverLimit = "over_limit"
)

// rankLabel returns the label of a level of urgency.
func rankLabel(level int) string {
	switch level {
	case 1:
		return rankBest
	case scarcity.Levels:
		return rankOverLimit
	}
	return rankLower
}

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
		wrongEventIDs:     set.NewCounter("caraway_event_ids_wrong_total"),
		prefills:          set.NewCounter("caraway_prefills_total"),
		prefillsUnfetched: set.NewCounter("caraway_prefills_unfetched_total"),
		storeFailures:     set.NewCounter("caraway_store_failures_total"),
		updatesRefused:    set.NewCounter("caraway_updates_refused_total"),
		omitted:           set.NewCounter("caraway_log_requests_omitted_total"),
		tokensCharged:     set.NewCounter("caraway_tokens_charged_total"),
		crashes:           set.NewCounter("caraway_endpoint_crashes_total"),
		pauses:            set.NewCounter("caraway_endpoint_pauses_total"),
		coldTurnsRefused:  set.NewCounter("caraway_cold_turns_refused_total"),
		coldUnreadable:    set.NewCounter("caraway_cold_times_unreadable_total"),
		memoryShort:       set.NewCounter("caraway_body_memory_short_total"),
		stalledCallers:    set.NewCounter("caraway_callers_stalled_total"),
		acceptFailures:    set.NewCounter("caraway_accept_failures_total"),
		evacuationRows:    set.NewCounter("caraway_evacuation_rows_ignored_total"),
		yieldedConns:      set.NewCounter("caraway_idle_connections_closed_total"),
		loadsMalformed:    set.NewCounter("caraway_endpoint_loads_malformed_total"),
		loadReports:       map[endpointload.Source]*metrics.Counter{},
		callLatency:       set.NewPrometheusHistogramExt("caraway_plain_request_seconds", latencyBounds),
		firstEvent:        set.NewPrometheusHistogramExt("caraway_first_event_seconds", latencyBounds),
		longestGap:        set.NewPrometheusHistogramExt("caraway_longest_pause_seconds", latencyBounds),
		reportAge:         set.NewPrometheusHistogramExt("caraway_endpoint_report_age_seconds", latencyBounds),
		queueWait:         set.NewPrometheusHistogramExt("caraway_place_wait_seconds", latencyBounds),
	}
	m.closedAnswers = map[bool]*metrics.Counter{
		true:  set.NewCounter(`caraway_answers_without_length_total{end="confirmed"}`),
		false: set.NewCounter(`caraway_answers_without_length_total{end="broken"}`),
	}
	m.byRank = map[string]map[string]*metrics.Counter{}
	for _, rank := range []string{rankBest, rankLower, rankOverLimit} {
		m.byRank[rank] = map[string]*metrics.Counter{}
		for _, what := range []string{"arrived", "on_time", "waited", "refused"} {
			m.byRank[rank][what] = set.NewCounter(`caraway_generations_by_rank_total{rank="` + rank + `",what="` + what + `"}`)
		}
	}
	for _, o := range []string{outcomeComplete, outcomeRefused, outcomeFailed, outcomeTruncated, outcomeCallerGone} {
		m.requests[o] = set.NewCounter(`caraway_requests_total{outcome="` + o + `"}`)
	}
	for _, source := range endpointload.Sources {
		m.loadReports[source] = set.NewCounter(`caraway_endpoint_load_reports_total{source="` + source.String() + `"}`)
	}
	for _, k := range errkind.Kinds() {
		m.refused[k] = set.NewCounter(`caraway_errors_total{kind="` + string(k) + `"}`)
	}
	set.NewGauge("caraway_body_memory_bytes", func() float64 { return float64(s.upstream.memory.inUse()) })
	if ahead := s.upstream.ahead; ahead != nil {
		set.NewGauge("caraway_read_ahead_bytes", func() float64 { return float64(ahead.Used()) })
	}
	set.NewGauge("caraway_requests_active", func() float64 { return float64(s.active.Load()) })
	set.NewGauge("caraway_configuration_version", func() float64 { return float64(s.state.Current().Ticket) })
	set.NewGauge("caraway_endpoints", func() float64 { return float64(len(s.state.Current().Endpoints)) })
	set.NewGauge("caraway_endpoints_detoured", func() float64 { return float64(len(s.upstream.paths.detoured())) })
	set.NewGauge("caraway_tunnels", func() float64 { return float64(s.peers.tunnels.Load()) })
	set.NewGauge("caraway_endpoints_unreachable", func() float64 { return float64(s.unreachable.Load()) })
	set.NewGauge("caraway_instances", func() float64 { return float64(s.peers.fleetSize()) })
	set.NewGauge("caraway_waiting", func() float64 { return float64(s.admission.queueLength()) })
	set.NewGauge("caraway_endpoints_withheld", func() float64 { return float64(s.state.countWithheld()) })
	set.NewGauge("caraway_endpoints_limited", func() float64 { return float64(s.admission.countLimited()) })
	set.NewGauge("caraway_endpoints_cold", func() float64 { return float64(s.admission.countCold()) })
	set.NewGauge("caraway_quarantined_causes", func() float64 { return float64(s.quarantine.count()) })
	set.NewGauge("caraway_evacuated_data_centres", func() float64 { return float64(len(s.evacuation.inForce())) })
	set.NewGauge("caraway_evacuated_requests", func() float64 { return float64(s.admission.countInEvacuated()) })
	set.NewGauge("caraway_store_away", func() float64 {
		if s.state.storeUnavailable() {
			return 1
		}
		return 0
	})
	return m
}

func (m *stats) write(w io.Writer) { m.set.WritePrometheus(w) }

// Up to logRate requests per second write their log lines immediately. Above that rate only
// requests that failed, were retried or were slow are logged, when they end.
const (
	logRate  = 60 // requests per second; about 200 lines and 60 KB
	logBurst = 120
)

// logLimiter is a token bucket of requests that log all their lines.
type logLimiter struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

func (l *logLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refilledAt.IsZero() {
		l.tokens = logBurst
	} else {
		l.tokens = min(logBurst, l.tokens+logRate*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
