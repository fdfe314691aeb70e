package hostile_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/thymewind/thymewind/internal/hostile"
)

// shortOfTheEnd is the kind of body that stays the longest.
func shortOfTheEnd(t *testing.T) hostile.Body {
	t.Helper()
	for _, body := range hostile.Bodies() {
		if body.Name == "at once, short of the end" {
			return body
		}
	}
	t.Fatal("no such body")
	return hostile.Body{}
}

// sendCrowd has a crowd send bodies short of their end, and returns it with its connections open.
func sendCrowd(t *testing.T, to target) *hostile.Crowd {
	t.Helper()
	crowd := &hostile.Crowd{
		Dial: func(ctx context.Context) (net.Conn, error) {
			return (&net.Dialer{Timeout: tryTimeout}).DialContext(ctx, "tcp", to.at.String())
		},
		Clients: crowdClients, Limit: bodyLimit, Head: to.head, Prefix: to.prefix, Suffix: to.suffix,
	}
	t.Cleanup(crowd.Close)
	crowd.Send(t.Context(), shortOfTheEnd(t))
	return crowd
}

// metric reads a metric, or returns -1 if there is none of that name.
func metric(t *testing.T, at netip.AddrPort, name string) float64 {
	t.Helper()
	response, err := http.Get("http://" + at.String() + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	return -1
}

// box is a running program with the crowd's target.
type box struct {
	*program
	to target
	// metrics is where its metrics are, held the name of what it counts for clients.
	metrics netip.AddrPort
	held    string
	// ordinary returns a request that keeps to every limit, with a body of so many bytes.
	ordinary func(t *testing.T, bytes int) *http.Request
}

// boxes starts each program.
func boxes(t *testing.T) map[string]func(t *testing.T) box {
	t.Helper()
	front, s, f := build(t, "thymefront"), startPlatform(t), startWindFleet(t)
	return map[string]func(t *testing.T) box{
		"thymefront": func(t *testing.T) box {
			b := startFront(t, front, s, "")
			return box{b.program, target{at: b.callers, head: head(http.MethodPost, "/unsafe/x")}, b.metrics, "thymewind_entry_held_bytes", b.large}
		},
		"thymewind": func(t *testing.T) box {
			b := f.startWind(t)
			return box{b.program, target{at: b.callers, head: windHead("/services/orders/orders", "sk-menu", "X-Client: %d\r\n")}, b.operators, "thymewind_held_bytes", b.large}
		},
	}
}

// TestHeads guards against heads that never end.
func TestHeads(t *testing.T) {
	for name, start := range boxes(t) {
		for _, kind := range hostile.Heads() {
			t.Run(name+"/"+kind.Name, func(t *testing.T) {
				b := start(t)
				withstand(t, b.program, b.to, kind, func() *http.Request { return b.ordinary(t, 2<<10) })
			})
		}
	}
}

// TestLargeBodyBeforeCrowd guards against a body of the limit that never gets memory, as a crowd's
// bodies that stand still hold it.
func TestLargeBodyBeforeCrowd(t *testing.T) {
	for name, start := range boxes(t) {
		t.Run(name, func(t *testing.T) {
			b := start(t)
			sendCrowd(t, b.to)
			if !ask(t, func() *http.Request { return b.ordinary(t, bodyLimit) }) {
				t.Error("not answered")
			}
		})
	}
}

// TestCrowdLeaves guards against a crowd that leaves something behind: bytes that stay counted, or
// connections that stay open.
func TestCrowdLeaves(t *testing.T) {
	for name, start := range boxes(t) {
		t.Run(name, func(t *testing.T) {
			b := start(t)
			eventually(t, "nothing is counted", func() bool { return metric(t, b.metrics, b.held) == 0 })
			http.DefaultClient.CloseIdleConnections()
			idle := b.descriptors()
			crowd := sendCrowd(t, b.to)
			crowd.Close()
			eventually(t, "nothing stays counted", func() bool { return metric(t, b.metrics, b.held) == 0 })
			http.DefaultClient.CloseIdleConnections()
			// Connections to targets may be kept.
			const keptConnections = 16
			eventually(t, "the connections are closed", func() bool { return b.descriptors() <= idle+keptConnections })
		})
	}
}

// TestStopBeforeCrowd guards against a stop that waits for bodies whose clients send no more.
func TestStopBeforeCrowd(t *testing.T) {
	for name, start := range boxes(t) {
		t.Run(name, func(t *testing.T) {
			b := start(t)
			sendCrowd(t, b.to)
			if err := b.process.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the process has ended", func() bool { return !b.isAlive() })
			if code := b.process.ProcessState.ExitCode(); code != 0 {
				t.Errorf("it ended with %d", code)
			}
		})
	}
}
