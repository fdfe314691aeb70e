package thymewind

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/ulid/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/caller"
	"github.com/thymewind/thymewind/charge"
	"github.com/thymewind/thymewind/claim"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/dispatch"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/forward"
	"github.com/thymewind/thymewind/heldbytes"
	"github.com/thymewind/thymewind/idempotency"
	"github.com/thymewind/thymewind/intake"
	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/relay"
	"github.com/thymewind/thymewind/resume"
	"github.com/thymewind/thymewind/retention"
	"github.com/thymewind/thymewind/retry"
	"github.com/thymewind/thymewind/stream"
	"github.com/thymewind/thymewind/strict"
	"github.com/thymewind/thymewind/table"
	"github.com/thymewind/thymewind/target"
)

// Fixed limits of the daemon.
const (
	maxAttempts         = 3
	maxResumes          = 2
	dialTimeout         = time.Second
	tableTimeout        = 2 * time.Second
	stallTimeout        = 2 * time.Second
	cancelTimeout       = 500 * time.Millisecond
	claimRetention      = 30 * time.Second
	resumeRetention     = 30 * time.Second
	retryShare          = 0.1
	retryBurst          = 20
	messageQueueSize    = 1024
	maxBufferedAccounts = 50000
	// maxHeadBytes bounds the head of an answer of the table service, engines, store boxes and peers.
	maxHeadBytes = 32 << 10
)

// components are what the daemon is assembled from.
type components struct {
	now     func() time.Time
	random  func() uint64
	systems []system
	// supersedes reports whether a revision may replace the one in force.
	supersedes func(next, current *configuration.Configuration) bool
	// shutdown closes a server's listener and waits until its last request is done.
	shutdown func(s *http.Server, ctx context.Context) error
	chooser  placement.Chooser
	boxes    boxes.List
	table    table.Client
	rows     configuration.Rows
	engines  engine.Client
	stores   kvcache.Client
	ledger   charge.Ledger
	claims   claim.Store
	budget   retry.Budget
	peers    peer.Node
	signer   resume.Signer
	permits  idempotency.Guard
	notices  notice.Registry
	relay    relay.Relay
	forward  forward.Forwarder
	front    caller.Front
	// held counts the bytes of requests' heads and bodies, gate bounds what clients have this process
	// hold.
	held heldbytes.Ledger
	gate intake.Gate
}

// build assembles the daemon.
func (d *Daemon) build() error {
	d.now = boottime.Now
	d.random = rand.Uint64
	d.messages = make(chan message, messageQueueSize)
	d.metrics = newMetricSet(d.Registry)
	d.records = decision.Ring{Size: d.Settings.Limits.Records, Box: d.Settings.Name}
	d.tables = tables{pending: make(map[string]bool), dutiesByName: make(map[string]*duty), tombstones: make(map[string]tombstone), crashes: newCrashState()}
	d.supersedes = (*configuration.Configuration).Supersedes
	d.shutdown = (*http.Server).Shutdown
	d.buildScheduler()
	d.budget = retry.Budget{Share: retryShare, Burst: retryBurst}
	d.systems = []system{d.pollPlatform, d.pollLoads, d.gossip, d.renewLeases, d.advanceRollouts, d.processCharges, d.expireCrashes, d.expireLimits, d.checkCapacity, d.updateMetrics, d.reportClosed}
	d.buildGate()
	d.buildPlatform()
	d.buildLedger()
	if err := d.buildPeers(); err != nil {
		return trace.Wrap(err)
	}
	d.buildRequests()
	return nil
}

// buildGate bounds what clients may have this process hold.
func (d *Daemon) buildGate() {
	memory := int64(d.Settings.Box.MemoryMB) << 20
	d.held.Limit = heldbytes.LimitOf(memory)
	d.gate = intake.Gate{Limits: d.Settings.Clients.For(memory, d.Settings.Box.Descriptors), Ledger: &d.held, Now: d.now}
	d.Registry.MustRegister(d.gate.Collectors("thymewind")...)
	d.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "thymewind_held_bytes", Help: "Bytes counted for heads and bodies of requests."}, func() float64 {
		return float64(d.held.Held())
	}))
}

// buildScheduler sets up the scheduler that places requests.
func (d *Daemon) buildScheduler() {
	d.chooser = placement.Chooser{Usable: (*target.Target).Usable, Wait: d.tables.Wait}
	b := &d.tables.Scheduler
	b.Choose = d.chooseAndCount
	b.Scope = prefix.Scope
	b.Keep = (*retention.Policy).Keep
	b.Boxes = d.tables.boxCount
	b.Others = func(pool string) dispatch.Usage { return d.tables.othersUsage(d.now(), pool) }
	b.RateShare = d.rateShare
	b.Limit = func(account string, bound int) int { return d.tables.limitShare(d.now(), account, bound) }
	b.Jitter = d.jitter
	b.Record = d.records.Add
	b.OnFailing = func(name string) { d.Log.Warn("target fails", "target", name) }
	b.OnLeaving = func(name, source string) { d.Log.Info("target is leaving", "target", name, "heard", source) }
	b.Init()
}

// chooseAndCount chooses a target and counts the choice by its rule.
func (d *Daemon) chooseAndCount(now time.Time, request placement.Request, targets []*target.Target) (placement.Choice, error) {
	choice, err := d.chooser.Choose(now, request, targets)
	if err == nil {
		d.metrics.placed.WithLabelValues(targets[choice.Index].Pool, choice.Rule).Inc()
	}
	return choice, trace.Wrap(err)
}

func (d *Daemon) buildPlatform() {
	client := &http.Client{Timeout: tableTimeout, Transport: strict.New(&http.Transport{MaxResponseHeaderBytes: maxHeadBytes})}
	d.boxes = boxes.List{Base: d.Settings.Platform, HTTP: client}
	d.table = table.Client{Base: d.Settings.Platform, HTTP: client}
	d.rows = configuration.Rows{
		Commit: d.table.Commit, Read: d.table.Read, List: d.table.List, ListAll: d.table.ListAll, Wait: wait,
	}
	d.claims = claim.Store{
		Commit: d.table.Commit, Read: d.table.Read, Nonce: newID, Now: d.now,
		Box: d.Settings.Name, Timeout: tableTimeout, OrphanTTL: claimRetention,
	}
}

// buildLedger creates the ledger. Its incarnation is unique to this run of the
// process.
func (d *Daemon) buildLedger() {
	d.ledger = charge.Ledger{
		Incarnation: d.Settings.Name + "-" + newID(), Commit: d.table.Commit, Read: d.table.Read, ListAll: d.table.ListAll,
		MaxAccounts: maxBufferedAccounts, OnLost: func(n int) { d.metrics.chargesLost.Add(float64(n)) },
	}
}

func (d *Daemon) buildPeers() error {
	d.peers = peer.Node{
		Credential: d.Settings.PeerCredential, Handle: d.answerPeer, HTTP: peerClient(nil), Scheme: "ws",
		OnSent:     func(n int) { d.metrics.peerBytes.WithLabelValues("sent").Add(float64(n)) },
		OnReceived: func(n int) { d.metrics.peerBytes.WithLabelValues("received").Add(float64(n)) },
	}
	if d.Settings.TLS.Peers.Certificate == "" {
		return nil
	}
	client, err := peerTLS(d.Settings.TLS)
	d.peers.HTTP, d.peers.Scheme = client, "wss"
	return trace.Wrap(err)
}

func (d *Daemon) buildRequests() {
	dialer := net.Dialer{Timeout: dialTimeout}
	d.engines = engine.Client{HTTP: &http.Client{Transport: strict.New(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	})}}
	d.stores = kvcache.Client{HTTP: d.engines.HTTP}
	for _, key := range d.Settings.TokenKeys {
		d.signer.Keys = append(d.signer.Keys, []byte(key))
	}
	retryAfter := func() time.Duration { return d.jitter(time.Second) }
	d.relay = relay.Relay{
		Place: d.requestPlacement, Generate: d.engines.Generate, Resume: d.resumeRun, Cancel: d.engines.Cancel,
		Accept:       (*stream.Checker).Accept,
		StallTimeout: stallTimeout,
		OnEnded:      d.reportEnded, OnSignals: d.reportSignals, Allow: d.allow, Retry: d.spendRetry, Now: d.now, MaxAttempts: maxAttempts, MaxResumes: maxResumes,
		CancelTimeout: cancelTimeout, RetryAfter: retryAfter,
	}
	sender := forward.Sender{Dial: dialer.DialContext}
	d.permits = idempotency.Guard{
		Lookup: d.claims.Lookup, Take: d.claims.Take, Release: d.claims.Release, Finish: d.claims.Finish,
		Record: d.records.Add, Timeout: tableTimeout, RetryAfter: retryAfter,
	}
	d.forward = forward.Forwarder{
		Place: d.requestPlacement, OnEnded: d.reportEnded, OnSignals: d.reportSignals, Allow: d.allow, Permits: &d.permits, Send: sender.Send, Retry: d.spendRetry, Gate: &d.gate,
		MaxAttempts: maxAttempts, RetryAfter: retryAfter,
	}
	d.front = caller.Front{
		Configuration: d.current.Load, Permits: &d.permits, Run: d.relay.Run, Forward: d.forward.Serve, Resume: d.resumeStream,
		SignToken: d.signer.Sign, VerifyToken: d.signer.Check, OnRefused: d.recordRefused, RequestID: newID, Now: d.now,
		Gate: &d.gate, RetryAfter: retryAfter, MaxBodyBytes: d.Settings.Limits.BodyBytes, Timeout: d.Settings.Timing.Request, ResumeRetention: resumeRetention,
	}
}

// newID returns a globally unique ID.
func newID() string { return ulid.Make().String() }

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func (d *Daemon) jitter(mean time.Duration) time.Duration {
	if mean <= 0 {
		return 0
	}
	return mean/2 + time.Duration(d.random()%uint64(mean))
}

// wait sleeps for a while, or until ctx ends, and then returns ctx's error.
func wait(ctx context.Context, pause time.Duration) error {
	select {
	case <-time.After(pause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
