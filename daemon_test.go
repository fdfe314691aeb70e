package thymewind

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	standin "github.com/thymewind/thymewind/internal/standin/engine"
	"github.com/thymewind/thymewind/internal/standin/fault"
	"github.com/thymewind/thymewind/prefix"
)

func TestAnswersAreComplete(t *testing.T) {
	f := newFleet(t, 2, nil)
	prompt := strings.Repeat("sinigang, adobo, pancit; ", 20)
	for i := range 6 {
		text, _, r := f.chat(i%2, "menu key", prompt, 20)
		if text != expected(prompt, 20) {
			t.Fatalf("request %d: %+v", i, r)
		}
	}
	if _, cached, _ := f.chat(0, "menu key", prompt, 5); cached == 0 {
		t.Error("a returning prompt's cache was not reused")
	}
}

// TestCutStreams has engines cut most of their streams, or send frames of another
// request in them. Callers still get whole answers or typed errors.
func TestCutStreams(t *testing.T) {
	f := newFleet(t, 1, nil)
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		state := f.faults[name].State()
		state.Cut, state.Crossed = 0.6, 0.3
		f.faults[name].Set(state)
	}
	whole := 0
	for i := range 20 {
		prompt := fmt.Sprintf("address %d near the chapel, behind the big mango tree", i)
		text, _, r := f.chat(0, "menu key", prompt, 30)
		switch {
		case r.err != nil:
			t.Errorf("request %d: %v", i, r.err)
		case r.status == http.StatusOK && text != expected(prompt, 30):
			t.Errorf("request %d: status 200 with a wrong answer %q", i, text)
		case r.status == http.StatusOK:
			whole++
		case r.header.Get("Thymewind-Outcome") == "":
			t.Errorf("request %d: status %d without an outcome", i, r.status)
		}
	}
	if whole == 0 {
		t.Error("no answer was whole")
	}
}

// crossAccountLeaks has two accounts send the same prompts and the same idempotency
// keys. It returns the cache and the answers that leaked from one to the other.
func crossAccountLeaks(t *testing.T, f *fleet) (leaks []string) {
	for i := range 4 {
		prompt := fmt.Sprintf("round %d: %s", i, strings.Repeat("the same catalogue for all; ", 20))
		if _, _, r := f.chat(0, "menu key", prompt, 3); r.status != http.StatusOK {
			t.Fatalf("%+v", r)
		}
		_, cached, _ := f.chat(0, "rider key", prompt, 3)
		if cached > 0 {
			leaks = append(leaks, "cache of "+prompt[:8])
		}
		header := http.Header{"Idempotency-Key": {fmt.Sprint("order-", i)}, "Thymewind-Not-Repeatable": {"true"}}
		one := f.post(0, "menu key", "/services/orders/orders", "for the menu", header)
		two := f.post(0, "rider key", "/services/orders/orders", "for the rider", header)
		if !strings.Contains(one.body, "for the menu") || !strings.Contains(two.body, "for the rider") {
			leaks = append(leaks, fmt.Sprintf("answers %q, %q", one.body, two.body))
		}
	}
	return leaks
}

func TestAccountsAreIsolated(t *testing.T) {
	if leaks := crossAccountLeaks(t, newFleet(t, 1, nil)); len(leaks) > 0 {
		t.Errorf("leaked between accounts: %v", leaks)
	}
}

func TestAccountIsolationNeedsTheScope(t *testing.T) {
	removed := func(d *Daemon) {
		d.tables.Scope = func(_, version string) prefix.Key { return prefix.Scope("", version) }
	}
	if leaks := crossAccountLeaks(t, newFleet(t, 1, removed)); len(leaks) == 0 {
		t.Error("nothing leaked with the account removed from the scope, so TestAccountsAreIsolated proves nothing")
	}
}

// stream begins a streamed answer and returns after its first line.
func (f *fleet) stream(daemon int, prompt string, tokens int) (*http.Response, *bufio.Reader, string) {
	body := fmt.Sprintf(`{"model":"menu-assistant","prompt":%q,"stream":true,"max_tokens":%d}`, prompt, tokens)
	request, err := http.NewRequest(http.MethodPost, f.daemons[daemon].callers+"/v1/completions", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer menu key")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	if err != nil {
		f.t.Fatal(err)
	}
	return response, reader, line
}

// readToEnd reads a stream to its end and reports whether it was complete.
func readToEnd(reader *bufio.Reader) bool {
	complete := false
	for {
		line, err := reader.ReadString('\n')
		complete = complete || strings.HasPrefix(line, "data: [DONE]")
		if err != nil {
			return complete
		}
	}
}

// stopMidAnswer stops a daemon in the middle of an answer and reports whether the
// answer was complete and the daemon stopped without an error.
func stopMidAnswer(t *testing.T, change func(*Daemon)) bool {
	f := newFleet(t, 1, change)
	response, reader, _ := f.stream(0, "a long story", 200)
	defer func() { _ = response.Body.Close() }()
	f.daemons[0].stop()
	complete := readToEnd(reader)
	err := <-f.daemons[0].done
	if waiting := f.daemons[0].d.ledger.Pending(); waiting > 0 {
		t.Errorf("the charges of %d accounts were not written", waiting)
	}
	return complete && err == nil
}

func TestPlannedStopDrains(t *testing.T) {
	if !stopMidAnswer(t, nil) {
		t.Error("a planned stop cut an answer")
	}
}

func TestPlannedStopNeedsTheWait(t *testing.T) {
	removed := func(d *Daemon) {
		d.shutdown = func(s *http.Server, _ context.Context) error { return s.Close() }
	}
	if stopMidAnswer(t, removed) {
		t.Error("nothing was cut without the wait for the last request, so TestPlannedStopDrains proves nothing")
	}
}

// TestResumeOnAnotherBox resumes a stream at a second daemon.
func TestResumeOnAnotherBox(t *testing.T) {
	f := newFleet(t, 2, nil)
	response, _, first := f.stream(0, "a long story", 100)
	token := response.Header.Get("Thymewind-Resume")
	_ = response.Body.Close() // As if the box had failed.
	offset := strings.TrimSpace(strings.TrimPrefix(first, "id: "))
	header := http.Header{"Thymewind-Resume": {token}, "Last-Event-Id": {offset}}
	r := f.post(1, "menu key", "/v1/resume", "", header)
	want := standin.Answer("a long story", 100)
	var at int
	if _, err := fmt.Sscan(offset, &at); err != nil {
		t.Fatal(err)
	}
	if got := textOf(r.body); r.err != nil || got != want[at:] || !strings.Contains(r.body, "[DONE]") {
		t.Errorf("from offset %d: got %q, want %q", at, got, want[at:])
	}
	if r := f.post(1, "rider key", "/v1/resume", "", header); r.status != http.StatusForbidden {
		t.Errorf("another account's token: status %d", r.status)
	}
}

// textOf collects the text of a completion's events.
func textOf(events string) string {
	var b strings.Builder
	for _, part := range strings.Split(events, `"text":"`)[1:] {
		text, _, _ := strings.Cut(part, `"`)
		b.WriteString(text)
	}
	return b.String()
}

// TestRollout rolls a pool out to new weights under load. Every answer is whole, no
// request is refused, and each run's cache scope matches its weight version.
func TestRollout(t *testing.T) {
	f := newFleet(t, 2, nil)
	ctx := context.Background()
	response, reader, _ := f.stream(0, "a story across the swap", 150)
	defer func() { _ = response.Body.Close() }()
	if answer := f.daemons[0].d.statement(ctx, "tests", []byte(`{"statement":"roll pool menu to v2"}`)); answer.Error != "" {
		t.Fatal(answer.Error)
	}
	n := 0
	f.eventually("all engines serve v2", func() bool {
		prompt := fmt.Sprintf("while rolling over, request %d, with enough text for a piece of cache or two", n)
		n++
		if text, _, r := f.chat(n%2, "menu key", prompt, 3); text != expected(prompt, 3) {
			t.Fatalf("request %d: %+v", n, r)
		}
		done := true
		f.daemons[1].d.inspect(ctx, func(_ time.Time, t *tables) {
			for _, x := range t.Pools["menu"] {
				done = done && x.Version == "v2"
			}
		})
		return done
	})
	if !readToEnd(reader) {
		t.Error("the run in flight during the rollout was cut")
	}
	for _, engine := range []string{"engine-1", "engine-2", "engine-3"} {
		for _, run := range f.runs(engine) {
			if want := prefix.Scope("menu-app", run.Version).String(); run.Scope != want {
				t.Errorf("%s: a run of %s used scope %s", engine, run.Version, run.Scope)
			}
		}
	}
}

func TestBadRequests(t *testing.T) {
	f := newFleet(t, 1, nil)
	chat := "/v1/chat/completions"
	good := `{"model":"menu-assistant","messages":[{"role":"user","content":"hello"}]}`
	tests := []struct {
		name, method, key, path, body string
		status                        int
	}{
		{"unknown key", "POST", "nobody", chat, good, 401},
		{"no body", "POST", "menu key", chat, "", 400},
		{"not JSON", "POST", "menu key", chat, "{", 400},
		{"no messages", "POST", "menu key", chat, `{"model":"menu-assistant"}`, 400},
		{"content of another type", "POST", "menu key", chat, `{"model":"menu-assistant","messages":[{"role":"user","content":7}]}`, 400},
		{"no tokens", "POST", "menu key", chat, `{"model":"menu-assistant","max_tokens":0,"messages":[{"role":"user","content":"x"}]}`, 400},
		{"unknown model", "POST", "menu key", chat, `{"model":"x","messages":[]}`, 404},
		{"wrong method", "GET", "menu key", chat, "", 405},
		{"too large", "POST", "menu key", chat, `{"model":"` + strings.Repeat("x", 1<<20) + `"}`, 413},
		{"unknown path", "GET", "menu key", "/v2/x", "", 404},
		{"unknown service", "GET", "menu key", "/services/none/x", "", 404},
		{"a model's pool is no service", "GET", "menu key", "/services/menu/x", "", 404},
		{"resume without token", "POST", "menu key", "/v1/resume", "", 403},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := f.do(tt.method, 0, tt.key, tt.path, tt.body, nil)
			if r.status != tt.status || !strings.Contains(r.body, `"error"`) || r.header.Get("X-Request-Id") == "" {
				t.Errorf("status %d, body %.200s, want status %d and a typed error", r.status, r.body, tt.status)
			}
		})
	}
}

// TestBootDuringPlatformOutage starts a daemon while the platform is down. It serves
// with a peer's configuration and list of boxes.
func TestBootDuringPlatformOutage(t *testing.T) {
	f := newFleet(t, 1, nil)
	f.faults["platform"].Set(fault.State{Down: true})
	f.start(1, func(d *Daemon) { d.Settings.KnownPeers = []netip.AddrPort{f.boxes[len(f.boxes)-1].Peer} })
	f.eventually("the new daemon answers", func() bool {
		text, _, _ := f.chat(1, "menu key", "a prompt in an outage", 3)
		return text == expected("a prompt in an outage", 3)
	})
	header := http.Header{"Idempotency-Key": {"k"}, "Thymewind-Not-Repeatable": {"true"}}
	r := f.post(1, "menu key", "/services/orders/orders", "2 x adobo", header)
	if r.status != http.StatusServiceUnavailable || r.header.Get("Thymewind-Outcome") != "did-not-run" || r.header.Get("Retry-After") == "" {
		t.Errorf("an order in an outage: %+v", r)
	}
	if answer := f.daemons[1].d.statement(context.Background(), "tests", []byte(`{"statement":"remove model menu-assistant"}`)); answer.Error == "" {
		t.Error("a change was accepted in an outage")
	}
}

// TestResumeOfCancelledRun cancels a run before its caller resumes it. The caller
// learns that the run is gone and has to be requested again.
func TestResumeOfCancelledRun(t *testing.T) {
	f := newFleet(t, 1, nil)
	response, _, _ := f.stream(0, "a long story", 100)
	token := response.Header.Get("Thymewind-Resume")
	_ = response.Body.Close()
	d := f.daemons[0].d
	cancelled := 0
	for _, name := range []string{"engine-1", "engine-2", "engine-3"} {
		if _, err := d.engines.Cancel(t.Context(), f.addrs[name], response.Header.Get("X-Request-Id"), 1); err == nil {
			cancelled++
		}
	}
	if cancelled != 1 {
		t.Fatalf("%d engines knew the run, want 1", cancelled)
	}
	r := f.post(0, "menu key", "/v1/resume", "", http.Header{"Thymewind-Resume": {token}, "Thymewind-Offset": {"0"}})
	if r.status != http.StatusGone && !strings.Contains(r.body, `"code":"not_resumable"`) {
		t.Errorf("status %d, body %.300s, want %d or a typed error in the stream", r.status, r.body, http.StatusGone)
	}
}

// TestServiceRequestsPassUnchanged checks that method, path, query and body reach a
// service unchanged.
func TestServiceRequestsPassUnchanged(t *testing.T) {
	f := newFleet(t, 1, nil)
	tests := []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"query", "GET", "/services/orders/status?id=7&x=%20y", "", 200, "GET /status?id=7&x=%20y\n"},
		{"escaped path", "GET", "/services/orders/a%2Fb%20c", "", 200, "GET /a%2Fb%20c\n"},
		{"body", "PUT", "/services/orders/menu", "adobo", 200, "PUT /menu\nadobo"},
		{"too large", "POST", "/services/orders/menu", strings.Repeat("x", 1<<20+1), 413, "did-not-run"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := f.do(tt.method, 0, "menu key", tt.path, tt.body, nil)
			if r.err != nil || r.status != tt.status || !strings.Contains(r.body, tt.want) {
				t.Errorf("status %d, body %.100q, error %v, want %d and %q", r.status, r.body, r.err, tt.status, tt.want)
			}
		})
	}
}

// TestNotRepeatableModelRequests sends one request that is marked not repeatable many
// times, with one key, to two daemons at once. It runs once; all callers get its answer
// or learn that it may be running.
func TestNotRepeatableModelRequests(t *testing.T) {
	f := newFleet(t, 2, nil)
	body := `{"model":"menu-assistant","prompt":"may I use track 7 in a film","max_tokens":20}`
	header := http.Header{"Idempotency-Key": {"licence-7"}, "Thymewind-Not-Repeatable": {"true"}}
	want := standin.Answer("may I use track 7 in a film", 20)
	replies := make(chan reply, 8)
	for i := range cap(replies) {
		go func() { replies <- f.post(i%2, "menu key", "/v1/completions", body, header) }()
	}
	for range cap(replies) {
		r := <-replies
		whole := r.status == http.StatusOK && strings.Contains(r.body, want)
		running := r.status == http.StatusConflict && r.header.Get("Thymewind-Outcome") == "unknown"
		if !whole && !running {
			t.Errorf("status %d, body %.200s", r.status, r.body)
		}
	}
	last := f.post(0, "menu key", "/v1/completions", body, header)
	if last.status != http.StatusOK || !strings.Contains(last.body, want) || last.header.Get("Idempotency-Replayed") != "true" {
		t.Errorf("repeated after it completed: %+v", last)
	}
	streamed := f.post(1, "menu key", "/v1/completions", strings.Replace(body, "{", `{"stream":true,`, 1), header)
	if streamed.status != http.StatusUnprocessableEntity {
		t.Errorf("another request with the same key: status %d", streamed.status)
	}
	runs := 0
	for _, engine := range []string{"engine-1", "engine-2", "engine-3"} {
		runs += len(f.runs(engine))
	}
	if runs != 1 {
		t.Errorf("it ran %d times", runs)
	}
	if r := f.post(0, "menu key", "/v1/completions", body, http.Header{"Thymewind-Not-Repeatable": {"true"}}); r.status != http.StatusBadRequest {
		t.Errorf("without a key: status %d", r.status)
	}
}
