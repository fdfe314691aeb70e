// Package measure runs the daemon's decision code in virtual time, against simulated
// engines, store boxes and links, and computes the figures that operators measure.
//
//	figures := measure.Run(measure.Scenario{Deployment: measure.LutongBahay, Policy: measure.Ours, Seed: 1})
package measure

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/dispatch"
	"github.com/thymewind/thymewind/model"
	"github.com/thymewind/thymewind/placement"
	"github.com/thymewind/thymewind/pool"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/target"
)

// Scenario is one run.
type Scenario struct {
	Deployment Deployment
	Policy     Policy
	Fault      string
	Seed       uint64
}

// simulation is the state of one run.
type simulation struct {
	Scenario
	random    *rand.Rand
	now       time.Time
	end       time.Time
	events    queue
	sequence  int
	scheduler dispatch.Scheduler
	engines   []*engine
	stores    []*store
	traffic   *traffic
	figures   *Figures
}

// event is a scheduled action; sequence orders events at the same time.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

// queue is a heap of events.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules an action.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.sequence, do})
}

// every repeats an action at an interval, first after one interval.
func (sim *simulation) every(d time.Duration, do func()) {
	sim.after(d, func() {
		do()
		sim.every(d, do)
	})
}

// poolName is the only pool.
const poolName = "menu"

// Run simulates a scenario and returns its figures. It is deterministic: the same
// scenario gives the same figures.
func Run(s Scenario) Figures {
	sim := &simulation{Scenario: s, random: rand.New(rand.NewPCG(s.Seed, 0)), now: time.Unix(0, 0), figures: &Figures{}}
	sim.end = sim.now.Add(s.Deployment.duration())
	sim.startScheduler()
	for i := range s.Deployment.Replicas {
		sim.engines = append(sim.engines, newEngine(sim, i))
	}
	for i := range s.Deployment.StoreBoxes {
		sim.stores = append(sim.stores, newStore(sim, i))
	}
	sim.updateList()
	sim.every(time.Second, sim.updateList)
	sim.every(reportInterval, sim.reportLoads)
	sim.every(2*time.Second, sim.evict)
	sim.traffic = newTraffic(sim)
	sim.after(s.Deployment.duration()/3, sim.injectFault)
	sim.after(0, sim.traffic.next)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		if e.at.After(sim.end) {
			break
		}
		sim.now = e.at
		e.do()
	}
	sim.finish()
	return *sim.figures
}

func (sim *simulation) startScheduler() {
	chooser := &placement.Chooser{Usable: (*target.Target).Usable, Wait: sim.scheduler.Wait}
	sim.scheduler = dispatch.Scheduler{
		Choose: sim.Policy.chooser(chooser, sim.random), Scope: prefix.Scope, Keep: sim.Policy.keepFunc(),
		Boxes: func() int { return 1 }, Others: func(string) dispatch.Usage { return dispatch.Usage{} }, Limit: func(_ string, limit int) int { return limit },
		Jitter: func(d time.Duration) time.Duration { return d }, Record: func(decision.Record) {},
		OnFailing: func(string) {}, OnLeaving: func(_, _ string) {},
	}
	sim.scheduler.Init()
	sim.scheduler.Configuration = &configuration.Configuration{
		Revision: 1,
		Accounts: sim.Deployment.accounts(),
		Pools: map[string]pool.Pool{poolName: {
			Name: poolName, Kind: pool.KindModel, Weights: "v1", PieceBytes: pieceTokens * dispatch.BytesPerToken,
			Stores: true, Concurrency: 2 * slots, Policy: sim.Deployment.Weights,
		}},
		Models: map[string]model.Model{poolName: {Name: poolName, Pool: poolName}},
	}
}

// updateList applies the platform's list, which lags: an engine that has failed is
// listed for listDelay longer.
func (sim *simulation) updateList() {
	const lag = 5 * time.Second
	for _, e := range sim.engines {
		x, known := sim.scheduler.Targets.Lookup(e.name)
		if !known {
			x = &target.Target{
				Name: e.name, Hash: placement.Hash(e.name), Pool: poolName, Domain: e.domain,
				Version: "v1", Slots: slots, Address: e.address,
			}
			sim.scheduler.Targets.Put(e.name, x)
		}
		x.Listed = e.deadAt.IsZero() || sim.now.Sub(e.deadAt) < sim.listDelay(lag)
	}
	for _, s := range sim.stores {
		sim.scheduler.Stores.Put(s.name, boxes.Box{Name: s.name, Address: s.address})
	}
	sim.scheduler.GroupByPool()
}

// reportLoads delivers every engine's load report after reportLag.
func (sim *simulation) reportLoads() {
	for _, e := range sim.engines {
		running, waiting, queued, dead := e.running, len(e.waiting), e.queued, e.dead
		sim.after(reportLag, func() {
			x, known := sim.scheduler.Targets.Lookup(e.name)
			if !known {
				return
			}
			if dead {
				sim.scheduler.Fail(sim.now, x)
				return
			}
			sim.scheduler.Report(sim.now, x, running, waiting, queued, 0)
		})
	}
}

func addressOf(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(kind), byte(i + 1)}), 7000)
}
