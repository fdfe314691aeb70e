package intake

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
)

// reportInterval is the least time between two lines of Report.
const reportInterval = time.Second

// Counts are the connections of a gate. All but Open only grow.
type Counts struct {
	// Open are the connections now.
	Open int64
	// Refused were closed as their listener had none to close for them. EndedSlow and EndedIdle were
	// closed for others, in the middle of their requests or between two.
	Refused, EndedSlow, EndedIdle int64
}

// minus returns how much the counts have grown since earlier ones.
func (c Counts) minus(earlier Counts) Counts {
	return Counts{c.Open, c.Refused - earlier.Refused, c.EndedSlow - earlier.EndedSlow, c.EndedIdle - earlier.EndedIdle}
}

// Counts returns the counts so far.
func (g *Gate) Counts() Counts {
	return Counts{Open: g.connections.Load(), Refused: g.refused.Load(), EndedSlow: g.endedSlow.Load(), EndedIdle: g.endedIdle.Load()}
}

// Report logs how many connections were closed for want of room since it last did, at most once a
// second. It is for one goroutine.
func (g *Gate) Report(now time.Time, logger *log.Logger) {
	if now.Sub(g.reportedAt) < reportInterval {
		return
	}
	counts := g.Counts()
	closed := counts.minus(g.reported)
	if closed.Refused+closed.EndedSlow+closed.EndedIdle == 0 {
		return
	}
	g.reported, g.reportedAt = counts, now
	logger.Warn("connections closed for want of room", "open", counts.Open, "limit", g.Limits.Connections, "slow", closed.EndedSlow, "idle", closed.EndedIdle, "refused", closed.Refused)
}

// Collectors returns the gate's metrics, whose names have a prefix.
func (g *Gate) Collectors(prefix string) []prometheus.Collector {
	all := []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: prefix + "_client_connections", Help: "Connections of clients on all listeners."}, func() float64 {
			return float64(g.Counts().Open)
		}),
	}
	for reason, count := range map[string]func(Counts) int64{
		"refused": func(c Counts) int64 { return c.Refused },
		"slow":    func(c Counts) int64 { return c.EndedSlow },
		"idle":    func(c Counts) int64 { return c.EndedIdle },
	} {
		all = append(all, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: prefix + "_client_connections_closed_total", Help: "Connections of clients closed for want of room, by why they were chosen.",
			ConstLabels: prometheus.Labels{"reason": reason},
		}, func() float64 { return float64(count(g.Counts())) }))
	}
	return all
}
