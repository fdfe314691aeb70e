package thymewind

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/thymewind/thymewind/account"
	"github.com/thymewind/thymewind/boxes"
	"github.com/thymewind/thymewind/configuration"
	standin "github.com/thymewind/thymewind/internal/standin/engine"
	"github.com/thymewind/thymewind/internal/standin/fault"
	"github.com/thymewind/thymewind/internal/standin/platform"
	"github.com/thymewind/thymewind/internal/standin/service"
	"github.com/thymewind/thymewind/internal/standin/store"
	"github.com/thymewind/thymewind/settings"
)

// fleet is a small fleet of stand-ins and daemons in this process, over loopback.
type fleet struct {
	t        testing.TB
	platform *httptest.Server
	faults   map[string]*fault.Switch
	addrs    map[string]netip.AddrPort
	daemons  []*runningDaemon
	// limited are the targets by name; each may announce a rate limit.
	limited map[string]*limitedTarget
	mu      sync.Mutex
	boxes   []boxes.Box
}

// runningDaemon is a daemon of the fleet.
type runningDaemon struct {
	d       *Daemon
	callers string
	stop    context.CancelFunc
	done    chan error
}

// engineDecode is the time between tokens of the fleet's engines.
const engineDecode = 3 * time.Millisecond

// newFleet starts stand-ins and daemons; change alters each daemon before it
// runs, and may be nil.
func newFleet(t testing.TB, daemons int, change func(*Daemon)) *fleet {
	f := &fleet{t: t, faults: make(map[string]*fault.Switch), limited: make(map[string]*limitedTarget), addrs: make(map[string]netip.AddrPort)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	p := platform.Platform{Fault: f.fault("platform"), Lag: 50 * time.Millisecond, SilenceTimeout: time.Minute, Writes: 1000, Reads: 10000}
	f.platform = httptest.NewServer(p.Handler())
	t.Cleanup(f.platform.Close)
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		e := standin.Engine{
			Name: name, Fault: f.fault(name), Version: "v1", Slots: 8, CachePieces: 64, PieceKV: 256,
			Prefill: 1e6, Decode: engineDecode, LoadWeights: 100 * time.Millisecond, Lag: 50 * time.Millisecond, ChecksFence: true,
		}
		f.serve(boxes.Box{Name: name, Role: boxes.RoleEngine, Pool: "menu", Domain: "zone-" + name}, e.Handler(ctx))
	}
	s := store.Store{Fault: f.fault("store-1"), MemoryBytes: 1 << 20, DiskBytes: 1 << 20, MemoryRate: 1e8, DiskRate: 1e7}
	f.serve(boxes.Box{Name: "store-1", Role: boxes.RoleStore}, s.Handler())
	o := service.Service{Name: "service-1", Fault: f.fault("service-1")}
	f.serve(boxes.Box{Name: "service-1", Role: boxes.RoleService, Pool: "orders"}, o.Handler())
	go f.announce(ctx)
	for i := range daemons {
		f.start(i, change)
	}
	f.configure()
	f.eventually("all pools usable everywhere", func() bool {
		for _, r := range f.daemons {
			usable := 0
			r.d.inspect(ctx, func(now time.Time, t *tables) {
				for _, x := range t.Targets.All() {
					if x.Usable(now) && (x.Pool == "orders" || x.Version != "") {
						usable++
					}
				}
			})
			if usable != 4 {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) fault(name string) *fault.Switch {
	f.faults[name] = &fault.Switch{}
	return f.faults[name]
}

func (f *fleet) serve(b boxes.Box, handler http.Handler) {
	f.limited[b.Name] = &limitedTarget{handler: handler}
	server := httptest.NewServer(f.limited[b.Name])
	f.t.Cleanup(server.CloseClientConnections)
	b.Address = netip.MustParseAddrPort(server.Listener.Addr().String())
	f.addrs[b.Name] = b.Address
	f.mu.Lock()
	defer f.mu.Unlock()
	f.boxes = append(f.boxes, b)
}

// announce keeps the boxes on the platform's list until ctx ends.
func (f *fleet) announce(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		all := append([]boxes.Box(nil), f.boxes...)
		f.mu.Unlock()
		for _, b := range all {
			body, err := json.Marshal(b)
			if err != nil {
				continue
			}
			request, err := http.NewRequestWithContext(ctx, http.MethodPut, f.platform.URL+"/announce", bytes.NewReader(body))
			if err != nil {
				continue
			}
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}
		_ = wait(ctx, 50*time.Millisecond)
	}
}

func (f *fleet) start(i int, change func(*Daemon)) {
	name := "entry-" + string(rune('1'+i))
	local := netip.MustParseAddrPort("127.0.0.1:0")
	d := &Daemon{
		Settings: settings.Settings{
			Name: name, Domain: "zone-a", Callers: local, Operators: local, Peers: local, Platform: f.platform.URL,
			TokenKeys: []string{"a token key of the tests"}, PeerCredential: "a peer credential",
			Limits: settings.Limits{BodyBytes: 1 << 20, HeaderBytes: 1 << 14, Records: 1000},
			Timing: settings.Timing{
				Tick: 10 * time.Millisecond, Poll: 100 * time.Millisecond, Load: 50 * time.Millisecond, Gossip: 50 * time.Millisecond,
				Lease: time.Second, Notice: 10 * time.Millisecond, Request: time.Minute,
			},
		},
		Log: log.New(io.Discard), Registry: prometheus.NewRegistry(),
	}
	r := &runningDaemon{d: d, done: make(chan error, 1)}
	open := make(chan struct{})
	d.OnListening = func(callers, _, peers netip.AddrPort) {
		if change != nil {
			change(d)
		}
		r.callers = "http://" + callers.String()
		f.mu.Lock()
		f.boxes = append(f.boxes, boxes.Box{Name: name, Role: boxes.RoleEntry, Address: callers, Peer: peers})
		f.mu.Unlock()
		close(open)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.done <- d.Run(ctx) }()
	<-open
	f.daemons = append(f.daemons, r)
	f.t.Cleanup(cancel)
}

func (f *fleet) configure() {
	var entries []configuration.Entry
	add := func(kind, name, after string) {
		entries = append(entries, configuration.Entry{Kind: kind, Name: name, After: json.RawMessage(after)})
	}
	add("account", "menu-app", `{"name":"menu-app","weight":1,"key_hashes":["`+account.HashKey("menu key")+`"]}`)
	add("account", "rider-app", `{"name":"rider-app","weight":1,"key_hashes":["`+account.HashKey("rider key")+`"]}`)
	add("pool", "menu", `{"name":"menu","kind":"model","weights":"v1","checks_fence":true,"policy":{"first_token":1,"recompute":1,"link":0},"piece_bytes":64,"stores":true,"concurrency":32}`)
	add("pool", "orders", `{"name":"orders","kind":"service","policy":{},"concurrency":32}`)
	add("model", "menu-assistant", `{"name":"menu-assistant","pool":"menu"}`)
	report := f.daemons[0].d.submit(context.Background(), "tests", entries, nil)
	if report.Error != "" {
		f.t.Fatal(report.Error)
	}
}

// eventually waits for a condition for at least 30 s, so that slow machines pass too.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for range 3000 {
		if holds() {
			return
		}
		_ = wait(context.Background(), 10*time.Millisecond)
	}
	f.t.Fatalf("condition did not hold in time: %s", what)
}

// reply is one answer to a caller.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// post sends one request to a daemon.
func (f *fleet) post(daemon int, key, path, body string, header http.Header) reply {
	return f.do(http.MethodPost, daemon, key, path, body, header)
}

func (f *fleet) do(method string, daemon int, key, path, body string, header http.Header) reply {
	request, err := http.NewRequest(method, f.daemons[daemon].callers+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(data), err}
}

// chat requests an answer that is not streamed.
func (f *fleet) chat(daemon int, key, content string, tokens int) (text string, cached int, r reply) {
	body, err := json.Marshal(struct {
		Model     string `json:"model"`
		MaxTokens int    `json:"max_tokens"`
		Messages  []any  `json:"messages"`
	}{"menu-assistant", tokens, []any{struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"user", content}}})
	if err != nil {
		f.t.Fatal(err)
	}
	r = f.post(daemon, key, "/v1/chat/completions", string(body), nil)
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
		Usage struct {
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if r.err == nil && r.status == http.StatusOK && json.Unmarshal([]byte(r.body), &answer) == nil && len(answer.Choices) == 1 {
		text, cached = answer.Choices[0].Message.Content, answer.Usage.Details.Cached
	}
	return text, cached, r
}

// expected returns every engine's answer to a chat of one message.
func expected(content string, tokens int) string {
	return standin.Answer("<|user|>"+content+"\n", tokens)
}

// runs lists the runs of one engine.
func (f *fleet) runs(engine string) []standin.StartedRun {
	response, err := http.Get("http://" + f.addrs[engine].String() + "/runs")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var all []standin.StartedRun
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		f.t.Fatal(err)
	}
	return all
}

// firstByte requests a streamed answer and returns the time to its first text.
func (f *fleet) firstByte(url, key string) time.Duration {
	body := `{"model":"menu-assistant","prompt":"what is left tonight","stream":true,"max_tokens":1,"request":"direct-` + newID() + `","attempt":1,"version":"v1","scope":"direct","piece_bytes":64}`
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.Contains(line, `"text"`) {
			took := time.Since(began)
			_, _ = io.Copy(io.Discard, lines)
			return took
		}
		if err != nil {
			f.t.Fatalf("no text: %v", err)
		}
	}
}

// percentile returns a percentile in milliseconds; part is 0 to 1.
func percentile(all []time.Duration, part float64) float64 {
	sorted := slices.Sorted(slices.Values(all))
	return float64(sorted[int(part*float64(len(sorted)-1))]) / float64(time.Millisecond)
}
