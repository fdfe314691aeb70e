package forward_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/claim"
	"github.com/thymewind/thymewind/decision"
	"github.com/thymewind/thymewind/engine"
	"github.com/thymewind/thymewind/forward"
	"github.com/thymewind/thymewind/idempotency"
	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/notice"
	"github.com/thymewind/thymewind/refusal"
	"github.com/thymewind/thymewind/route"
)

// Behaviours of the fake target in one attempt.
const (
	unreachable = iota
	runsThenSilent
	silent
	answers
	cutsAnswer
	sendKinds
)

var errBroken = errors.New("broken")

// target is a fake plain service.
type target struct {
	script fake.Script
	ran    int
}

func (t *target) send(_ *http.Request, _ netip.AddrPort, _ time.Duration) (*http.Response, bool, error) {
	switch kind := int(t.script.Draw()); kind {
	case unreachable:
		return nil, false, errBroken
	case silent:
		return nil, true, errBroken
	case runsThenSilent:
		t.ran++
		return nil, true, errBroken
	case cutsAnswer:
		t.ran++
		return answerOf(io.MultiReader(strings.NewReader("part"), broken{})), true, nil
	}
	t.ran++
	return answerOf(strings.NewReader("whole")), true, nil
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, errBroken }

func answerOf(body io.Reader) *http.Response {
	return &http.Response{StatusCode: http.StatusCreated, Header: http.Header{}, Body: io.NopCloser(body)}
}

type send func(*http.Request, netip.AddrPort, time.Duration) (*http.Response, bool, error)

// exchange is the outcome of one call.
type exchange struct {
	refused *refusal.Refusal
	cut     bool
	status  int
}

// serve runs one call on a forwarder.
func serve(f *forward.Forwarder, method, key string) (x exchange) {
	request := httptest.NewRequest(method, "/services/orders/orders", strings.NewReader("2 x adobo"))
	if key != "" {
		request.Header.Set(forward.HeaderKey, key)
		request.Header.Set(forward.HeaderNotRepeatable, "true")
	}
	recorder := httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			x.cut = true
		}
	}()
	err := f.Serve(recorder, request, forward.Call{Request: "r", Account: "a", Pool: "orders", Path: "/orders", BodyBytes: 1 << 10, Timeout: time.Minute})
	errors.As(err, &x.refused)
	x.status = recorder.Code
	return x
}

func retryAfter() time.Duration { return time.Second }

// forwarder returns a Forwarder with real claims over a fake table service.
func forwarder(ctx context.Context, rows *fake.Table, placing *fake.Script, send send) *forward.Forwarder {
	n := 0
	store := &claim.Store{
		Commit: rows.Commit, Read: rows.Read, Now: time.Now, Box: "b", Timeout: 2 * time.Second, OrphanTTL: 30 * time.Second,
		Nonce: func() string { n++; return fmt.Sprint(n) },
	}
	go store.Run(ctx)
	return &forward.Forwarder{
		Place: func(context.Context, route.PlacementRequest) (route.Placement, error) {
			if placing.Draw() != fake.None {
				return route.Placement{}, refusal.New(refusal.DidNotRun, http.StatusServiceUnavailable, "no_target", "none")
			}
			return route.Placement{Target: "t"}, nil
		},
		Permits: &idempotency.Guard{
			Lookup: store.Lookup, Take: store.Take, Release: store.Release, Finish: store.Finish,
			Record: func(decision.Record) {}, Timeout: 2 * time.Second, RetryAfter: retryAfter,
		},
		OnEnded: func(route.AttemptResult) {}, OnSignals: func(route.Placement, notice.Signals) {}, Allow: func(route.Placement) error { return nil }, Send: send, Retry: func(string) bool { return true }, MaxAttempts: 3, RetryAfter: retryAfter,
	}
}

// isDidNotRun reports whether a call was refused as did-not-run.
func isDidNotRun(x exchange) bool {
	return x.refused != nil && x.refused.Outcome == refusal.DidNotRun
}

// outcomeIsTrue checks that a call refused as did-not-run did not run, and that a
// marked one runs at most once over all its retries.
func outcomeIsTrue(t *testing.T, wrap func(send) send) gopter.Prop {
	return prop.ForAll(func(marked bool, method string, sends, faults, places []int) bool {
		ok := true
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			x := &target{script: fake.Script{Kinds: sends}}
			rows := &fake.Table{Fault: (&fake.Script{Kinds: faults}).Draw}
			f := forwarder(ctx, rows, &fake.Script{Kinds: places}, wrap(x.send))
			key := ""
			if marked {
				key = "k"
			}
			for range 4 {
				before := x.ran
				got := serve(f, method, key)
				if isDidNotRun(got) && x.ran > before {
					ok = false
				}
				// Nor may an earlier call with the key have run, unless that is unknown.
				if marked && x.ran > 0 && isDidNotRun(got) && got.refused.Code != "no_permission" {
					ok = false
				}
				time.Sleep(40 * time.Second)
			}
			if marked && x.ran > 1 {
				ok = false
			}
			cancel()
			synctest.Wait()
		})
		return ok
	}, gen.Bool(), gen.OneConstOf(http.MethodGet, http.MethodPost), gen.SliceOfN(5, gen.IntRange(0, sendKinds-1)),
		gen.SliceOfN(7, gen.IntRange(0, int(fake.NumKinds)-1)), gen.SliceOfN(5, gen.IntRange(0, 1)))
}

func TestDidNotRunIsTrue(t *testing.T) {
	proptest.Holds(t, outcomeIsTrue(t, func(s send) send { return s }))
}

func TestDidNotRunNeedsToKnowWhatWasWritten(t *testing.T) {
	proptest.Violated(t, outcomeIsTrue(t, func(s send) send {
		return func(r *http.Request, at netip.AddrPort, timeout time.Duration) (*http.Response, bool, error) {
			response, _, err := s(r, at, timeout)
			return response, false, err
		}
	}))
}

func TestServe(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		key     string
		sends   []int
		faults  []int
		outcome string
		status  int
	}{
		{"answered", http.MethodPost, "k", []int{answers}, nil, "", http.StatusCreated},
		{"next target after nothing was sent", http.MethodPost, "k", []int{unreachable, answers}, nil, "", http.StatusCreated},
		{"none reachable", http.MethodPost, "k", []int{unreachable}, nil, refusal.DidNotRun, http.StatusBadGateway},
		{"sent, no answer", http.MethodPost, "k", []int{silent}, nil, refusal.Unknown, http.StatusBadGateway},
		{"unmarked, sent, no answer", http.MethodPost, "", []int{silent, answers}, nil, refusal.Unknown, http.StatusBadGateway},
		{"repeatable goes to the next", http.MethodGet, "", []int{silent, answers}, nil, "", http.StatusCreated},
		{"no permission", http.MethodPost, "k", []int{answers}, []int{int(fake.Down)}, refusal.DidNotRun, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				x := &target{script: fake.Script{Kinds: tt.sends}}
				rows := &fake.Table{Fault: (&fake.Script{Kinds: tt.faults}).Draw}
				began := time.Now()
				got := serve(forwarder(ctx, rows, &fake.Script{}, x.send), tt.method, tt.key)
				if waited := time.Since(began); waited > 0 {
					t.Errorf("the final answer was delayed by %v", waited)
				}
				switch {
				case tt.outcome == "" && (got.refused != nil || got.status != tt.status):
					t.Errorf("got %+v, want status %d", got, tt.status)
				case tt.outcome != "" && (got.refused == nil || got.refused.Outcome != tt.outcome || got.refused.Status != tt.status):
					t.Errorf("got %+v, want %s and status %d", got, tt.outcome, tt.status)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestReplay checks that a retry with the same key gets the first answer, and that
// another request with the key is refused.
func TestReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		x := &target{script: fake.Script{Kinds: []int{answers}}}
		f := forwarder(ctx, &fake.Table{}, &fake.Script{}, x.send)
		for range 3 {
			if got := serve(f, http.MethodPost, "k"); got.status != http.StatusCreated {
				t.Errorf("got %+v", got)
			}
		}
		if x.ran != 1 {
			t.Errorf("ran %d times", x.ran)
		}
		if got := serve(f, http.MethodPut, "k"); got.refused == nil || got.refused.Status != http.StatusUnprocessableEntity {
			t.Errorf("another request with the key: %+v", got)
		}
		cancel()
		synctest.Wait()
	})
}

// TestSenderNeverSendsAgain uses a target that reads a request and closes the
// connection. On a reused connection the HTTP transport would resend a request that
// has an idempotency key.
func TestSenderNeverSendsAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var requests atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				requests.Add(1)
			}
			_ = conn.Close()
		}
	}()
	at := netip.MustParseAddrPort(listener.Addr().String())
	sender := forward.Sender{Dial: (&net.Dialer{}).DialContext}
	request, err := http.NewRequest(http.MethodGet, "http://"+at.String()+"/orders", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(forward.HeaderKey, "k")
	response, wrote, err := sender.Send(request, at, time.Minute)
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("got an answer from a target that gives none")
	}
	if !wrote || requests.Load() != 1 {
		t.Errorf("wrote %v, the target read %d requests, want true and 1", wrote, requests.Load())
	}
}

// TestSignals lets targets send signals in the headers of an answer. They must be read
// before any of its body.
func TestSignals(t *testing.T) {
	tests := []struct {
		name   string
		status int
		header http.Header
		want   notice.Signals
	}{
		{"nothing", http.StatusOK, http.Header{}, notice.Signals{Unlimited: true}},
		{"target is leaving", http.StatusOK, http.Header{engine.HeaderLeaving: {"1"}}, notice.Signals{Leaving: true, Unlimited: true}},
		{"target asks for a backoff", http.StatusServiceUnavailable, http.Header{"Retry-After": {"3"}}, notice.Signals{Backoff: 3 * time.Second, Unlimited: true}},
		{"backoff of this request only", http.StatusTooManyRequests, http.Header{"Retry-After": {"3"}}, notice.Signals{Unlimited: true}},
		{"target has a rate limit", http.StatusOK, http.Header{engine.HeaderLimit: {"3.6"}}, notice.Signals{Limited: true, Rate: 3.6}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []notice.Signals
			body := &counting{}
			f := forwarder(t.Context(), &fake.Table{}, &fake.Script{}, func(*http.Request, netip.AddrPort, time.Duration) (*http.Response, bool, error) {
				return &http.Response{StatusCode: tt.status, Header: tt.header, Body: io.NopCloser(body)}, true, nil
			})
			f.OnSignals = func(_ route.Placement, signals notice.Signals) {
				if body.read > 0 {
					t.Error("signals arrived after the answer's first bytes")
				}
				got = append(got, signals)
			}
			serve(f, http.MethodGet, "")
			if len(got) != 1 || got[0] != tt.want {
				t.Errorf("signals %+v, want %+v", got, tt.want)
			}
		})
	}
}

// counting is an empty body that counts its reads.
type counting struct{ read int }

func (c *counting) Read([]byte) (int, error) {
	c.read++
	return 0, io.EOF
}
