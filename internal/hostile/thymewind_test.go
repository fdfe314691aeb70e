package hostile_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/thymewind/thymewind/internal/hostile"
)

// operatorCredential is the credential of windBox's operator; its SHA-256 is in the settings.
const operatorCredential = "example-operator"

const windSettings = `name: entry-1
domain: zone-a
callers: %v
operators: %v
peers: %v
platform: http://%v
token_keys: [a-token-key-of-the-tests]
peer_credential: a-peer-credential-of-the-tests
operator_credentials:
  - name: ana
    sha256: "f667d28fdd54353c116d8688b1e9bf80c68f77428253075a24833bc4f8dad41e"
limits: {body_bytes: %d}
box: {memory_mb: %d, descriptors: %d}
`

const windConfiguration = `accounts:
  - account: {name: menu-app, weight: 1}
    keys: [sk-menu]
pools:
  - name: menu
    kind: model
    weights: v1
    checks_fence: true
    policy: {first_token: 4, recompute: 1, link: 1}
    piece_bytes: 2048
    concurrency: 16
  - name: orders
    kind: service
    concurrency: 32
    policy: {first_token: 1, recompute: 0, link: 0}
models:
  - name: menu-assistant
    pool: menu
`

// windBox is a thymewind process with its settings.
type windBox struct {
	*program
	callers, operators, peers netip.AddrPort
}

// windFleet is the stand-ins of a thymewind process, each a process of its own.
type windFleet struct {
	box, control string
	platform     netip.AddrPort
	// configured says that the configuration was applied.
	configured bool
}

// startWindFleet starts a stand-in platform, an engine and a service.
func startWindFleet(t *testing.T) *windFleet {
	t.Helper()
	f := &windFleet{box: build(t, "thymewind"), control: build(t, "thymectl"), platform: freeAddress(t)}
	standin := build(t, "standin")
	start(t, nil, standin, "-role", "platform", "-name", "platform", "-listen", f.platform.String())
	for role, pool := range map[string]string{"engine": "menu", "service": "orders"} {
		start(t, nil, standin, "-role", role, "-name", role+"-1", "-listen", freeAddress(t).String(), "-domain", "zone-a", "-pool", pool, "-prefill", "10000000", "-platform", "http://"+f.platform.String())
	}
	return f
}

// startWind starts a box before the stand-ins.
func (f *windFleet) startWind(t *testing.T) *windBox {
	t.Helper()
	b := &windBox{callers: freeAddress(t), operators: freeAddress(t), peers: freeAddress(t)}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	text := fmt.Sprintf(windSettings, b.callers, b.operators, b.peers, f.platform, bodyLimit, boxMemoryMB, boxDescriptors)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	b.program = start(t, []netip.AddrPort{b.callers, b.operators, b.peers}, f.box, "-settings", file)
	eventually(t, "the configuration is applied", func() bool { return f.configured || f.apply(t, b) })
	for _, ordinary := range []func(*testing.T) *http.Request{b.chat, b.order} {
		eventually(t, "requests are answered", func() bool { return isOK(ordinary(t)) })
	}
	return b
}

// apply has a box apply the configuration.
func (f *windFleet) apply(t *testing.T, b *windBox) bool {
	t.Helper()
	file := filepath.Join(t.TempDir(), "configuration.yaml")
	if err := os.WriteFile(file, []byte(windConfiguration), 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(f.control, "-at", "http://"+b.operators.String(), "apply", file)
	command.Env = append(os.Environ(), "THYMEWIND_CREDENTIAL="+operatorCredential)
	f.configured = command.Run() == nil
	return f.configured
}

// chat and order are requests that keep to every limit.
func (b *windBox) chat(t *testing.T) *http.Request {
	body := `{"model":"menu-assistant","max_tokens":1,"messages":[{"role":"user","content":"What is left tonight?"}]}`
	return request(t, http.MethodPost, "http://"+b.callers.String()+"/v1/chat/completions", body, http.Header{"Authorization": {"Bearer sk-menu"}})
}

func (b *windBox) order(t *testing.T) *http.Request { return b.large(t, 2<<10) }

// large is an order with a body of so many bytes.
func (b *windBox) large(t *testing.T, bytes int) *http.Request {
	return request(t, http.MethodPost, "http://"+b.callers.String()+"/services/orders/orders", strings.Repeat("x", bytes), http.Header{"Authorization": {"Bearer sk-menu"}})
}

// windHead returns the head of the crowd's requests.
func windHead(path, credential, extra string) func(client int) string {
	return func(client int) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: box\r\nAuthorization: Bearer %s\r\n", path, credential) + fmt.Sprintf(extra, client)
	}
}

// TestBodiesAtWind guards against clients whose bodies end a thymewind process, or keep it from
// serving others, for each of its ways to read a body.
func TestBodiesAtWind(t *testing.T) {
	f := startWindFleet(t)
	tests := []struct {
		name string
		to   func(b *windBox) target
	}{
		{"chat", func(b *windBox) target {
			return target{
				at: b.callers, head: windHead("/v1/chat/completions", "sk-menu", "X-Client: %d\r\n"),
				prefix: `{"model":"menu-assistant","max_tokens":1,"messages":[{"role":"user","content":"`, suffix: `"}]}`,
			}
		}},
		{"service", func(b *windBox) target {
			return target{at: b.callers, head: windHead("/services/orders/orders", "sk-menu", "X-Client: %d\r\n")}
		}},
		{"service, not repeatable", func(b *windBox) target {
			return target{at: b.callers, head: windHead("/services/orders/orders", "sk-menu", "Thymewind-Not-Repeatable: true\r\nIdempotency-Key: key-%d\r\n")}
		}},
		{"no key", func(b *windBox) target {
			return target{at: b.callers, head: windHead("/v1/chat/completions", "sk-nobody", "X-Client: %d\r\n")}
		}},
		{"operators", func(b *windBox) target {
			return target{at: b.operators, head: windHead("/v1/query", operatorCredential, "X-Client: %d\r\n")}
		}},
		{"peers", func(b *windBox) target {
			return target{at: b.peers, head: windHead("/peer", "nobody", "X-Client: %d\r\n")}
		}},
	}
	for _, tt := range tests {
		for _, body := range hostile.Bodies() {
			t.Run(tt.name+"/"+body.Name, func(t *testing.T) {
				b := f.startWind(t)
				withstand(t, b.program, tt.to(b), body, func() *http.Request { return b.order(t) })
			})
		}
	}
}
