package routing_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/thymewind/thymewind/routing"
)

// tableWithRoutes returns a configuration of many routes under one host.
func tableWithRoutes(routes int) *routing.Table {
	list := make([]*routing.Route, routes)
	for i := range list {
		list[i] = &routing.Route{Name: fmt.Sprint(i), Host: "a.example", Prefix: fmt.Sprintf("/idle-%d/x/", i), Shares: []routing.Share{{Pool: "p", Weight: 1}}}
	}
	return routing.New(1, list, []*routing.Pool{{Name: "p"}}, nil)
}

// BenchmarkRoute measures a lookup among 100 to 10,000 routes, and the building of such a
// configuration with its memory.
func BenchmarkRoute(b *testing.B) {
	for _, routes := range []int{100, 1000, 10000} {
		table := tableWithRoutes(routes)
		path := fmt.Sprintf("/idle-%d/x/y/z", routes/2)
		b.Run(fmt.Sprintf("lookup/%d", routes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Route("a.example", path)
			}
		})
		b.Run(fmt.Sprintf("change/%d", routes), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			kept := tableWithRoutes(routes)
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				tableWithRoutes(routes)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "kept-bytes")
			runtime.KeepAlive(kept)
		})
	}
}
