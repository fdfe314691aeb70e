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

// tables are the entities that the loop owns. Only the loop touches them.
type tables struct {
	dispatch.Scheduler
	// tombstones remembers targets that were leaving when the list dropped them,
	// as a list that lags may name them again.
	tombstones map[string]tombstone
	peers    entity.Table[string, peerBox]
	due      due
	// list is the platform's list as last read, at listed.
	list   []boxes.Box
	listedAt time.Time
	// byID finds targets by what peers call them.
	byID map[uint64]*target.Target
	// watched names the targets whose load this box reads.
	watched []string
	refresh    refresh
	// crashes is what is known of requests that take engines down.
	crashes crashState
	// nextLoad is where the next message to peers begins in the targets.
	nextLoad int
	// quotaBoxes are the boxes that share targets' rates; nil if they have to be listed anew.
	quotaBoxes []string
	// dutiesByName are the duties by name, held or not.
	dutiesByName map[string]*duty
	// pending marks reads that were sent and not answered yet.
	pending map[string]bool
}

// peerBox is another entry box.
type peerBox struct {
	address netip.AddrPort
	domain  string
	// leaving is set by the list.
	leaving bool
	// revision is the configuration revision last heard of.
	revision uint64
	// demand is its use of limited accounts, use that of pools.
	demand []peer.Demand
	usage    []peer.PoolUsage
	heardAt  time.Time
}

// tombstone is a leaving target's address and when it was last said to leave.
type tombstone struct {
	address netip.AddrPort
	leavingAt      time.Time
}

// due is when the systems next have something to read or send.
type due struct {
	boxes         time.Time
	configuration time.Time
	gossip        time.Time
	loads         time.Time
	flush, apply  time.Time
	capacity          time.Time
	metrics         time.Time
}

// boxCount is how many entry boxes share the work, this one included.
func (t *tables) boxCount() int {
	n := 1
	for _, p := range t.peers.All() {
		if !p.leaving {
			n++
		}
	}
	return n
}

// peerUsageTTL is how long a peer's demand counts.
const peerUsageTTL = 5 * time.Second

// limitShare is this box's part of an account's limit, by the demand that the peers
// told of lately.
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

// othersUsage is the use of a pool that the other boxes told of lately.
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

// addUsage adds what a box uses of a pool; one that tells nothing uses nothing.
func (p peerBox) addUsage(sum dispatch.Usage, pool string) dispatch.Usage {
	for _, use := range p.usage {
		if use.Pool == pool {
			sum.Engines += float64(use.Engines) / peer.UsageScale
			sum.Slots += float64(use.Slots) / peer.UsageScale
		}
	}
	return sum
}
