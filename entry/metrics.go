package entry

import (
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metricSet are the daemon's metrics; docs/METRICS.md documents them.
type metricSet struct {
	requests          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	firstByte, answer *prometheus.HistogramVec
	teardown          *prometheus.HistogramVec
	configuration     prometheus.Gauge
	targets           prometheus.Gauge
	cachedParts       prometheus.Gauge
	boxes             prometheus.Gauge
	evacuated         prometheus.Gauge
	cold              prometheus.Gauge
	peerBytes         *prometheus.CounterVec
	unlogged          prometheus.Counter
	refusals          *prometheus.CounterVec
	replaced          prometheus.Histogram
	orders            *prometheus.CounterVec
	silentConnections *prometheus.CounterVec
	overlong          *prometheus.CounterVec
	cutOff            *prometheus.CounterVec
	endedTargets      prometheus.Counter
	quarantined       prometheus.Gauge
	suspended         prometheus.Counter
	notices           *prometheus.CounterVec
	withheld          *prometheus.CounterVec
	rateLimited       prometheus.Counter
	turnedAway        *prometheus.CounterVec
	permits           *prometheus.CounterVec
	permitSeconds     *prometheus.HistogramVec
	keepersLost       *prometheus.CounterVec
	permitsKept       prometheus.Gauge
	brittlePools      prometheus.Gauge
	canaries          *prometheus.CounterVec
	proofs            *prometheus.CounterVec
	restores          prometheus.Gauge
	rewritten         prometheus.Counter
	waited, pause     *prometheus.HistogramVec
	refused, late     *prometheus.CounterVec
	queued            *prometheus.GaugeVec
	queueEnds         *prometheus.CounterVec
	shortPools        prometheus.Gauge
	copies            *prometheus.CounterVec
	copiedTokens      *prometheus.CounterVec
	slowEngines       prometheus.Gauge
	held              prometheus.Gauge
	unread            prometheus.Counter
	memoryRefused     *prometheus.CounterVec
	lostPools         prometheus.Gauge
	quarantinedParts  prometheus.Gauge
	handedOn          *prometheus.CounterVec
	takenOver         *prometheus.CounterVec
	takenUp           *prometheus.CounterVec
	otherSoftware     *prometheus.CounterVec
	origins           prometheus.Gauge
	originsDropped    prometheus.Counter
	originLookups     *prometheus.CounterVec
}

// latencyBuckets are the latency histograms' buckets in seconds, around the goals of 0.15
// to 0.6 s.
var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.6, 1, 2, 5, 15}

// weightsAgeBuckets are the histogram's buckets in seconds, around the usual bound of 12 s
// for requests on replaced weights.
var weightsAgeBuckets = []float64{0.5, 1.5, 3, 5, 8, 10, 11, 12, 15}

// teardownBuckets are the buckets in seconds of how long work goes on for callers that
// left. It takes some milliseconds; the platform's users count what takes over half a
// second.
var teardownBuckets = []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1}

// waitBuckets are the buckets in seconds of the time in queues: the deadlines of requests that may
// wait are around 10 s.
var waitBuckets = []float64{0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 8, 12}

// pauseBuckets are the buckets in seconds of the longest gap between events, around the goals of
// 0.3 to 0.4 s.
var pauseBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 2, 3, 5}

func newMetricSet(r *prometheus.Registry) metricSet {
	c := metricSet{
		requests:  prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_requests_total", Help: "Requests by pool, status and cause."}, []string{"pool", "status", "cause"}),
		retries:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_retries_total", Help: "Further tries by pool."}, []string{"pool"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "thymewind_entry_first_byte_seconds", Help: "From the request's head to the answer's first byte.", Buckets: latencyBuckets}, []string{"pool"}),
		answer:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "thymewind_entry_answer_seconds", Help: "From the request's head to the answer's end.", Buckets: latencyBuckets}, []string{"pool"}),

		configuration: prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_configuration", Help: "The configuration version in force."}),
		targets:       prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_targets", Help: "Targets known."}),
		cachedParts:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_kept_parts", Help: "Entries of the directory of kept parts."}),
		boxes:         prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_boxes", Help: "Boxes thought to share the work."}),
	}
	c.evacuated = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_evacuated_domains", Help: "Failure domains that get no work, as the operator asks."})
	c.cold = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_cold_targets", Help: "Targets that are cold, or may be."})
	c.peerBytes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_peer_bytes_total", Help: "Bytes between boxes."}, []string{"direction"})
	c.teardown = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "thymewind_entry_caller_left_seconds", Help: "From when a caller was seen to leave until all that was under way for it had ended.", Buckets: teardownBuckets}, []string{"pool"})
	c.unlogged = prometheus.NewCounter(prometheus.CounterOpts{Name: "thymewind_entry_unlogged_total", Help: "Whole answers without a line of their own in the log, as there were many."})
	c.replaced = prometheus.NewHistogram(prometheus.HistogramOpts{Name: "thymewind_entry_replaced_weights_seconds", Help: "How long the weights of a placed request had been replaced by newer ones; only requests on replaced weights count.", Buckets: weightsAgeBuckets})
	c.orders = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_orders_total", Help: "Orders to load weights that this box gave, by outcome."}, []string{"outcome"})
	c.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_refusals_total", Help: "Refused requests by the refusal's code."}, []string{"code"})
	c.silentConnections = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_silent_connections_total", Help: "Connections given up as they said nothing, by what they led to."}, []string{"to"})
	c.overlong = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_overlong_total", Help: "Answers given up as they were longer than allowed, by what sent them and the part that was too long."}, []string{"from", "part"})
	c.cutOff = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_cut_total", Help: "Requests that a target may have run and gave no whole answer to, by pool."}, []string{"pool"})
	c.endedTargets = prometheus.NewCounter(prometheus.CounterOpts{Name: "thymewind_entry_ended_targets_total", Help: "Targets that were found to have ended while requests of this box ran there."})
	c.quarantined = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_quarantined", Help: "Requests, by what they ask for, that are refused as targets ended under them."})
	c.suspended = prometheus.NewCounter(prometheus.CounterOpts{Name: "thymewind_entry_suspended_seconds_total", Help: "For how long the machine was suspended while this process ran."})
	c.notices = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_said_total", Help: "How often targets began to say of themselves that they leave, that they want no requests for a while, or how many they take."}, []string{"said"})
	c.withheld = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_held_back_total", Help: "Requests kept from targets at the last moment, by what these had said of themselves."}, []string{"said"})
	c.rateLimited = prometheus.NewCounter(prometheus.CounterOpts{Name: "thymewind_entry_limited_total", Help: "Requests placed on targets that limit the requests of all boxes."})
	c.turnedAway = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_turned_away_total", Help: "Requests that targets turned away without running them, by pool."}, []string{"pool"})
	c.permits = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_permits_total", Help: "Permits for brittle targets that this box asked for, by pool and result."}, []string{"pool", "result"})
	c.permitSeconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "thymewind_entry_permit_seconds", Help: "How long a request to brittle targets took to get a permit, or to be denied one, by pool.", Buckets: latencyBuckets}, []string{"pool"})
	c.keepersLost = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_keepers_lost_total", Help: "Boxes that this one asked for permits and gave up, by reason."}, []string{"reason"})
	c.permitsKept = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_permits_held", Help: "Permits of all boxes for the brittle targets that this box keeps."})
	c.brittlePools = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_brittle_pools", Help: "Pools with brittle targets, as this box knows."})
	c.canaries = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_canaries_total", Help: "Versions of pools' software that were tried out, by what this box learnt of them."}, []string{"what"})
	c.proofs = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_proofs_total", Help: "Proofs that the configuration in force is the newest, by who read the table service for it."}, []string{"by"})
	c.restores = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_store_restores", Help: "How often the table service was restored from an older copy, as it tells."})
	c.rewritten = prometheus.NewCounter(prometheus.CounterOpts{Name: "thymewind_entry_rows_rewritten_total", Help: "Rows of this box that a restore lost and that it wrote again."})
	c.waited = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "thymewind_entry_wait_seconds", Help: "Time of admitted requests in queues of this system.", Buckets: waitBuckets}, []string{"pool", "priority"})
	c.pause = prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "thymewind_entry_pause_seconds", Help: "The longest gap between two events of a stream.", Buckets: pauseBuckets}, []string{"pool", "priority"})
	c.refused = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_refused_total", Help: "Refused requests by pool, priority and the refusal's code."}, []string{"pool", "priority", "code"})
	c.late = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_late_total", Help: "Complete answers later than their route's goals, by what made them late first."}, []string{"pool", "priority", "cause"})
	c.queued = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "thymewind_entry_queued", Help: "Requests that wait at this box for engine memory, by pool."}, []string{"pool"})
	c.queueEnds = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_queue_ends_total", Help: "Requests that waited at this box or were refused its queue, by pool, priority and how that ended."}, []string{"pool", "priority", "end"})
	c.shortPools = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_short_pools", Help: "Pools for which this box, as the one that places, lately found no room for a request."})
	c.copies = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_copies_total", Help: "Copies of runs at other engines by pool: asked for, used by a run whose engine was lost, or missing then."}, []string{"pool", "end"})
	c.copiedTokens = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_copied_tokens_total", Help: "Memory of the runs for which a copy was asked, in tokens, by pool; each copy is at most that large."}, []string{"pool"})
	c.slowEngines = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_slow_engines", Help: "Engines whose first events came late lately, as far as this box knows."})
	c.held = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_held_bytes", Help: "Bytes held for callers and targets: bodies, answers' buffers, and what the kernel holds for callers that don't read."})
	c.unread = prometheus.NewCounter(prometheus.CounterOpts{Name: "thymewind_entry_unread_total", Help: "Callers' connections ended as their callers did not read their answers."})
	c.memoryRefused = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_memory_refused_total", Help: "Requests refused for want of memory at this box, by the size of their bodies and their priority."}, []string{"size", "priority"})
	c.lostPools = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_lost_pools", Help: "Pools none of whose targets this box reaches."})
	c.quarantinedParts = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_quarantined_parts", Help: "Prompt parts that are refused, as targets ended before requests with them began."})
	c.handedOn = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_handed_on_total", Help: "Requests handed on to other boxes, as this one did not reach their targets, by pool and how that ended."}, []string{"pool", "end"})
	c.takenOver = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_taken_over_total", Help: "Requests that other boxes handed on to this one, by pool and whether they were answered."}, []string{"pool", "outcome"})
	c.takenUp = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_taken_up_total", Help: "Streams that callers took up again, by pool and outcome."}, []string{"pool", "outcome"})
	c.otherSoftware = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_other_software_total", Help: "Targets that continued a stream inside its answer on another software version than it began on, by pool."}, []string{"pool"})
	c.origins = prometheus.NewGauge(prometheus.GaugeOpts{Name: "thymewind_entry_origins", Help: "Streams of which this box keeps on which software version they began."})
	c.originsDropped = prometheus.NewCounter(prometheus.CounterOpts{Name: "thymewind_entry_origins_dropped_total", Help: "Streams of which this box forgot that before their time, as there were too many."})
	c.originLookups = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "thymewind_entry_origin_lookups_total", Help: "Streams to be continued by pool and where it was known from on which software version they began."}, []string{"pool", "from"})
	r.MustRegister(
		c.takenUp, c.otherSoftware, c.origins, c.originsDropped, c.originLookups,
		c.lostPools, c.turnedAway, c.permits, c.permitSeconds, c.keepersLost, c.permitsKept, c.brittlePools, c.quarantinedParts, c.handedOn, c.takenOver,
		c.slowEngines,
		c.queued, c.queueEnds,
		c.held, c.unread, c.memoryRefused,
		c.requests, c.retries, c.firstByte, c.answer, c.configuration, c.targets, c.cachedParts, c.boxes, c.evacuated, c.cold,
		c.waited, c.pause, c.refused, c.late, c.shortPools, c.copies, c.copiedTokens,
		c.peerBytes, c.unlogged, c.replaced, c.orders, c.refusals, c.silentConnections, c.overlong, c.teardown, c.cutOff, c.endedTargets, c.quarantined, c.suspended, c.notices, c.withheld, c.rateLimited, c.canaries, c.proofs, c.restores, c.rewritten,
	)
	return c
}

// countQuarantined updates the gauge, whenever the set of quarantined requests changes and
// regularly.
func (d *Daemon) countQuarantined(t *tables) {
	d.metrics.quarantined.Set(float64(len(t.quarantine.Refused())))
}

// countTables exports the tables' sizes as metrics.
func (d *Daemon) countTables(t *tables) {
	d.metrics.targets.Set(float64(t.fleet.Len()))
	d.metrics.cold.Set(float64(t.coldTargets(d.now(), d.current.Load())))
	cached := 0
	for name := range t.watched {
		cached += t.directory.Len(name)
	}
	d.metrics.cachedParts.Set(float64(cached))
	d.metrics.boxes.Set(float64(t.boxCount(d.now())))
	d.countQuarantined(t)
}

// ReportSilence records that a connection was closed because it was silent for too long:
// where it led to, and how long was waited. It may be called once Run has begun.
func (d *Daemon) ReportSilence(to, call string, waited time.Duration) {
	d.metrics.silentConnections.WithLabelValues(to).Inc()
	d.Log.Warn("silent connection closed", "to", to, "call", call, "waited", waited)
}

// ReportSilentTarget is ReportSilence for a connection to a target. Requests that wait on
// other connections to it may wait in vain as well.
func (d *Daemon) ReportSilentTarget(at netip.AddrPort, waited time.Duration) {
	d.ReportSilence(ToTarget, at.String(), waited)
	d.post(silenceSeen{at})
}

// ReportOverlong records that an answer was given up because a part of it was too long, and how
// many bytes of it came or were stated. It may be called once Run has begun.
func (d *Daemon) ReportOverlong(from, at, part string, bytes int64) {
	d.metrics.overlong.WithLabelValues(from, part).Inc()
	d.Log.Warn("an answer is too long", "from", from, "at", at, "part", part, "bytes", bytes)
}

// Where connections led to.
const (
	ToTableService = "table service"
	ToTarget       = "target"
	ToBox          = "box"
)
