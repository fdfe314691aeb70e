package thymewind

import (
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/dispatch"
	"github.com/thymewind/thymewind/entity"
	"github.com/thymewind/thymewind/limit"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/target"
)

// tables are the state of the loop. Only the loop accesses them.
type tables struct {
	dispatch.Scheduler
	// tombstones holds the targets that were leaving when the list dropped them, as a
	// lagging list may name them again.
	tombstones map[string]tombstone
	peers      entity.Table[string, peerBox]
	due        due
	// list is the list of boxes as last read, at listedAt.
	list     []boxes.Box
	listedAt time.Time
	// byID finds targets by the IDs used in gossip.
	byID map[uint64]*target.Target
	// watched are the names of the targets whose load this box reads.
	watched []string
	refresh refresh
	// crashes is what is known of requests that crash engines.
	crashes crashState
	// nextLoad is the index of the target at which the next gossip message begins.
	nextLoad int
	// quotaBoxes are the boxes that share targets' rate limits; nil if the list has to
	// be built again.
	quotaBoxes []string
	// dutiesByName are the duties by name, whether this box holds them or not.
	dutiesByName map[string]*duty
	// pending marks effects in flight that must not run twice at once.
	pending map[string]bool
}

// peerBox is another entry box.
type peerBox struct {
	address netip.AddrPort
	domain  string
	// leaving is set from the list of boxes.
	leaving bool
	// revision is its configuration revision, as it last reported.
	revision uint64
	// demand is its demand of accounts with limits, usage its usage of pools.
	demand  []peer.Demand
	usage   []peer.PoolUsage
	heardAt time.Time
}

// tombstone is a leaving target's address and when its leaving was last reported.
type tombstone struct {
	address   netip.AddrPort
	leavingAt time.Time
}

// due holds the times at which systems next have work to do.
type due struct {
	boxes         time.Time
	configuration time.Time
	gossip        time.Time
	loads         time.Time
	flush, apply  time.Time
	capacity      time.Time
	metrics       time.Time
}

// boxCount returns how many entry boxes share the work, including this one.
func (t *tables) boxCount() int {
	n := 1
	for _, p := range t.peers.All() {
		if !p.leaving {
			n++
		}
	}
	return n
}

// peerUsageTTL is how long a peer's reported demand and usage count.
const peerUsageTTL = 5 * time.Second

// limitShare returns this box's share of an account's limit, by its own demand and
// the recent demand of its peers.
func (t *tables) limitShare(now time.Time, account string, bound int) int {
	var theirs []int
	for _, p := range t.peers.All() {
		if p.leaving || now.Sub(p.heardAt) > peerUsageTTL {
			continue
		}
		requests := 0
		for _, demand := range p.demand {
			if demand.Account == account {
				requests = demand.Requests
			}
		}
		theirs = append(theirs, requests)
	}
	return limit.Share(bound, t.boxCount(), t.Demand(now, account), theirs)
}

// othersUsage returns the usage of a pool that the other boxes reported recently.
func (t *tables) othersUsage(now time.Time, pool string) dispatch.Usage {
	var sum dispatch.Usage
	for _, p := range t.peers.All() {
		switch {
		case p.leaving:
		case now.Sub(p.heardAt) > peerUsageTTL:
			sum.Unreported++
		default:
			sum = p.addUsage(sum, pool)
		}
	}
	return sum
}

// addUsage adds a box's usage of a pool. A box that reports none uses none.
func (p peerBox) addUsage(sum dispatch.Usage, pool string) dispatch.Usage {
	for _, use := range p.usage {
		if use.Pool == pool {
			sum.Engines += float64(use.Engines) / peer.UsageScale
			sum.Slots += float64(use.Slots) / peer.UsageScale
		}
	}
	return sum
}
