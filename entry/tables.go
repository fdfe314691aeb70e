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
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/headroom"
	"github.com/thymewind/thymewind/outlier"
	"github.com/thymewind/thymewind/overdue"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/peerload"
	"github.com/thymewind/thymewind/quarantine"
	"github.com/thymewind/thymewind/reclaim"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/slowstart"
	"github.com/thymewind/thymewind/throughput"
	"github.com/thymewind/thymewind/versionlog"
)

// tables are what the loop owns. Only the loop touches them.
type tables struct {
	fleet     *fleet.Fleet
	directory *directory.Directory
	// stores are the stores of kept parts, by name in order.
	stores []*affinity.Source
	// engineToken is the time to move one token between engines.
	engineToken time.Duration
	// targetsInUse are the targets that this box's requests may take something up at, by ID: what is
	// told of them each tick costs as much as there is work, not as many as there are.
	targetsInUse map[string]*fleet.Target
	// watched are the sources whose news are read, with how to stop that.
	watched map[string]context.CancelFunc
	// loading are the targets that load by another box's order, with when each is
	// next asked whether it has done so.
	loading map[string]time.Time
	// weights are the models whose newest version was named.
	weights map[string]*modelRollout
	// tableClock is the table service's clock, toldClock what it showed in the
	// last answer about the operator's rows; zero if that did not tell.
	tableClock     clockbound.Clock
	lastTableClock time.Duration
	// clock is the targets' common clock less this process's own.
	clock time.Duration
	// clockKnown says that clock was told.
	clockKnown bool
	// othersUsage is what other boxes' requests take up, by the hash of the target's
	// ID.
	othersUsage *peerload.Totals
	// prefillBacklog is what targets still read, as all boxes that place requests tell,
	// overdue what this box's requests should have had read by now.
	prefillBacklog backlog.Estimator
	overdue        overdue.Tracker
	// pace is how quickly engines read and sources move, as this box's requests
	// saw it.
	pace throughput.Estimator
	// sizes is what requests take up as a rule, in tokens, by route.
	sizes map[string]float64
	// latenessByPool are the shares of late answers, by pool.
	latenessByPool map[string]*headroom.Gauge
	// lateLogged marks the pools that were logged as answering late.
	lateLogged map[string]bool
	// congestionByPool is how long answers of plain services took, by pool, congestedNow which
	// pools were logged as congested.
	congestionByPool map[string]*congestion.Gauge
	congestionLogged map[string]bool
	// slowLogged marks the stores that were logged as slow.
	slowLogged map[string]bool
	// usual is what other boxes' requests are taken to take up at each engine if
	// none of them is heard, as of the last placing.
	usual peer.TargetLoad
	// silences is when connections to targets were last found silent, by address.
	silences map[netip.AddrPort]time.Time
	// members are the boxes that ever wrote their row, this one included.
	members map[string]*member
	// unlistedMet is how many boxes without a row this one met, toldBoxes how many boxes there
	// are in all as a hub told, toldRowless how many of them without a row, countedBoxes what
	// the retries were last shared by.
	unlistedMet, hubBoxes, hubUnlisted, retryBoxes int
	// regions are those that failure domains lie in, as boxes there tell.
	regions map[string]string
	// hubRanks are the boxes fit for hubs by domain, and firsts the first of each, as worked out
	// for rankedOf members.
	hubRanks      map[string][]string
	topHubs       []string
	rankedMembers int
	// tableServiceDown says that the table service does not answer.
	tableServiceDown bool
	// probing marks targets whose health is being asked for.
	probing map[string]bool
	due     due
	// leaseStepping says that a step of the lease is under way, holding that the
	// last one left the lease with this box.
	leaseStepping, leaseHeld bool
	// readEpoch is the epoch in which the earlier holder's rows were read.
	readEpoch uint64
	// listVersion changes with the list and is zero until that was read.
	listVersion uint64
	// changes numbers the changes of what boxes that take this one's view are told of; nil
	// until the list was read.
	changes *changelog.Log[string]
	// inUse are the engines in use, by pool, as of the list numbered refreshedList.
	inUse         map[string]*inUse
	refreshedList uint64
	// listRead is when this box last asked the platform for the list itself.
	listRead time.Time
	// listRestores is how often the table service had been restored when the list, or the hub's
	// that this box took over, was read.
	listRestores uint64
	// tombstones are targets that went from the list lately, heldBack entries of such that a
	// restored list has again, by their IDs.
	tombstones  map[string]tombstone
	heldEntries map[string]heldEntry
	// listKnown is the revision up to which all changes of the list are known, listChanged
	// the newest change among them.
	listKnown, listChanged revision.Revision
	// listBehindSince is since when another hub is known to have read a later change of the
	// list; zero if none is. overtakenNoted says that this was logged.
	listBehindSince  time.Time
	listBehindLogged bool
	// hub is whose list this box has, hubList how far it was told. hubSeen are the targets
	// told since that began; nil once all were.
	hub     string
	hubList changelog.Cursor
	hubSeen map[string]bool
	// hubHeardAt is when a hub last answered this box.
	hubHeardAt time.Time
	// followsHubless says that the sources followed are those of a box without hubs.
	followsHubless bool
	// hubWarm says that a hub heard of most sources since it follows them.
	hubWarm bool
	// lastHubRequest is when another box last asked this one for a place.
	lastHubRequest time.Time
	// loadingConfiguration says that it is being read from a hub.
	loadingConfiguration bool
	// operatorChange is the newest change of what the operator wrote that was read,
	// operatorKnown the revision up to which all are known.
	operatorChange, operatorKnown revision.Revision
	// provedNewest is the newest change that another box last told with a proof.
	provedNewest revision.Revision
	// gate counts what this box sent to cold targets.
	gate slowstart.Limiter
	// quotas hold what this box may send to targets that limit requests.
	quotas map[fleet.Incarnation]*targetQuota
	// placers are the boxes that place requests for engines, as of placersAt.
	placers   []string
	placersAt time.Time
	// evacuatedAt is when what the operator asks for of domains was as the fleet has
	// it; what is older by a hub's view changes nothing.
	evacuatedAt time.Time
	// lostEvacuations are the domains whose evacuation the operator asked for before a restore
	// of the table service and not since, with when that was read.
	lostEvacuations map[string]time.Time
	// olderSince is since when the operator's rows are older than the configuration in force;
	// zero if they are not.
	olderSince time.Time
	// operatorRewrittenBy is when the operator has written again what a restore may have lost right
	// before this box started; zero once that is known.
	operatorRewrittenBy time.Time
	// crashes finds out which requests ran on targets that ended, quarantine keeps
	// those away that take targets down, and reports are what this box tells of them.
	crashes    crash.Tracker
	quarantine quarantine.List
	reports    crashReports
	// endedIncarnations are targets' lives that other boxes found to be over, with since when that is
	// known here.
	endedIncarnations map[string]time.Time
	// nextTrial is when this box may claim the next trial of a request that it refuses.
	nextTrial map[fingerprint.Sum]time.Time
	// lifted are requests that were answered after all, with since when that is
	// known, for boxes that may not know.
	lifted map[fingerprint.Sum]time.Time
	// canaries are the versions of pools' software that are tried out, or were last.
	canaries map[string]*canaryRollout
	// answerTimes is how long answers take, of requests that are alike.
	answerTimes map[string]*outlier.Detector
	// hubQuarantineVersion numbers the set of requests that the hub was last heard to refuse.
	hubQuarantineVersion uint64
	// suspended is for how long the machine was, as far as that was logged.
	suspended time.Duration
	// membersKnown says that the other boxes are known, so that this one knows its
	// role.
	membersKnown bool
	// ownRowsKnown says that the system's own rows were read, ownKnownAt up to which revision.
	ownRowsKnown    bool
	ownRowsRevision revision.Revision
	// lostRows are the boxes whose rows the last restore of the table service lost, and that did
	// not write them again yet; restoresTold is how many restores a hub told of.
	lostRows    map[string]bool
	hubRestores uint64
}

// scan names a state of the list and of what was named.
type scan struct {
	list          uint64
	newestVersion int64
}

// modelRollout is one model's rollout as this box sees it.
type modelRollout struct {
	// newestVersion is the newest version named, names when each version was.
	newestVersion int64
	versionLog    versionlog.Log
	// upToDateScan is the list and the version for which no engine was behind, floor the lowest
	// version of any then: until either changes engines need not be looked at again.
	upToDateScan scan
	minVersion   int64
	// announceRetryAt is when the rollout's row may be written again after that failed.
	announceRetryAt time.Time
	// ordered are the orders that this box has under way, by target.
	ordered map[string]bool
	// orderedAt is when this box ordered targets anything, barred until when it
	// must not, as another box did.
	orderedAt, barredUntil map[string]time.Time
	// allBarredUntil is until when it must order none, as it can't know which another box did.
	allBarredUntil time.Time
	// epoch is the lease's in the row last read.
	epoch uint64
	// clearing says when parts made on older weights may be freed.
	clearing reclaim.Tracker
	// freed is the version for which the stores were cleared of older parts.
	freed   int64
	freeing bool
	// freeAttempts counts the tries to clear the stores that failed, freeAgain is
	// when the next one may be made.
	freeAttempts int
	freeRetryAt  time.Time
	// planned are the targets that wait until their loading is announced.
	planned []string
	// announcing says that the row is being written.
	announcing bool
}

// due is when the systems next have something to do.
type due struct {
	sweep, lease, probe, gossip, reap, suspension, refresh time.Time
}

// member is another box.
type member struct {
	// address is where it is called; unset if it can't be.
	address netip.AddrPort
	// domain, share and megabits are the box's, by which hubs are ranked.
	domain          string
	share, megabits float64
	// limitsDue is when it is next told all limits that are known.
	limitsDue time.Time
	// heardAt is when it last called or answered this one, or when its row was read.
	heardAt time.Time
	// calling says that gossip with it is under way, failed that it did not answer
	// the last gossip, or too many asks for places since.
	calling, failed bool
	// misses counts places in a row that it was asked for in vain.
	misses int
	// retryAt is when a box that did not answer is called again.
	retryAt time.Time
	// unlisted says that it has no row; met is when it was last heard.
	unlisted bool
	metAt    time.Time
	// unlistedMet is how many boxes without a row it met, as of countedAt.
	unlistedMet int
	countedAt   time.Time
	// seenDue is when a hub next tells it what boxes saw of versions that are tried out.
	seenDue time.Time
}

func newTables() tables {
	return tables{
		fleet: fleet.New(), directory: directory.New(), othersUsage: peerload.New(), targetsInUse: make(map[string]*fleet.Target), watched: make(map[string]context.CancelFunc),
		weights: make(map[string]*modelRollout), loading: make(map[string]time.Time), members: make(map[string]*member), quotas: make(map[fleet.Incarnation]*targetQuota), probing: make(map[string]bool),
		silences: make(map[netip.AddrPort]time.Time), lostEvacuations: make(map[string]time.Time), tombstones: make(map[string]tombstone), heldEntries: make(map[string]heldEntry),
		slowLogged: make(map[string]bool), sizes: make(map[string]float64),
		latenessByPool: make(map[string]*headroom.Gauge), lateLogged: make(map[string]bool),
		canaries: make(map[string]*canaryRollout), inUse: make(map[string]*inUse), regions: make(map[string]string), answerTimes: make(map[string]*outlier.Detector), lifted: make(map[fingerprint.Sum]time.Time), nextTrial: make(map[fingerprint.Sum]time.Time), endedIncarnations: make(map[string]time.Time),
		congestionByPool: make(map[string]*congestion.Gauge), congestionLogged: make(map[string]bool),
	}
}

// assumedBoxes is how many boxes are taken to share the work until their rows were
// read: the most that a small deployment has.
const assumedBoxes = 10

// markListUncertain notes that the list may lack live engines with older weights.
func (t *tables) markListUncertain(now time.Time) {
	for _, w := range t.weights {
		w.clearing.MarkIncomplete(now)
	}
}

// lateness returns the share of late answers of a pool.
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
		w = &modelRollout{ordered: make(map[string]bool), orderedAt: make(map[string]time.Time), barredUntil: make(map[string]time.Time)}
		t.weights[name] = w
	}
	return w
}
