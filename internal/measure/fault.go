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
func (w *simulation) injectFault() {
	switch w.Fault {
	case FaultStoreDead:
		w.stores[0].dead = true
	case FaultStoreFull:
		w.stores[0].size = [2]int{storeMemory / 10, storeDisk / 10}
	case FaultLink:
		for _, s := range w.stores {
			s.rate = [2]float64{memoryRate / 10, diskRate / 10}
		}
	case FaultDomain:
		for _, e := range w.engines {
			if e.domain == w.engines[0].domain {
				e.fail()
			}
		}
	case FaultSlow:
		w.engines[0].speed = 0.2
	case FaultListLags:
		w.engines[0].leaving = true
		w.after(laggingListDelay, w.engines[0].fail)
	case FaultFlood:
		w.traffic.floodRate = 3 * w.Deployment.Rate
	}
	// FaultTableDown changes nothing, as no simulated decision reads the table service.
}

// listDelay returns how long the list still names an engine that has failed.
func (w *simulation) listDelay(usual time.Duration) time.Duration {
	if w.Fault == FaultListLags {
		return laggingListDelay
	}
	return usual
}
