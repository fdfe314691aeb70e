package thymewind

import (
	"net/netip"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/thymewind/thymewind/admission"
	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/entity"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/target"
)

// tables are the entities that the loop owns. Only the loop touches them.
type tables struct {
	configuration *configuration.Configuration
	targets       entity.Table[string, *target.Target]
	// pools lists the targets of each pool in name order.
	pools map[string][]*target.Target
	// departed remembers targets that were leaving when the list dropped them,
	// as a list that lags may name them again.
	departed map[string]departure
	stores   entity.Table[string, boxes.Box]
	peers    entity.Table[string, peerBox]
	gate     admission.Gate
	due      due
	// list is the platform's list as last read, at listed.
	list   []boxes.Box
	listed time.Time
	// turn is where the next message to peers begins in the targets.
	turn int
	// held are the duties by name, held or not.
	held map[string]*duty
	// reuse is what is known about cache, by pool.
	reuse map[string]*reuseState
	// storeAvoid keeps store boxes that failed out of use for a while.
	storeAvoid map[string]time.Time
	// recent maps the first pieces of prompts served here to their targets.
	recent *lru.LRU[prefix.Key, string]
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
	// demand is its use of limited accounts.
	demand []peer.Demand
	heard  time.Time
}

// departure is a leaving target's address and when it was last seen.
type departure struct {
	address netip.AddrPort
	at      time.Time
}

// due is when the systems next have something to read or send.
type due struct {
	boxes         time.Time
	configuration time.Time
	gossip        time.Time
	loads         time.Time
	flush, apply  time.Time
	room          time.Time
}

// capacity is how many requests the pool's usable targets take at once.
func (t *tables) capacity(now time.Time, pool string) int {
	perTarget := t.configuration.Pools[pool].Concurrency
	sum := 0
	for _, x := range t.pools[pool] {
		if x.Usable(now) {
			sum += perTarget
		}
	}
	return sum
}

// load is the requests thought to be on the pool's usable targets.
func (t *tables) load(now time.Time, pool string) int {
	sum := 0
	for _, x := range t.pools[pool] {
		if x.Usable(now) {
			sum += x.Load()
		}
	}
	return sum
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
