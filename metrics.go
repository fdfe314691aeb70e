package thymewind

import "github.com/prometheus/client_golang/prometheus"

// metricSet are the daemon's metrics. docs/METRICS.md says what each means.
type metricSet struct {
	revision, peers                     prometheus.Gauge
	usable, inFlight                    *prometheus.GaugeVec
	placed, refused, retries, tokens    *prometheus.CounterVec
	platformErrors, peerBytes           *prometheus.CounterVec
	loadErrors, chargesLost, retrySpent prometheus.Counter
	firstToken                          *prometheus.HistogramVec
	leases, cacheEvents                 *prometheus.CounterVec
}

// newMetricSet registers the metrics.
func newMetricSet(r *prometheus.Registry) metricSet {
	c := metricSet{
		revision: prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_configuration_revision", Help: "Configuration revision in force."}),
		peers:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_peers", Help: "Other entry boxes listed."}),
		usable:   gauges("thymewind_targets_usable", "Targets that take new work.", "pool"),
		inFlight: gauges("thymewind_requests_in_flight", "Requests under way on this box.", "pool"),
		placed:   counts("thymewind_placed_total", "Attempts placed, by rule.", "pool", "rule"),
		refused:  counts("thymewind_refused_total", "Requests given up, by code and outcome.", "code", "outcome"),
		retries:  counts("thymewind_retries_total", "Further attempts.", "pool"),
		tokens:   counts("thymewind_prompt_tokens_total", "Prompt tokens by where their cache came from.", "pool", "source"),

		platformErrors: counts("thymewind_platform_errors_total", "Failed calls to the platform.", "call"),
		peerBytes:      counts("thymewind_peer_bytes_total", "Bytes exchanged with peers.", "direction"),
		leases:         counts("thymewind_leases_total", "Leases taken and lost.", "event"),
		cacheEvents:    counts("thymewind_kept_total", "Kept cache: exported, found, missed, dropped.", "event"),

		loadErrors:  prometheus.NewCounter(prometheus.CounterOpts{Name: "thymewind_load_errors_total", Help: "Load reports that could not be read."}),
		chargesLost: prometheus.NewCounter(prometheus.CounterOpts{Name: "thymewind_charges_lost_total", Help: "Charges dropped because the buffer was full."}),
		retrySpent:  prometheus.NewCounter(prometheus.CounterOpts{Name: "thymewind_retry_budget_spent_total", Help: "Retries not made because the budget was spent."}),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "thymewind_first_token_seconds", Help: "Time from sending a request to its first text.",
			Buckets: []float64{.005, .01, .025, .05, .1, .2, .31, .5, 1, 2.5, 5},
		}, []string{"pool"}),
	}
	r.MustRegister(c.revision, c.peers, c.usable, c.inFlight, c.placed, c.refused, c.retries, c.tokens,
		c.platformErrors, c.peerBytes, c.loadErrors, c.chargesLost, c.retrySpent, c.firstToken, c.leases, c.cacheEvents)
	return c
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}

func counts(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}
