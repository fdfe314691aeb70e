package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/time/rate"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/handoff"
	"github.com/thymewind/thymewind/heldbytes"
	"github.com/thymewind/thymewind/intake"
	"github.com/thymewind/thymewind/lease"
	"github.com/thymewind/thymewind/leastrequest"
	"github.com/thymewind/thymewind/minlatency"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/permit"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/readlimit"
	"github.com/thymewind/thymewind/retry"
	"github.com/thymewind/thymewind/retryafter"
	"github.com/thymewind/thymewind/rollout"
	"github.com/thymewind/thymewind/routing"
	"github.com/thymewind/thymewind/strict"
)

const (
	// messageBuffer is how many messages may be queued for the loop before senders block.
	messageBuffer = 1024
	// proofMargin is subtracted from the bound after which keys are not trusted, for the
	// time between the check and the start of the target's work.
	proofMargin = 700 * time.Millisecond
	// answerMargin is the same for this box's own answers, for which no target has to start
	// work first.
	answerMargin = 100 * time.Millisecond
	// answerLogRate limits the log lines for complete answers a second; a line costs about
	// 10 us.
	answerLogRate = 100
	// retryUtilization is the share of the retry budget that the boxes use together. The rest
	// covers boxes that are not counted yet.
	retryUtilization = 0.7
	// leaseTTL and leaseMargin are short, as nobody gives orders until a successor has
	// taken the lease, which takes 2.4 s. A renewal takes up to 0.3 s when the table service
	// is slow. Orders of two holders to the same target are kept further apart; see
	// barRecentlyOrdered.
	leaseTTL    = 2 * time.Second
	leaseMargin = 400 * time.Millisecond
	// boxReadShare is the share of the box's memory for messages of other boxes that are being read.
	boxReadShare = 1.0 / 16
)

// Front builds the callers' handler from the function that serves a call, the clock, and
// whether connections should close after their answer.
type Front func(serve func(ctx context.Context, w http.ResponseWriter, call *deliver.Call) error, now func() time.Time, closing func() bool) http.Handler

// components are the packages that the daemon is built from.
type components struct {
	now func() time.Time
	// suspended returns for how long the machine has been suspended in total.
	suspended func() time.Duration
	startedAt time.Time
	systems   []system
	outage    outage
	lease     lease.Lease
	plan      rollout.Plan
	engines   affinity.Chooser
	services  leastrequest.Chooser
	budget    retry.Budget
	// sharedRetryBudget is what a hub holds for its spokes, or what a spoke's requests have
	// deposited since its last gossip; retryBudget says which applies.
	sharedRetryBudget retry.SharedBudget
	retryBudget       atomic.Pointer[retryBudgetSource]
	server            deliver.Server
	retryEstimator    retryafter.Estimator
	minAnswerTimes    minlatency.Tracker
	// held counts the bytes held for callers and targets, callers watches how callers read.
	held    heldbytes.Ledger
	callers callerConns
	// gate bounds what the clients of all listeners have this box hold.
	gate intake.Gate
	// notices are the targets' signals about themselves.
	notices notice.Registry
	peers   peer.Node
	// permits are this box's requests at targets, keeper gives out the room of the brittle ones that
	// this box keeps.
	permits *permits
	keeper  permit.Keeper
	// handoff hands requests on to other boxes and serves theirs.
	handoff handoff.Node
	// wholeReads bounds the reads of whole sources.
	wholeReads wholeReads
	hooks
	// oneIn returns true once in oneIn times on average.
	oneIn func(oneIn int) bool
	// random returns a random number in [0, 1).
	random func() float64
	// logLimiter limits the log lines for complete answers; all others are written.
	logLimiter *rate.Limiter
}

// build assembles the components.
func (d *Daemon) build() {
	d.now = boottime.Now
	d.suspended = boottime.Suspended
	d.startedAt = d.now()
	d.bounds.Store(&d.Settings.Bounds)
	d.tables = newTables()
	d.tables.self = d.Settings.Name
	d.tables.orders.Apart = d.ordersApart
	d.tables.regions[d.Settings.Domain] = d.Settings.Region
	d.messages = make(chan message, messageBuffer)
	d.hooks = newHooks()
	d.quarantinedPart = d.refusedPart
	d.metrics = newMetricSet(d.Registry)
	d.permits = newPermits(rand.Uint64())
	d.brittleView.Store(&brittleView{})
	d.ended = make(chan struct{})
	d.wholeReads = newWholeReads(d.Settings.Box.Megabits)
	d.systems = []system{d.sweep, d.noteReach, d.probeLost, d.updateInUse, d.probeSilent, d.rollWeights, d.pollLoading, d.judgeRefusals, d.probeReported, d.probeSuspects, d.rereadIfBehind, d.catchUp, d.judgeCanaries, d.reportCrashes, d.noteSuspension, d.updateRole, d.borrowTokens, d.expireCopies, d.updateBrittle, d.renewPermits, d.announceVersions, d.expireOrigins, d.retellOrigins, d.gossip, d.reapRequests, d.tendQueues, d.endUnread, d.reportClosed}
	d.plan = rollout.Plan{MinConcurrent: concurrentLoads, ConcurrentShare: concurrentLoadShare}
	d.services = leastrequest.Chooser{Domain: d.Settings.Domain, Self: placement.Hash(d.Settings.Name)}
	d.tables.prefillBacklog.TokenTime = d.prefillPerToken
	d.engines = affinity.Chooser{
		Directory:        d.tables.directory,
		Stores:           func() []*affinity.Source { return d.tables.stores },
		TransferPerToken: func() time.Duration { return d.tables.engineTransferPerToken },
		Slack:            affinity.Slack,
		AllowSave:        allSources, AllowStoreFetch: allSources, AllowEngineFetch: allSources,
		PrefillPerToken: d.prefillPerToken,
		FirstEventBase:  func() time.Duration { base, _ := d.tables.throughput.Prefill(); return base },
		Slowdown:        func(now time.Time, source string) float64 { return d.tables.slowdown(now, source) },
		EngineSlowdown:  func(now time.Time, x *fleet.Target) (float64, float64) { return d.engineSlowdown(now, &d.tables, x) },
		Load:            func(now time.Time, x *fleet.Target) (int, int) { return d.load(now, &d.tables, x) },
	}
	d.budget = retry.Budget{
		Share: d.bounds.Load().RetryShare * retryUtilization,
		Burst: d.retryBurst(d.startedAt, &d.tables), StartEmpty: true,
	}
	d.oneIn = func(oneIn int) bool { return rand.N(oneIn) == 0 }
	d.random = rand.Float64
	d.retryEstimator = retryafter.Estimator{Draw: d.random}
	d.retryEstimator.Started(d.startedAt, noConfiguration)
	d.logLimiter = rate.NewLimiter(answerLogRate, answerLogRate)
	d.buildLease()
	memory := int64(d.Settings.Box.MemoryMB) << 20
	d.held.Limit = heldbytes.LimitOf(memory)
	d.gate = intake.Gate{Limits: d.Settings.Clients.For(memory, d.Settings.Box.Descriptors), Ledger: &d.held, Now: d.now}
	d.Registry.MustRegister(d.gate.Collectors("thymewind_entry")...)
	d.callers.held = &d.held
	d.buildServer()
	d.buildPeers()
	d.buildHandoff()
	d.ablate()
}

// allSources allows every source.
func allSources(*affinity.Source) bool { return true }

// boxClient returns a client that dials other boxes.
func (d *Daemon) boxClient() *http.Client {
	return &http.Client{Transport: strict.New(&http.Transport{MaxResponseHeaderBytes: d.Settings.Reads.HeadBytes})}
}

func (d *Daemon) buildPeers() {
	d.peers = peer.Node{
		Handle: d.answerPeer, HTTP: d.boxClient(), Scheme: "ws",
		MaxMessage: d.Settings.Reads.CallBytes, ReadBudget: readlimit.Budget{Bytes: int64(boxReadShare * float64(d.Settings.Box.MemoryMB<<20))},
		CredentialFunc: d.shownCredential,
		OnSilent:       func(at netip.AddrPort, waited time.Duration) { d.ReportSilence(ToBox, at.String(), waited) },
		OnSent:         func(n int) { d.metrics.peerBytes.WithLabelValues("sent").Add(float64(n)) },
		OnReceived:     func(n int) { d.metrics.peerBytes.WithLabelValues("received").Add(float64(n)) },
	}
}

// shownCredential returns the credential that authenticates this box to others. Until it was
// read, that is the empty string, which they refuse.
func (d *Daemon) shownCredential() string {
	if credential := d.credential.Load(); credential != nil {
		return *credential
	}
	return ""
}

// buildLease prepares the lease of the rollout.
func (d *Daemon) buildLease() {
	d.lease = lease.Lease{
		Name: "weights", Holder: d.Settings.Name, Margin: leaseMargin, TTL: leaseTTL,
		Commit: d.Platform.Commit, Read: d.Platform.Read, Nonce: func() string { return ulid.Make().String() }, Now: d.now,
	}
}

func (d *Daemon) buildServer() {
	d.server = deliver.Server{
		Configuration: d.current.Proved, Current: d.configurationCurrent, KeysFresh: d.keysFresh, ConfigurationFresh: d.configurationFresh, Place: d.requestPlacement, Send: d.send,
		FirstEvent: d.firstEventCame,
		Continued:  func(job *deliver.Job, software string) { d.post(streamContinued{job, software}) },
		Began:      func(p deliver.Placement) { d.attemptBegan(p); d.post(answerBegan{p}) },
		Ended:      func(e deliver.AttemptResult) { d.attemptOver(e); d.post(attemptEnded{e}) },
		PlaceCopy:  d.requestCopy,
		Suspect:    d.isSuspect, MinAnswerTime: d.minAnswerTime,
		Spend: d.spend, Refund: d.refund, Earn: d.earn,
		Now: d.now, Random: rand.Uint64, RetryAfter: d.retryAfter, RecordOutcome: d.recordOutcome, Retried: d.recordRetry,
		Held: &d.held, MemoryRefused: d.countMemoryRefused, Admit: d.gate.Admit,
	}
}

// keysFresh says that API keys may be trusted: no key in a configuration can have been revoked
// for so long that it must not be honoured any more.
func (d *Daemon) keysFresh(now time.Time, proved *routing.Proved) bool {
	return provedWithin(now, proved, d.bounds.Load().RevokedWithin, proofMargin)
}

// configurationFresh says that a configuration includes everything that was configured long
// enough ago to be mandatory.
func (d *Daemon) configurationFresh(now time.Time, proved *routing.Proved) bool {
	return provedWithin(now, proved, d.bounds.Load().AppliedWithin, answerMargin)
}

// configurationCurrent says that requests may still be handled by a configuration: no later one has
// been known to exist for so long that it must be in force.
func (d *Daemon) configurationCurrent(now time.Time, proved *routing.Proved) bool {
	within := d.bounds.Load().AppliedWithin
	return within == 0 || proved.SupersededAt.IsZero() || now.Sub(proved.SupersededAt) < within-proofMargin
}

// provedWithin says that a configuration was known to be the newest within a bound less a
// margin; zero is no bound.
func provedWithin(now time.Time, proved *routing.Proved, bound, margin time.Duration) bool {
	if bound == 0 {
		return true
	}
	return proved != nil && !proved.At.IsZero() && now.Sub(proved.At) < bound-margin
}

// jitter returns a random time below the given one.
func (d *Daemon) jitter(below time.Duration) time.Duration { return rand.N(below) }

// uptime is this process's own clock, to which the tables' clock offset refers.
func (d *Daemon) uptime(now time.Time) time.Duration { return now.Sub(d.startedAt) }

// version is the version of the configuration in force, or zero.
func (d *Daemon) version() int64 {
	if table := d.current.Load(); table != nil {
		return table.Version
	}
	return 0
}

// neverProved is the age that a box without any proof tells other boxes, far beyond all bounds.
const neverProved = time.Hour

// proofAge is provedAgo as this box tells it to other boxes: they must not take the time since
// it started for the age of a proof.
func (d *Daemon) proofAge(now time.Time) time.Duration {
	if _, ever := d.current.ProvedAt(); !ever {
		return neverProved
	}
	return d.provedAgo(now)
}

// provedAgo is how long ago the configuration was last known to be the newest, or how long this
// box has run if it never was.
func (d *Daemon) provedAgo(now time.Time) time.Duration {
	if proved, ever := d.current.ProvedAt(); ever {
		return now.Sub(proved)
	}
	return d.uptime(now)
}
