package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/backlog"
	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/clockbound"
	"github.com/thymewind/thymewind/congestion"
	"github.com/thymewind/thymewind/crash"
	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/engineslow"
	"github.com/thymewind/thymewind/fairshare"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/grace"
	"github.com/thymewind/thymewind/headroom"
	"github.com/thymewind/thymewind/helper"
	"github.com/thymewind/thymewind/origin"
	"github.com/thymewind/thymewind/outlier"
	"github.com/thymewind/thymewind/overdue"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/peerload"
	"github.com/thymewind/thymewind/poison"
	"github.com/thymewind/thymewind/quarantine"
	"github.com/thymewind/thymewind/reach"
	"github.com/thymewind/thymewind/returning"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/runcopy"
	"github.com/thymewind/thymewind/slowstart"
	"github.com/thymewind/thymewind/superseded"
	"github.com/thymewind/thymewind/takeover"
	"github.com/thymewind/thymewind/throughput"
)

// tables are the state that the loop owns. Only the loop accesses them.
type tables struct {
	fleet     *fleet.Fleet
	directory *directory.Directory
	// stores are the stores of cached parts, sorted by name.
	stores []*affinity.Source
	// engineTransferPerToken is the time to transfer one token between engines.
	engineTransferPerToken time.Duration
	// targetsInUse are the targets, by ID, that this box's requests may use something of.
	// Gossip each tick covers only these, so its cost depends on the work in flight, not on
	// the number of targets.
	targetsInUse map[string]*fleet.Target
	// watched are the sources whose cache events are read, with the function that stops that.
	watched map[string]context.CancelFunc
	// loading are the targets that load weights by another box's order, with the time at
	// which each is next asked whether it has done so.
	loading map[string]time.Time
	// weights are the rollouts of the models whose newest version was named.
	weights map[string]*modelRollout
	// orders are the orders to targets that successors of this box must know of, and those of
	// earlier holders that it must keep apart from, for all models.
	orders takeover.Log
	// tableClock is the table service's clock, lastTableClock its value in the last answer
	// that proved the operator's rows; zero if that had none.
	tableClock     clockbound.Clock
	lastTableClock time.Duration
	// clock is the targets' common clock minus this process's own.
	clock time.Duration
	// clockKnown says that clock is set.
	clockKnown bool
	// othersUsage is the load of other boxes' requests, by the hash of the target's ID.
	othersUsage *peerload.Totals
	// accounts is what client accounts' requests use of the pools, over all boxes.
	accounts *fairshare.Tracker
	// prefillBacklog is what targets still have to prefill, as reported by all boxes that
	// place requests; overdue is what should have been prefilled by now of this box's
	// requests.
	prefillBacklog backlog.Estimator
	overdue        overdue.Tracker
	// throughput is the speed of engines' prefill and of transfers from sources, learned from
	// this box's requests.
	throughput throughput.Estimator
	// slowEngines are the engines whose answers to this box's requests began late.
	// slowEnginesLogged marks those that were logged as slow, mostlySlow the pools most of whose engines are.
	slowEngines       engineslow.Tracker
	slowEnginesLogged map[string]bool
	mostlySlow        map[string]bool
	// typicalSizes are the typical sizes of requests, in tokens, by route.
	typicalSizes map[string]float64
	// latenessByPool are the shares of late answers, by pool.
	latenessByPool map[string]*headroom.Gauge
	// lateLogged marks the pools that were logged as answering late.
	lateLogged map[string]bool
	// congestionByPool are the answer times of plain services, by pool; congestionLogged
	// marks the pools that were logged as congested.
	congestionByPool map[string]*congestion.Gauge
	congestionLogged map[string]bool
	// slowLogged marks the stores that were logged as slow.
	slowLogged map[string]bool
	// presumedLoad is the presumed load of other boxes' requests at each engine if none of them
	// reports its load, as of the last placement.
	presumedLoad peer.TargetLoad
	// runLosses counts the runs that ended, and those lost with their engine, over all boxes as
	// far as they report them; heldCopies are the copies of this box's broken runs that engines
	// still hold.
	runLosses  runcopy.Losses
	heldCopies []heldCopy
	// copied are the IDs of this box's requests whose runs have a copy. Engines tell copies apart
	// by these IDs, which callers choose, so no two copies may have the same.
	copied map[string]bool
	// reach tells which pools this box reaches; lostPools are those that it does not, with the
	// time at which it noticed.
	reach     reach.Tracker
	lostPools map[string]time.Time
	// lostProbes counts the probes of targets of such pools.
	lostProbes int
	// helpers chooses the boxes that serve requests for this one, whose name is self. candidates
	// are those that it chooses from, of candidatesOf members.
	helpers      helper.Chooser
	self         string
	candidates   []helper.Candidate
	candidatesOf int
	// silences is when connections to targets were last found silent, by address.
	silences map[netip.AddrPort]time.Time
	// members are the boxes that have ever written their row, including this one.
	members map[string]*member
	// unlistedMet is how many boxes without a row this one met. hubBoxes is how many boxes
	// there are in total according to a hub, hubUnlisted how many of them have no row.
	// retryBoxes is the number by which the retry budget was last divided.
	unlistedMet, hubBoxes, hubUnlisted, retryBoxes int
	// regions are the failure domains' regions, as reported by boxes there.
	regions map[string]string
	// hubRanks are the boxes eligible as hubs by domain, topHubs the first of each domain,
	// both computed for rankedMembers members.
	hubRanks      map[string][]string
	topHubs       []string
	rankedMembers int
	// tableServiceDown says that the table service does not answer.
	tableServiceDown bool
	// probing marks targets with a health probe in flight.
	probing map[string]bool
	due     due
	// leaseStepping says that a step of the lease is in progress, leaseHeld that this box
	// held the lease after the last one.
	leaseStepping, leaseHeld bool
	// readEpoch is the epoch in which the previous holder's rows were read.
	readEpoch uint64
	// listVersion changes with the list of targets; zero until it was read.
	listVersion uint64
	// changes numbers the changes of what this box sends its spokes; nil until the list was
	// read.
	changes *changelog.Log[string]
	// inUse are the engines in use, by pool, as of list version refreshedList.
	inUse         map[string]*inUse
	refreshedList uint64
	// listRead is when this box last read the list from the platform itself.
	listRead time.Time
	// listRestores is how often the table service had been restored when the list, or the
	// hub's list that this box took over, was read.
	listRestores uint64
	// tombstones are targets recently removed from the list, heldEntries entries of such
	// targets that are back in a restored list, both by ID.
	tombstones  map[string]tombstone
	heldEntries map[string]heldEntry
	// listKnown is the revision up to which all changes of the list are known, listChanged
	// the newest change among them.
	listKnown, listChanged revision.Revision
	// listBehindSince is since when another hub is known to have read a later change of the
	// list; zero if none is. listBehindLogged says that this was logged.
	listBehindSince  time.Time
	listBehindLogged bool
	// hub is the hub that this box's list is from, hubList how far it was received. hubListed
	// are the targets received since a snapshot began; nil once it is complete.
	hub       string
	hubList   changelog.Cursor
	hubListed map[string]bool
	// hubHeardAt is when a hub last answered this box.
	hubHeardAt time.Time
	// watchesHubless says that the watched sources are those of a box without hubs.
	watchesHubless bool
	// hubWarm says that this box, as a hub, has received cache events of most sources since it
	// watches them.
	hubWarm bool
	// lastHubRequest is when another box last requested a placement of this one.
	lastHubRequest time.Time
	// loadingConfiguration says that the configuration is being read from a hub.
	loadingConfiguration bool
	// laterVersions are the configurations later than the one in force that other boxes have.
	// versionSince is since when a box is known to have had the one in force.
	laterVersions superseded.Versions
	versionSince  time.Time
	// behind is what this box lacks of the operator's rows.
	behind behind
	// operatorChange is the newest change of the operator's rows that was read,
	// operatorKnown the revision up to which all are known.
	operatorChange, operatorKnown revision.Revision
	// provedNewest is the newest change that another box last reported with a proof.
	provedNewest revision.Revision
	// slowStart limits what this box sends to cold targets.
	slowStart slowstart.Limiter
	// quotas hold what this box may send to targets with rate limits.
	quotas map[fleet.Incarnation]*targetQuota
	// quotaRetryAt is when boxes that had no token for a pool's targets are asked again.
	quotaRetryAt map[quotaAsk]time.Time
	// quotaShortages are the pools for whose targets this box had no token, by name.
	quotaShortages map[string]*quotaShortage
	// placers are the boxes that place requests for engines, as of placersAt.
	placers   []string
	placersAt time.Time
	// evacuatedAt is the time of the evacuations that the fleet has; an older view of a hub
	// changes nothing.
	evacuatedAt time.Time
	// evacuatedRevision is the revision of the operator's rows that they are from; zero if a
	// hub's view named none.
	evacuatedRevision revision.Revision
	// lostEvacuations are the domains whose evacuation the operator requested before a
	// restore of the table service and not since, with the time at which that was read.
	lostEvacuations map[string]time.Time
	// olderSince is since when the operator's rows are older than the configuration in
	// force; zero if they are not.
	olderSince time.Time
	// rewriteGrace is the time in which the operator's rows may lack what it has yet to write
	// again after a restore.
	rewriteGrace grace.Period
	// lastReadUnproved says that the last read of the operator's rows proved nothing.
	lastReadUnproved bool
	// crashes determines which requests ran on targets that ended, quarantine blocks
	// requests that make targets end, and reports are what this box reports of them.
	crashes    crash.Tracker
	quarantine quarantine.List
	reports    crashReports
	// endedIncarnations are targets' incarnations that other boxes found to have ended, with
	// the time at which this box learned it.
	endedIncarnations map[string]time.Time
	// brittlePools are the pools with brittle targets, by the hash of their names. heardBox says that
	// another box has told this one of its own.
	brittlePools map[uint32]*brittlePool
	heardBox     bool
	// refusals are the incarnations whose addresses refuse connections, verify those that other
	// boxes reported as ended and that are to be probed, with the time of the report.
	refusals map[string]connRefusal
	verify   map[string]time.Time
	// partCrashes and parts are like crashes and quarantine, for the parts of prompts; partNames are
	// the IDs of suspected ones. begunParts are those that began although ends had counted against
	// them, knownGood those that began before, with the time at which this box learned it.
	partCrashes           crash.Tracker
	parts                 poison.List
	partNames             map[fingerprint.Sum]string
	begunParts, knownGood map[fingerprint.Sum]time.Time
	// nextTrial is when this box may claim the next trial of a quarantined request.
	nextTrial map[fingerprint.Sum]time.Time
	// lifted are requests that were answered after all, with the time at which this box
	// learned it, for boxes that may not know.
	lifted map[fingerprint.Sum]time.Time
	// canaries are the canary versions of pools' software, current or last.
	canaries map[string]*canaryRollout
	// answerTimes are the answer times of similar requests.
	answerTimes map[string]*outlier.Detector
	// hubQuarantineVersion is the version of the hub's quarantine list last received.
	hubQuarantineVersion uint64
	// suspended is the machine's total suspended time as logged so far.
	suspended time.Duration
	// ranAt is when the loop last ran.
	ranAt time.Time
	// origins are what began streams, as far as this box keeps it; originsToTell is what it has yet
	// to tell other boxes, by name. originsUntold says that all are to be told again, originsHandedOver
	// that this was done as the box stops. originsDropped is how many dropped ones were counted.
	origins           origin.Table
	originsToTell     map[string]*originOutbox
	originsUntold     bool
	originsHandedOver bool
	originsDropped    int
	// keepersOf are the boxes that keep origins, by domain, or nil if other boxes have come; domains are
	// those domains in the order in which this box uses them.
	keepersOf map[string][]string
	domains   []string
	// soleReads are the requests that wait for a read of their pool's versionSets row.
	soleReads   map[string]*soleReads
	versionSets map[string]*poolVersions
	// restores is how often the table service is known to have been restored, restoredAt when this
	// box learned of the last time; zero if it never was.
	restores   uint64
	restoredAt time.Time
	// membersKnown says that the other boxes are known, so that this one knows its role.
	membersKnown bool
	// ownRowsKnown says that the system's own rows were read, ownRowsRevision up to where.
	ownRowsKnown    bool
	ownRowsRevision revision.Revision
	// lostRows are the boxes whose rows the last restore of the table service lost and that
	// have not written them again yet; hubRestores is how many restores a hub reported.
	lostRows    map[string]bool
	hubRestores uint64
	// waiting are the queues of requests that wait for room, by pool, and heldBytes is what this
	// box holds for its requests that wait at hubs.
	waiting   map[string]*waitingPool
	heldBytes int
	// returning are the requests that this box refused for want of room.
	returning returning.List
	// firstEvents are the usual times from a request's placement to its first event, by route.
	firstEvents map[string]usualTime
	// placed is the engine memory used by requests that this box placed.
	placed placedTokens
	// holdTimes is how long requests hold engine memory, by pool.
	holdTimes map[string]*holdTime
}

// due is when each system next has something to do.
type due struct {
	sweep, lease, probe, gossip, reap, renew, suspension, refresh, unreadChecked, lostProbe time.Time
}

// member is another box.
type member struct {
	// address is where it is called; unset if it can't be.
	address netip.AddrPort
	// domain, share and megabits are the box's, by which hubs are ranked.
	domain          string
	share, megabits float64
	// limitsDue is when it next gets all known rate limits.
	limitsDue time.Time
	// heardAt is when it last called or answered this one, or when its row was read.
	heardAt time.Time
	// provedAt is when its knowledge of the operator's rows was last proved, as it told.
	provedAt time.Time
	// calling says that gossip with it is in flight, unanswered that it did not answer the
	// last gossip, or too many placement requests since.
	calling, unanswered bool
	// unansweredSince is since when it is unanswered.
	unansweredSince time.Time
	// originsRetryAt is when it is told of origins again after it did not answer.
	originsRetryAt time.Time
	// keeperRetryAt is when it is asked for permits again after it was silent or, with keeperEnded, refused a
	// connection.
	keeperRetryAt time.Time
	keeperEnded   bool
	// misses counts unanswered placement requests in a row.
	misses int
	// retryAt is when a box that did not answer is called again.
	retryAt time.Time
	// lostPools are the pools that it does not reach, as it last reported.
	lostPools []string
	// unlisted says that it has no row; metAt is when it last sent a message.
	unlisted bool
	metAt    time.Time
	// unlistedMet is how many boxes without a row it met, as of countedAt.
	unlistedMet int
	countedAt   time.Time
	// canarySamplesDue is when a hub next sends it the boxes' samples of canary versions.
	canarySamplesDue time.Time
}

func newTables() tables {
	return tables{
		fleet: fleet.New(), directory: directory.New(), othersUsage: peerload.New(), accounts: fairshare.New(), targetsInUse: make(map[string]*fleet.Target), watched: make(map[string]context.CancelFunc),
		weights: make(map[string]*modelRollout), loading: make(map[string]time.Time), members: make(map[string]*member), quotas: make(map[fleet.Incarnation]*targetQuota), quotaRetryAt: make(map[quotaAsk]time.Time), quotaShortages: make(map[string]*quotaShortage), probing: make(map[string]bool),
		lostPools: make(map[string]time.Time), silences: make(map[netip.AddrPort]time.Time), lostEvacuations: make(map[string]time.Time), tombstones: make(map[string]tombstone), heldEntries: make(map[string]heldEntry),
		slowLogged: make(map[string]bool), slowEnginesLogged: make(map[string]bool), mostlySlow: make(map[string]bool), typicalSizes: make(map[string]float64),
		latenessByPool: make(map[string]*headroom.Gauge), lateLogged: make(map[string]bool),
		brittlePools: make(map[uint32]*brittlePool), canaries: make(map[string]*canaryRollout), inUse: make(map[string]*inUse), regions: make(map[string]string), answerTimes: make(map[string]*outlier.Detector), lifted: make(map[fingerprint.Sum]time.Time), nextTrial: make(map[fingerprint.Sum]time.Time), endedIncarnations: make(map[string]time.Time), refusals: make(map[string]connRefusal), verify: make(map[string]time.Time), partNames: make(map[fingerprint.Sum]string), begunParts: make(map[fingerprint.Sum]time.Time), knownGood: make(map[fingerprint.Sum]time.Time),
		congestionByPool: make(map[string]*congestion.Gauge), congestionLogged: make(map[string]bool), waiting: make(map[string]*waitingPool), holdTimes: make(map[string]*holdTime), firstEvents: make(map[string]usualTime), placed: placedTokens{running: make(map[string]int)},
		originsToTell: make(map[string]*originOutbox), soleReads: make(map[string]*soleReads), versionSets: make(map[string]*poolVersions),
		laterVersions: superseded.Versions{TTL: laterVersionTTL},
		rewriteGrace:  grace.Period{Length: rewriteGrace, Max: maxRewriteGrace},
	}
}

// assumedBoxes is how many boxes are assumed to share the work until their rows were read:
// the most that a small deployment has.
const assumedBoxes = 10

// markListUncertain records that the list may lack live engines with older weights.
func (t *tables) markListUncertain(now time.Time) {
	for _, w := range t.weights {
		w.reclaim.MarkIncomplete(now)
	}
}

// lateness returns the gauge of a pool's late answers.
func (t *tables) lateness(pool string) *headroom.Gauge {
	g := t.latenessByPool[pool]
	if g == nil {
		g = &headroom.Gauge{}
		t.latenessByPool[pool] = g
	}
	return g
}

// rolloutOf returns the rollout of a model.
func (t *tables) rolloutOf(name string) *modelRollout {
	w := t.weights[name]
	if w == nil {
		w = &modelRollout{ordered: make(map[string]bool), orderRetryAt: make(map[string]time.Time)}
		t.weights[name] = w
	}
	return w
}
