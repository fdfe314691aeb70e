package entry

import (
	"context"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/affinity"
	"github.com/thymewind/thymewind/backlog"
	"github.com/thymewind/thymewind/changelog"
	"github.com/thymewind/thymewind/clearing"
	"github.com/thymewind/thymewind/clockbound"
	"github.com/thymewind/thymewind/congestion"
	"github.com/thymewind/thymewind/crash"
	"github.com/thymewind/thymewind/dated"
	"github.com/thymewind/thymewind/directory"
	"github.com/thymewind/thymewind/fingerprint"
	"github.com/thymewind/thymewind/fleet"
	"github.com/thymewind/thymewind/overdue"
	"github.com/thymewind/thymewind/pace"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/quarantine"
	"github.com/thymewind/thymewind/revision"
	"github.com/thymewind/thymewind/shares"
	"github.com/thymewind/thymewind/strain"
	"github.com/thymewind/thymewind/usual"
	"github.com/thymewind/thymewind/warming"
)

// tables are what the loop owns. Only the loop touches them.
type tables struct {
	fleet     *fleet.Fleet
	directory *directory.Directory
	// stores are the stores of kept parts, by name in order.
	stores []*affinity.Source
	// engineToken is the time to move one token between engines.
	engineToken time.Duration
	// used are the targets that this box's requests may take something up at, by ID: what is
	// told of them each tick costs as much as there is work, not as many as there are.
	used map[string]*fleet.Target
	// followed are the sources whose news are read, with how to stop that.
	followed map[string]context.CancelFunc
	// loading are the targets that load by another box's order, with when each is
	// next asked whether it has done so.
	loading map[string]time.Time
	// weights are the models whose newest version was named.
	weights map[string]*weights
	// clockOfTable is the table service's clock, toldClock what it showed in the
	// last answer about the operator's rows; zero if that did not tell.
	clockOfTable clockbound.Clock
	toldClock    time.Duration
	// clock is the targets' common clock less this process's own.
	clock time.Duration
	// timed says that clock was told.
	timed bool
	// others is what other boxes' requests take up, by the hash of the target's
	// ID.
	others *shares.Sum
	// reads is what targets still read, as all boxes that place requests tell,
	// overdue what this box's requests should have had read by now.
	reads   backlog.Clock
	overdue overdue.Book
	// pace is how quickly engines read and sources move, as this box's requests
	// saw it.
	pace pace.Record
	// sizes is what requests take up as a rule, in tokens, by route.
	sizes map[string]float64
	// strains are the shares of late answers, by pool.
	strains map[string]*strain.Gauge
	// strained marks the pools that were logged as answering late.
	strained map[string]bool
	// congested is how long answers of plain services took, by pool, congestedNow which
	// pools were logged as congested.
	congested    map[string]*congestion.Gauge
	congestedNow map[string]bool
	// slow marks the stores that were logged as slow.
	slow map[string]bool
	// usual is what other boxes' requests are taken to take up at each engine if
	// none of them is heard, as of the last placing.
	usual peer.Share
	// silences is when connections to targets were last found silent, by address.
	silences map[netip.AddrPort]time.Time
	// members are the boxes that ever wrote their row, this one included.
	members map[string]*member
	// unlisted is how many boxes without a row this one met, toldBoxes how many boxes there
	// are in all as a hub told, toldRowless how many of them without a row, countedBoxes what
	// the retries were last shared by.
	unlisted, toldBoxes, toldRowless, countedBoxes int
	// regions are those that failure domains lie in, as boxes there tell.
	regions map[string]string
	// ranks are the boxes fit for hubs by domain, and firsts the first of each, as worked out
	// for rankedOf members.
	ranks    map[string][]string
	firsts   []string
	rankedOf int
	// storeAway says that the table service does not answer.
	storeAway bool
	// probing marks targets whose health is being asked for.
	probing map[string]bool
	due     due
	// stepping says that a step of the lease is under way, holding that the
	// last one left the lease with this box.
	stepping, holding bool
	// readEpoch is the epoch in which the earlier holder's rows were read.
	readEpoch uint64
	// listNumber changes with the list and is zero until that was read.
	listNumber uint64
	// log numbers the changes of what boxes that take this one's view are told of; nil
	// until the list was read.
	log *changelog.Log[string]
	// inUse are the engines in use, by pool, as of the list numbered refreshedList.
	inUse         map[string]*inUse
	refreshedList uint64
	// listRead is when this box last asked the platform for the list itself.
	listRead time.Time
	// listRestores is how often the table service had been restored when the list, or the hub's
	// that this box took over, was read.
	listRestores uint64
	// departed are targets that went from the list lately, heldBack entries of such that a
	// restored list has again, by their IDs.
	departed map[string]departure
	heldBack map[string]heldEntry
	// listKnown is the revision up to which all changes of the list are known, listChanged
	// the newest change among them.
	listKnown, listChanged revision.Revision
	// overtakenAt is since when another hub is known to have read a later change of the
	// list; zero if none is. overtakenNoted says that this was logged.
	overtakenAt    time.Time
	overtakenNoted bool
	// hub is whose list this box has, hubList how far it was told. hubSeen are the targets
	// told since that began; nil once all were.
	hub     string
	hubList changelog.Cursor
	hubSeen map[string]bool
	// hubHeard is when a hub last answered this box.
	hubHeard time.Time
	// alone says that the sources followed are those of a box without hubs.
	alone bool
	// warmed says that a hub heard of most sources since it follows them.
	warmed bool
	// askedAsHub is when another box last asked this one for a place.
	askedAsHub time.Time
	// loadingConfiguration says that it is being read from a hub.
	loadingConfiguration bool
	// operatorChange is the newest change of what the operator wrote that was read,
	// operatorKnown the revision up to which all are known.
	operatorChange, operatorKnown revision.Revision
	// provedNewest is the newest change that another box last told with a proof.
	provedNewest revision.Revision
	// gate counts what this box sent to cold targets.
	gate warming.Gate
	// quotas hold what this box may send to targets that limit requests.
	quotas map[fleet.Life]*limitedTarget
	// placers are the boxes that place requests for engines, as of placersAt.
	placers   []string
	placersAt time.Time
	// evacuatedAt is when what the operator asks for of domains was as the fleet has
	// it; what is older by a hub's view changes nothing.
	evacuatedAt time.Time
	// evacuationLost are the domains whose evacuation the operator asked for before a restore
	// of the table service and not since, with when that was read.
	evacuationLost map[string]time.Time
	// olderSince is since when the operator's rows are older than the configuration in force;
	// zero if they are not.
	olderSince time.Time
	// settledAt is when the operator has written again what a restore may have lost right
	// before this box started; zero once that is known.
	settledAt time.Time
	// crashes finds out which requests ran on targets that ended, quarantine keeps
	// those away that take targets down, and reports are what this box tells of them.
	crashes    crash.Watch
	quarantine quarantine.Book
	reports    reports
	// over are targets' lives that other boxes found to be over, with since when that is
	// known here.
	over map[string]time.Time
	// trials is when this box may claim the next trial of a request that it refuses.
	trials map[fingerprint.Sum]time.Time
	// lifted are requests that were answered after all, with since when that is
	// known, for boxes that may not know.
	lifted map[fingerprint.Sum]time.Time
	// canaries are the versions of pools' software that are tried out, or were last.
	canaries map[string]*trying
	// tooks is how long answers take, of requests that are alike.
	tooks map[string]*usual.Time
	// hubRefuses numbers the set of requests that the hub was last heard to refuse.
	hubRefuses uint64
	// suspended is for how long the machine was, as far as that was logged.
	suspended time.Duration
	// settled says that the other boxes are known, so that this one knows its
	// role.
	settled bool
	// ownKnown says that the system's own rows were read, ownKnownAt up to which revision.
	ownKnown   bool
	ownKnownAt revision.Revision
	// rowsLost are the boxes whose rows the last restore of the table service lost, and that did
	// not write them again yet; restoresTold is how many restores a hub told of.
	rowsLost     map[string]bool
	restoresTold uint64
}

// surveyed names a state of the list and of what was named.
type surveyed struct {
	list   uint64
	wanted int64
}

// weights is one model's rollout as this box sees it.
type weights struct {
	// wanted is the newest version named, names when each version was.
	wanted int64
	names  dated.Namings
	// surveyed is the list and the version for which no engine was behind, floor the lowest
	// version of any then: until either changes engines need not be looked at again.
	surveyed surveyed
	floor    int64
	// tellAgain is when the rollout's row may be written again after that failed.
	tellAgain time.Time
	// ordered are the orders that this box has under way, by target.
	ordered map[string]bool
	// recent is when this box ordered targets anything, barred until when it
	// must not, as another box did.
	recent, barred map[string]time.Time
	// barredAll is until when it must order none, as it can't know which another box did.
	barredAll time.Time
	// epoch is the lease's in the row last read.
	epoch uint64
	// clearing says when parts made on older weights may be freed.
	clearing clearing.Watch
	// freed is the version for which the stores were cleared of older parts.
	freed   int64
	freeing bool
	// freeTries counts the tries to clear the stores that failed, freeAgain is
	// when the next one may be made.
	freeTries int
	freeAgain time.Time
	// planned are the targets that wait until their loading is announced.
	planned []string
	// announcing says that the row is being written.
	announcing bool
}

// due is when the systems next have something to do.
type due struct {
	sweep, lease, probe, gossip, callers, suspension, refresh time.Time
}

// member is another box.
type member struct {
	// at is where it is called; unset if it can't be.
	at netip.AddrPort
	// domain, share and megabits are the box's, by which hubs are ranked.
	domain          string
	share, megabits float64
	// limitsDue is when it is next told all limits that are known.
	limitsDue time.Time
	// heard is when it last called or answered this one, or when its row was read.
	heard time.Time
	// calling says that gossip with it is under way, failed that it did not answer
	// the last gossip, or too many asks for places since.
	calling, failed bool
	// misses counts places in a row that it was asked for in vain.
	misses int
	// retry is when a box that did not answer is called again.
	retry time.Time
	// unlisted says that it has no row; met is when it was last heard.
	unlisted bool
	met      time.Time
	// counts is how many boxes without a row it met, as of countedAt.
	counts    int
	countedAt time.Time
	// seenDue is when a hub next tells it what boxes saw of versions that are tried out.
	seenDue time.Time
}

func newTables() tables {
	return tables{
		fleet: fleet.New(), directory: directory.New(), others: shares.New(), used: make(map[string]*fleet.Target), followed: make(map[string]context.CancelFunc),
		weights: make(map[string]*weights), loading: make(map[string]time.Time), members: make(map[string]*member), quotas: make(map[fleet.Life]*limitedTarget), probing: make(map[string]bool),
		silences: make(map[netip.AddrPort]time.Time), evacuationLost: make(map[string]time.Time), departed: make(map[string]departure), heldBack: make(map[string]heldEntry),
		slow: make(map[string]bool), sizes: make(map[string]float64),
		strains: make(map[string]*strain.Gauge), strained: make(map[string]bool),
		canaries: make(map[string]*trying), inUse: make(map[string]*inUse), regions: make(map[string]string), tooks: make(map[string]*usual.Time), lifted: make(map[fingerprint.Sum]time.Time), trials: make(map[fingerprint.Sum]time.Time), over: make(map[string]time.Time),
		congested: make(map[string]*congestion.Gauge), congestedNow: make(map[string]bool),
	}
}

// presumed is how many boxes are taken to share the work until their rows were
// read: the most that a small deployment has.
const presumed = 10

// doubtList notes that the list may lack live engines with older weights.
func (t *tables) doubtList(now time.Time) {
	for _, w := range t.weights {
		w.clearing.Doubt(now)
	}
}

// strain returns the share of late answers of a pool.
func (t *tables) strain(pool string) *strain.Gauge {
	g := t.strains[pool]
	if g == nil {
		g = &strain.Gauge{}
		t.strains[pool] = g
	}
	return g
}

// model returns the rollout of a model.
func (t *tables) model(name string) *weights {
	w := t.weights[name]
	if w == nil {
		w = &weights{ordered: make(map[string]bool), recent: make(map[string]time.Time), barred: make(map[string]time.Time)}
		t.weights[name] = w
	}
	return w
}
