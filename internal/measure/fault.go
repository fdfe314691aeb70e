package measure

import "time"

// The faults of scenarios. A fault occurs after a third of the simulated time.
const (
	FaultNone        = "none"
	FaultStoreDead   = "store-dead"
	FaultStoreFull   = "store-full"
	FaultLink        = "link-at-a-tenth"
	FaultDomain      = "domain-gone"
	FaultSlow        = "engine-slow"
	FaultTableDown   = "table-down"
	FaultListLags    = "list-lags"
	FaultFlood       = "account-floods"
	laggingListDelay = time.Minute
)

// Faults returns all faults.
func Faults() []string {
	return []string{FaultNone, FaultStoreDead, FaultStoreFull, FaultLink, FaultDomain, FaultSlow, FaultTableDown, FaultListLags, FaultFlood}
}

// injectFault makes the scenario's fault occur.
func (sim *simulation) injectFault() {
	switch sim.Fault {
	case FaultStoreDead:
		sim.stores[0].dead = true
	case FaultStoreFull:
		sim.stores[0].size = [2]int{storeMemory / 10, storeDisk / 10}
	case FaultLink:
		for _, s := range sim.stores {
			s.rate = [2]float64{memoryRate / 10, diskRate / 10}
		}
	case FaultDomain:
		for _, e := range sim.engines {
			if e.domain == sim.engines[0].domain {
				e.fail()
			}
		}
	case FaultSlow:
		sim.engines[0].speed = 0.2
	case FaultListLags:
		sim.engines[0].leaving = true
		sim.after(laggingListDelay, sim.engines[0].fail)
	case FaultFlood:
		sim.traffic.floodRate = 3 * sim.Deployment.Rate
	}
	// FaultTableDown changes nothing, as no simulated decision reads the table service.
}

// listDelay returns how long the list still names an engine that has failed.
func (sim *simulation) listDelay(usual time.Duration) time.Duration {
	if sim.Fault == FaultListLags {
		return laggingListDelay
	}
	return usual
}
