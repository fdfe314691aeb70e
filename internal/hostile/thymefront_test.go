package hostile_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/internal/hostile"
	"github.com/thymewind/thymewind/platform/headers"
	"github.com/thymewind/thymewind/platform/standin"
)

// frontBox is a thymefront process with its settings.
type frontBox struct {
	*program
	callers, ready, metrics, peers netip.AddrPort
	// settings is the file of its settings.
	settings string
}

// startFront starts a box of a platform, with a setting of the deployment.
func startFront(t *testing.T, path string, s *standin.Store, setting string) *frontBox {
	t.Helper()
	return startFrontNamed(t, path, s, "entry-1", setting)
}

// startFrontNamed is startFront with a name for the box.
func startFrontNamed(t *testing.T, path string, s *standin.Store, name, setting string) *frontBox {
	t.Helper()
	b := &frontBox{callers: freeAddress(t), ready: freeAddress(t), metrics: freeAddress(t), peers: freeAddress(t)}
	b.settings = filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf("name: %s\ndomain: a\ncallers: %v\nready: %v\nmetrics: %v\npeers: %v\nstore: {address: %v}\nbox: {memory_mb: %d, descriptors: %d}\n%s\n",
		name, b.callers, b.ready, b.metrics, b.peers, s.Address(), boxMemoryMB, boxDescriptors, setting)
	if err := os.WriteFile(b.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return startFrontAt(t, path, b)
}

// startFrontAt starts a box with the settings of one that has ended or not begun.
func startFrontAt(t *testing.T, path string, before *frontBox) *frontBox {
	t.Helper()
	b := *before
	b.program = start(t, []netip.AddrPort{b.callers, b.ready, b.metrics, b.peers}, path, "-settings", b.settings)
	eventually(t, "a request is answered", func() bool { return isOK(b.ordinary(t)) })
	return &b
}

// ordinary is a request that keeps to every limit.
func (b *frontBox) ordinary(t *testing.T) *http.Request { return b.large(t, 2<<10) }

// large is one with a body of so many bytes.
func (b *frontBox) large(t *testing.T, bytes int) *http.Request {
	r := request(t, http.MethodPost, "http://"+b.callers.String()+"/safe/x", strings.Repeat("x", bytes), http.Header{
		headers.RequestID: {"ordinary"}, headers.APIKey: {"good-key"},
	})
	r.Host = "shop.example"
	return r
}

// startPlatform starts a stand-in platform with two replicas of a service and the test's limit of bodies.
func startPlatform(t *testing.T) *standin.Store {
	t.Helper()
	s, _ := startTreated(t, 2, nil)
	return s
}

// startTreated is startPlatform with any number of replicas that treat requests in their own way.
func startTreated(t *testing.T, count int, treat func(*http.Request) int) (*standin.Store, []*standin.Replica) {
	t.Helper()
	var replicas []*standin.Replica
	s := standin.NewStore()
	t.Cleanup(s.Close)
	for i := range count {
		r := &standin.Replica{ID: fmt.Sprintf("i-%d", i), Service: "orders", Zone: "a", Treat: treat}
		replicas = append(replicas, r)
		r.Start(s)
		t.Cleanup(r.Stop)
	}
	s.MaxBody = bodyLimit
	s.Configure(1,
		[]map[string]any{{"name": "orders", "health_path": "/health", "max_connections": 16}},
		[]map[string]any{
			standin.Route("safe", "safe", "orders", time.Minute),
			standin.Route("unsafe", "unsafe", "orders", time.Minute),
		},
		[]map[string]any{{"name": "cafe", "api_keys": []string{"good-key"}}})
	return s, replicas
}

// head returns the head of the crowd's requests.
func head(method, path string) func(client int) string {
	return func(client int) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: crowd-%d\r\n%s: good-key\r\n", method, path, headers.RequestID, client, headers.APIKey)
	}
}

// TestBodiesAtFront guards against clients whose bodies end a thymefront process, or keep it from
// serving others, on deployments with and without the contract that bounds slow readers.
func TestBodiesAtFront(t *testing.T) {
	path, s := build(t, "thymefront"), startPlatform(t)
	for _, deployment := range []struct{ name, setting string }{
		{"plain", ""},
		{"pressure", "contracts: [pressure]"},
	} {
		for _, body := range hostile.Bodies() {
			t.Run(deployment.name+"/"+body.Name, func(t *testing.T) {
				b := startFront(t, path, s, deployment.setting)
				to := target{at: b.callers, head: head(http.MethodPost, "/unsafe/x")}
				withstand(t, b.program, to, body, func() *http.Request { return b.ordinary(t) })
			})
		}
	}
}

// TestBodiesAtOtherListenersOfFront is TestBodiesAtFront for the listeners that are not meant for
// clients, and for requests that are refused before their body is read.
func TestBodiesAtOtherListenersOfFront(t *testing.T) {
	path, s := build(t, "thymefront"), startPlatform(t)
	tests := []struct {
		name string
		to   func(b *frontBox) target
	}{
		{"callers, no route", func(b *frontBox) target { return target{at: b.callers, head: head(http.MethodPost, "/nothing/x")} }},
		{"ready", func(b *frontBox) target { return target{at: b.ready, head: head(http.MethodPost, "/v1/ready")} }},
		{"metrics", func(b *frontBox) target { return target{at: b.metrics, head: head(http.MethodPost, "/metrics")} }},
		{"peers", func(b *frontBox) target { return target{at: b.peers, head: head(http.MethodPost, "/peer")} }},
	}
	for _, tt := range tests {
		for _, body := range hostile.Bodies() {
			t.Run(tt.name+"/"+body.Name, func(t *testing.T) {
				b := startFront(t, path, s, "")
				withstand(t, b.program, tt.to(b), body, func() *http.Request { return b.ordinary(t) })
			})
		}
	}
}
