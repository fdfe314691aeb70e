// Command standin runs a stand-in for one of the external systems:
//
//	standin -role engine -name engine-1 -listen 127.0.0.1:7101 -platform http://127.0.0.1:7000
package main

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/dghubble/sling"
	"github.com/gravitational/trace"

	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/internal/standin/engine"
	"github.com/thymewind/thymewind/internal/standin/fault"
	"github.com/thymewind/thymewind/internal/standin/platform"
	"github.com/thymewind/thymewind/internal/standin/service"
	"github.com/thymewind/thymewind/internal/standin/store"
)

const rolePlatform = "platform"

// options are the command-line flags.
type options struct {
	box      boxes.Box
	platform string
	lag      time.Duration
	version  string
	fenced   bool
	slots    int
	decode   time.Duration
	prefill  float64
	cache    int
	writes   float64
	reads    float64
	linkRate float64
	memory   int
	weights  time.Duration
	entries  string
}

func parseFlags() (options, error) {
	var o options
	var listen string
	flag.StringVar(&o.box.Role, "role", "", "platform, engine, store or service")
	flag.StringVar(&o.box.Name, "name", "", "the box's name")
	flag.StringVar(&listen, "listen", "", "IP number and port")
	flag.StringVar(&o.box.Domain, "domain", "", "failure domain")
	flag.StringVar(&o.box.Pool, "pool", "", "pool of an engine or a service")
	flag.StringVar(&o.platform, "platform", "", "the platform's URL")
	flag.DurationVar(&o.lag, "lag", 500*time.Millisecond, "lag of reports and of the list of boxes")
	flag.StringVar(&o.version, "version", "v1", "engine: weight version at the start")
	flag.BoolVar(&o.fenced, "fenced", true, "engine: refuse orders of a lower epoch")
	flag.IntVar(&o.slots, "slots", 8, "engine: runs at once")
	flag.DurationVar(&o.decode, "decode", 5*time.Millisecond, "engine: time between tokens")
	flag.Float64Var(&o.prefill, "prefill", 20000, "engine: prompt tokens a second")
	flag.IntVar(&o.cache, "cache", 64, "engine: pieces in the prefix cache")
	flag.DurationVar(&o.weights, "weights", 1200*time.Millisecond, "engine: time to load weights")
	flag.Float64Var(&o.writes, "writes", 100, "platform: transactions a second")
	flag.Float64Var(&o.reads, "reads", 2000, "platform: reads a second")
	flag.Float64Var(&o.linkRate, "link", 50e6, "store: bytes a second of the memory tier; the disk tier has a fifth")
	flag.IntVar(&o.memory, "memory", 16<<20, "store: bytes of the memory tier; the disk tier has four times that")
	flag.StringVar(&o.entries, "entries", "", "platform: entry boxes to probe, each name=address/domain, with commas")
	flag.Parse()
	var err error
	o.box.Address, err = netip.ParseAddrPort(listen)
	return o, trace.Wrap(err, "-listen")
}

func main() {
	o, err := parseFlags()
	if err != nil {
		log.Fatal("bad command line", "err", err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var sw fault.Switch
	handler, err := handlerFor(ctx, o, &sw)
	if err != nil {
		log.Fatal("bad command line", "err", err)
	}
	server := http.Server{Addr: o.box.Address.String(), Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if o.box.Role != rolePlatform {
		go announce(ctx, o, &sw)
	}
	for _, entry := range strings.FieldsFunc(o.entries, func(r rune) bool { return r == ',' }) {
		go probe(ctx, o, entry)
	}
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		log.Fatal("can't serve", "err", err)
	}
}

func handlerFor(ctx context.Context, o options, sw *fault.Switch) (http.Handler, error) {
	switch o.box.Role {
	case rolePlatform:
		p := platform.Platform{Fault: sw, Lag: o.lag, SilenceTimeout: 3 * time.Second, Writes: o.writes, Reads: o.reads}
		return p.Handler(), nil
	case boxes.RoleEngine:
		e := engine.Engine{
			Name: o.box.Name, Fault: sw, Version: o.version, Slots: o.slots, CachePieces: o.cache, PieceKV: 32 << 10,
			Prefill: o.prefill, Decode: o.decode, LoadWeights: o.weights, Lag: o.lag, ChecksFence: o.fenced,
		}
		return e.Handler(ctx), nil
	case boxes.RoleStore:
		s := store.Store{
			Fault: sw, MemoryBytes: o.memory, DiskBytes: 4 * o.memory,
			MemoryRate: o.linkRate, DiskRate: o.linkRate / 5,
		}
		return s.Handler(), nil
	case boxes.RoleService:
		s := service.Service{Name: o.box.Name, Fault: sw}
		return s.Handler(), nil
	}
	return nil, trace.BadParameter("-role %q is unknown", o.box.Role)
}

// announceInterval is how often boxes are announced.
const announceInterval = 300 * time.Millisecond

// announce keeps this box on the platform's list until ctx ends.
func announce(ctx context.Context, o options, sw *fault.Switch) {
	for ctx.Err() == nil {
		box := o.box
		box.Leaving = sw.State().Leaving
		put(ctx, o.platform, box)
		sleep(ctx)
	}
}

// probe keeps an entry box on the list while its peer listener accepts connections, as
// a platform's health checks do.
func probe(ctx context.Context, o options, entry string) {
	name, rest, _ := strings.Cut(entry, "=")
	at, domain, _ := strings.Cut(rest, "/")
	address, err := netip.ParseAddrPort(at)
	if err != nil {
		log.Fatal("bad command line", "entries", entry, "err", err)
	}
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", at, announceInterval)
		if err == nil {
			_ = conn.Close()
			put(ctx, "http://"+o.box.Address.String(), boxes.Box{Name: name, Role: boxes.RoleEntry, Address: address, Peer: address, Domain: domain})
		}
		sleep(ctx)
	}
}

func sleep(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(announceInterval):
	}
}

func put(ctx context.Context, platform string, box boxes.Box) {
	client := &http.Client{Timeout: time.Second}
	request, err := sling.New().Base(platform).Put("/announce").BodyJSON(box).Request()
	if err != nil {
		return
	}
	if response, err := client.Do(request.WithContext(ctx)); err == nil {
		_ = response.Body.Close()
	}
}
