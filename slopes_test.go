package thymewind

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/configuration"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/peer"
	"github.com/thymewind/thymewind/prefix"
	"github.com/thymewind/thymewind/route"
	"github.com/thymewind/thymewind/settings"
)

// slope is a cost that is measured at several sizes.
type slope struct {
	name, of, unit string
	sizes          []int
	measure        func(b *testing.B, n int) float64
}

// BenchmarkSlopes measures how the daemon's costs grow and prints a linear fit of each.
// docs/CAPACITY.md is based on them. Run it with make slopes.
func BenchmarkSlopes(b *testing.B) {
	targets := []int{150, 300, 600}
	accounts := []int{5000, 15000, 45000}
	slopes := []slope{
		{"placement and its end", "targets", "us", targets, placementCost},
		{"all systems of one tick", "targets", "us", targets, tickCost},
		{"message to a peer", "targets", "bytes", targets, messageBytes},
		{"taking a peer's message in", "targets", "us", targets, receiveCost},
		{"list of boxes", "boxes", "bytes", targets, listBytes},
		{"taking the list of boxes in", "boxes", "us", targets, listCost},
		{"configuration in memory", "accounts", "bytes", accounts, configurationBytes},
		{"one change applied", "accounts", "us", accounts, changeCost},
		{"configuration for a peer that boots", "accounts", "bytes", accounts, snapshotBytes},
		{"decision records", "records", "bytes", []int{1024, 2048, 4096}, recordBytes},
		{"small calls, both ends", "calls", "us", []int{500, 1000, 2000}, callCost},
		{"small calls, on the wire", "calls", "bytes", []int{10, 20, 40}, callBytes},
		{"naming a prompt's prefixes", "KB of prompt", "us", []int{8, 32, 128}, prefixCost},
	}
	for b.Loop() {
		for _, s := range slopes {
			s.print(b)
		}
	}
}

// print measures a slope and prints the least-squares line through it.
func (s slope) print(b *testing.B) {
	var sx, sy, sxx, sxy, syy float64
	line := fmt.Sprintf("slope %-36s", s.name)
	for _, n := range s.sizes {
		y := s.measure(b, n)
		x := float64(n)
		sx, sy, sxx, sxy, syy = sx+x, sy+y, sxx+x*x, sxy+x*y, syy+y*y
		line += fmt.Sprintf(" %d: %.5g", n, y)
	}
	k := float64(len(s.sizes))
	by := (k*sxy - sx*sy) / (k*sxx - sx*sx)
	at := (sy - by*sx) / k
	square := (k*sxy - sx*sy) * (k*sxy - sx*sy) / ((k*sxx - sx*sx) * (k*syy - sy*sy))
	fmt.Printf("%s | %.5g %s + %.5g %s for each of %s, r2 %.3f\n", line, at, s.unit, by, s.unit, s.of, square)
}

// daemonWithTargets returns a daemon that knows n targets and half as many peers.
func daemonWithTargets(b *testing.B, n int) *Daemon {
	d := &Daemon{
		Settings: settings.Settings{Name: "entry-0", Limits: settings.Limits{Records: 4096}, Timing: settings.Timing{
			Tick: 100 * time.Millisecond, Poll: 2 * time.Second, Load: time.Second, Gossip: time.Second, Lease: 6 * time.Second,
		}},
		Log: log.New(io.Discard), Registry: prometheus.NewRegistry(),
	}
	if err := d.build(); err != nil {
		b.Fatal(err)
	}
	now := time.Now()
	d.update(now, configurationRead{configuration: testConfiguration(1)})
	d.update(now, boxesRead{list: boxList(n)})
	for name, x := range d.tables.Targets.All() {
		d.update(now, loadRead{target: name, load: engine.Load{Version: "v1", Slots: 16, Running: int(x.Hash % 12), QueuedTokens: int(x.Hash % 3000)}})
	}
	return d
}

// boxList returns a list of n engines and half as many entry boxes.
func boxList(n int) []boxes.Box {
	var list []boxes.Box
	for i := range n {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000)
		list = append(list, boxes.Box{Name: fmt.Sprintf("engine-%d", i), Role: boxes.RoleEngine, Pool: "menu", Domain: "zone-a", Address: at})
		if i%2 == 0 {
			list = append(list, boxes.Box{Name: fmt.Sprintf("entry-%d", i), Role: boxes.RoleEntry, Domain: "zone-a", Address: at, Peer: at})
		}
	}
	return list
}

// microsPerCall returns the mean time of a call, in microseconds.
func microsPerCall(rounds int, do func(i int)) float64 {
	began := time.Now()
	for i := range rounds {
		do(i)
	}
	return float64(time.Since(began).Microseconds()) / float64(rounds)
}

func placementCost(b *testing.B, n int) float64 {
	d := daemonWithTargets(b, n)
	return microsPerCall(2000, func(i int) {
		request := route.PlacementRequest{Request: "r", Account: "a", Model: "m", Attempt: 1, Home: prefix.Scope("a", fmt.Sprint(i))}
		placed, err := d.tables.Place(time.Now(), request)
		if err != nil {
			b.Fatal(err)
		}
		d.tables.Ended(time.Now(), route.AttemptResult{Placement: placed})
	})
}

func tickCost(b *testing.B, n int) float64 {
	d := daemonWithTargets(b, n)
	now := time.Now()
	return microsPerCall(500, func(i int) {
		clear(d.tables.pending)
		for _, system := range d.systems {
			system(now.Add(time.Duration(i)*100*time.Millisecond), &d.tables)
		}
	})
}

func messageBytes(b *testing.B, n int) float64 {
	d := daemonWithTargets(b, n)
	sum := 0
	const messages = 50
	for range messages {
		data, err := cbor.Marshal(d.gossipMessage(time.Now(), &d.tables))
		if err != nil {
			b.Fatal(err)
		}
		sum += len(data)
	}
	return float64(sum) / messages
}

func receiveCost(b *testing.B, n int) float64 {
	d, other := daemonWithTargets(b, n), daemonWithTargets(b, n)
	return microsPerCall(500, func(int) {
		m := other.gossipMessage(time.Now(), &other.tables)
		data, err := cbor.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		var got peer.Message
		if err := cbor.Unmarshal(data, &got); err != nil {
			b.Fatal(err)
		}
		d.receiveGossip(time.Now(), &d.tables, got)
	})
}

func listBytes(b *testing.B, n int) float64 {
	data, err := json.Marshal(boxList(n))
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

func listCost(b *testing.B, n int) float64 {
	d := daemonWithTargets(b, n)
	data, err := json.Marshal(boxList(n))
	if err != nil {
		b.Fatal(err)
	}
	return microsPerCall(100, func(int) {
		var list []boxes.Box
		if err := json.Unmarshal(data, &list); err != nil {
			b.Fatal(err)
		}
		d.update(time.Now(), boxesRead{list: list})
	})
}

// configurationWithAccounts returns a configuration with n accounts.
func configurationWithAccounts(b *testing.B, n int) *configuration.Configuration {
	c := testConfiguration(0)
	change := configuration.Change{Revision: 1}
	for i := range n {
		name := fmt.Sprintf("account-%d", i)
		after, err := json.Marshal(account.Account{Name: name, Weight: 1, KeyHashes: []string{account.HashKey(name)}})
		if err != nil {
			b.Fatal(err)
		}
		change.Entries = append(change.Entries, configuration.Entry{Kind: configuration.KindAccount, Name: name, After: after})
	}
	next, err := c.Apply(change)
	if err != nil {
		b.Fatal(err)
	}
	return next
}

// retainedBytes returns the heap bytes that the result of a function keeps alive.
func retainedBytes(build func() any) float64 {
	var before, after runtime.MemStats
	build() // The first call also makes one-time allocations, which must not count.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func configurationBytes(b *testing.B, n int) float64 {
	return retainedBytes(func() any { return configurationWithAccounts(b, n) })
}

func changeCost(b *testing.B, n int) float64 {
	c := configurationWithAccounts(b, n)
	change := configuration.Change{Revision: 2, Entries: []configuration.Entry{
		{Kind: configuration.KindAccount, Name: "new", After: json.RawMessage(`{"name":"new","weight":1}`)},
	}}
	return microsPerCall(10, func(int) {
		if _, err := c.Apply(change); err != nil {
			b.Fatal(err)
		}
	})
}

func snapshotBytes(b *testing.B, n int) float64 {
	data, err := json.Marshal(configurationWithAccounts(b, n))
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

func recordBytes(_ *testing.B, n int) float64 {
	return retainedBytes(func() any {
		r := &decision.Ring{Size: n}
		for i := range n {
			r.Add(decision.Record{
				Request: fmt.Sprintf("01M8VAP198AERJ86WZD4NH1%d", i), Account: "menu-app", Rule: "home", Result: "engine-3",
				Inputs:     fmt.Sprintf("attempt 1, 600 usable targets, shortest wait %dms, excluded []", i),
				Candidates: []decision.Candidate{{Name: "engine-3", Note: "best ranked; score is the wait in seconds"}},
			})
		}
		return r
	})
}

func prefixCost(_ *testing.B, n int) float64 {
	prompt := make([]byte, n<<10)
	scope := prefix.Scope("a", "v")
	return microsPerCall(200, func(int) { prefix.Chain(scope, prompt, 8192) })
}

// BenchmarkFirstByte compares the time to first text through a daemon with that of a
// direct request to an engine, in the same run.
func BenchmarkFirstByte(b *testing.B) {
	f := newFleet(b, 1, nil)
	var through, direct []time.Duration
	for b.Loop() {
		through = append(through, f.firstByte(f.daemons[0].callers+"/v1/completions", "menu key"))
		direct = append(direct, f.firstByte("http://"+f.addrs["engine-1"].String()+"/v1/generate", ""))
	}
	p99 := func(all []time.Duration) float64 { return percentile(all, 0.99) }
	b.ReportMetric(p99(through)-p99(direct), "added-p99-ms")
	b.ReportMetric(p99(through)/p99(direct), "ratio-p99")
	b.ReportMetric(percentile(through, 0.5)-percentile(direct, 0.5), "added-p50-ms")
}
