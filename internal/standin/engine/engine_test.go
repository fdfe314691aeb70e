package engine_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/gravitational/trace"

	api "github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/internal/standin/engine"
	"github.com/thymewind/thymewind/internal/standin/fault"
	"github.com/thymewind/thymewind/stream"
)

func start(t *testing.T) (api.Client, netip.AddrPort) {
	t.Helper()
	e := &engine.Engine{Name: "e", Fault: &fault.Switch{}, Version: "v1", Slots: 1, CachePieces: 8, PieceKV: 64, Prefill: 1e6, ChecksFence: true}
	server := httptest.NewServer(e.Handler(t.Context()))
	t.Cleanup(server.Close)
	return api.Client{HTTP: http.DefaultClient}, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// TestCancelOfAnUnknownRun checks that an engine that does not know a run, for example
// after a restart, does not claim that it never started.
func TestCancelOfAnUnknownRun(t *testing.T) {
	c, at := start(t)
	started, err := c.Cancel(t.Context(), at, "r", 1)
	if !started || !trace.IsNotFound(err) {
		t.Errorf("Cancel = started %v, %v, want it unknown", started, err)
	}
}

func TestRunAndResume(t *testing.T) {
	c, at := start(t)
	prompt := strings.Repeat("adobo ", 50)
	run := api.Run{Request: "r", Attempt: 1, Version: "v1", Scope: "s", Prompt: prompt, MaxTokens: 9, PieceBytes: 64}
	frames, err := c.Generate(t.Context(), at, run)
	if err != nil {
		t.Fatal(err)
	}
	want := engine.Answer(prompt, 9)
	if got := readStream(t, frames, 0); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	frames, err = c.Resume(t.Context(), at, "r", 1, 5)
	if err != nil {
		t.Fatal(err)
	}
	if got := readStream(t, frames, 5); got != want[5:] {
		t.Errorf("resumed %q, want %q", got, want[5:])
	}
	if _, err := c.Generate(t.Context(), at, api.Run{Request: "r2", Attempt: 1, Version: "v2"}); err == nil {
		t.Error("a run of another weight version started")
	}
}

// readStream reads a whole stream through the checker and returns its text.
func readStream(t *testing.T, frames *api.Frames, offset int) string {
	t.Helper()
	checker := stream.Checker{Request: "r", Attempt: 1, Version: "v1", Scope: "s"}
	checker.ResumeAt(offset)
	var b strings.Builder
	for !checker.Complete() {
		frame, err := frames.Next()
		if err != nil {
			t.Fatal(err)
		}
		text, err := checker.Accept(frame)
		if err != nil {
			t.Fatal(err)
		}
		b.WriteString(text)
	}
	return b.String()
}

func TestLowerEpochOrdersAreRefused(t *testing.T) {
	c, at := start(t)
	tests := []struct {
		epoch uint64
		ok    bool
	}{{2, true}, {1, false}, {2, true}, {3, true}}
	for _, tt := range tests {
		if err := c.Send(t.Context(), at, api.Order{Epoch: tt.epoch}); (err == nil) != tt.ok {
			t.Errorf("an order of epoch %d: %v", tt.epoch, err)
		}
	}
}
