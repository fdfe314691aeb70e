package measure

import "time"

// The faults that a scenario may have from its third on.
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

// Faults lists all of them.
func Faults() []string {
	return []string{FaultNone, FaultStoreDead, FaultStoreFull, FaultLink, FaultDomain, FaultSlow, FaultTableDown, FaultListLags, FaultFlood}
}

// injectFault brings the scenario's fault about.
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
	// FaultTableDown needs nothing: no decision here reads the table service.
}

// listDelay is how late the list drops an engine that is gone.
func (w *simulation) listDelay(usual time.Duration) time.Duration {
	if w.Fault == FaultListLags {
		return laggingListDelay
	}
	return usual
}
