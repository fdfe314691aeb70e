package handoff_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"

	"github.com/thymewind/thymewind/handoff"
	"github.com/thymewind/thymewind/internal/loopback"
)

// waitLimit bounds each wait of these tests; a passing run never reaches it.
const waitLimit = 10 * time.Second

// served is one box's Serve function.
type served func(ctx context.Context, w http.ResponseWriter, r *handoff.Request, attempts *handoff.Attempts) error

func node(credential string, serve served) *handoff.Node {
	return &handoff.Node{
		Credential: func() string { return credential }, HTTP: http.DefaultClient, Scheme: "ws", MaxServed: 4, Serve: serve,
		Refusal: func(err error) handoff.Refusal {
			return handoff.Refusal{Status: 503, Code: "full", Reason: err.Error(), DidNotRun: true, TryAnother: true, RetryAfter: time.Second}
		},
		OnSent: func(int) {}, OnReceived: func(int) {},
	}
}

// listen starts a box that serves requests.
func listen(t *testing.T, handler http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// pair returns a box that hands on, and the address of one that serves.
func pair(t *testing.T, serve served) (*handoff.Node, netip.AddrPort) {
	t.Helper()
	return node("secret", nil), listen(t, node("secret", serve).Handler())
}

func request() *handoff.Request {
	return &handoff.Request{From: "entry-1", ID: "r1", Method: http.MethodPost, Path: "/x?y", Host: "h", Header: map[string][]string{"X-A": {"b"}}, Body: []byte("body"), Key: "key", Parts: []handoff.Part{{ID: "p", Tokens: 7}}, Timeout: time.Second, Attempts: 1}
}

func TestAnswers(t *testing.T) {
	tests := []struct {
		name  string
		serve served
		// status and body are those of the answer, code that of a refusal; cut says that the body
		// must not look complete.
		status     int
		body, code string
		cut        bool
		attempts   int
	}{
		{"whole", func(_ context.Context, w http.ResponseWriter, r *handoff.Request, attempts *handoff.Attempts) error {
			attempts.Set(2)
			w.Header().Set("X-B", "c")
			w.WriteHeader(http.StatusTeapot)
			_, err := fmt.Fprintf(w, "%s %s %s %v %s %s %v %v %s", r.Method, r.Path, r.Host, r.Header, r.Body, r.Key, r.Parts[0].Tokens, r.Timeout, r.From)
			return err
		}, http.StatusTeapot, "POST /x?y h map[X-A:[b]] body key 7 1s entry-1", "", false, 2},
		{"long", func(_ context.Context, w http.ResponseWriter, _ *handoff.Request, _ *handoff.Attempts) error {
			for range 100 {
				if _, err := io.WriteString(w, strings.Repeat("x", 10<<10)); err != nil {
					return err
				}
			}
			return nil
		}, http.StatusOK, strings.Repeat("x", 1000<<10), "", false, 1},
		{"cut off", func(_ context.Context, w http.ResponseWriter, _ *handoff.Request, _ *handoff.Attempts) error {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, http.StatusOK, "half", "", true, 1},
		{"an error after the head", func(_ context.Context, w http.ResponseWriter, _ *handoff.Request, _ *handoff.Attempts) error {
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			return errors.New("late")
		}, http.StatusOK, "half", "", true, 1},
		{"refused", func(context.Context, http.ResponseWriter, *handoff.Request, *handoff.Attempts) error {
			return errors.New("no room")
		}, 0, "", "full", false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			n, at := pair(t, tt.serve)
			for range 2 { // The second uses the connection of the first, unless that was cut.
				answer, err := n.Do(context.Background(), at, request())
				if err != nil {
					t.Fatal(err)
				}
				if tt.code != "" {
					if answer.Refused == nil || answer.Refused.Code != tt.code || answer.Refused.RetryAfter != time.Second || !answer.Refused.DidNotRun {
						t.Errorf("got %+v", answer.Refused)
					}
					answer.Close()
					continue
				}
				body, err := io.ReadAll(answer)
				if answer.Status != tt.status || string(body) != tt.body || (err != nil) != tt.cut || answer.Attempts() != tt.attempts {
					t.Errorf("got %d, %d bytes, %d attempts, %v", answer.Status, len(body), answer.Attempts(), err)
				}
				answer.Close()
			}
		})
	}
}

// TestBrokenHeads has another box send a head that HTTP/1.1 does not allow, as one of an earlier release
// may pass on from a target. It guards against such a head reaching a caller.
func TestBrokenHeads(t *testing.T) {
	tests := []struct {
		name   string
		status int
		header http.Header
		// refusal is the status of a refusal that is sent instead; zero for none, negative for one without a
		// status.
		refusal int
		valid   bool
	}{
		{"an ordinary head", http.StatusOK, http.Header{"X-B": {"c"}}, 0, true},
		{"no status", 0, nil, 0, false},
		{"status 101", http.StatusSwitchingProtocols, nil, 0, false},
		{"status 600", 600, nil, 0, false},
		{"a blank in a name", http.StatusOK, http.Header{"X-Bad Name": {"c"}}, 0, false},
		{"a line break in a value", http.StatusOK, http.Header{"X-B": {"c\r\nX-Other: d"}}, 0, false},
		{"a refusal", 0, nil, http.StatusServiceUnavailable, true},
		{"a refusal with a success", 0, nil, http.StatusOK, false},
		{"a refusal without a status", 0, nil, -1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			other := node("secret", func(_ context.Context, w http.ResponseWriter, _ *handoff.Request, _ *handoff.Attempts) error {
				if tt.refusal != 0 {
					return errors.New("refused")
				}
				maps.Copy(w.Header(), tt.header)
				w.WriteHeader(cmp.Or(tt.status, -1))
				return nil
			})
			other.Refusal = func(error) handoff.Refusal {
				return handoff.Refusal{Status: max(tt.refusal, 0), DidNotRun: true}
			}
			answer, err := node("secret", nil).Do(context.Background(), listen(t, other.Handler()), request())
			if err == nil {
				answer.Close()
			}
			if (err == nil) != tt.valid || errors.Is(err, handoff.ErrNotSent) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestConnectionReused has requests one after another share a connection, also after refusals.
func TestConnectionReused(t *testing.T) {
	var asked atomic.Int64
	other := node("secret", func(_ context.Context, w http.ResponseWriter, _ *handoff.Request, _ *handoff.Attempts) error {
		if asked.Add(1)%2 == 0 {
			return errors.New("no room")
		}
		_, err := io.WriteString(w, "ok")
		return err
	})
	link := loopback.New(t, listen(t, other.Handler()))
	n := node("secret", nil)
	for range 6 {
		answer, err := n.Do(context.Background(), link.Address, request())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(answer)
		answer.Close()
	}
	if got := link.Accepted(); got != 1 {
		t.Errorf("%d connections", got)
	}
}

// TestNotSent has the other box take nothing: each of these may be handed on again.
func TestNotSent(t *testing.T) {
	serve := func(context.Context, http.ResponseWriter, *handoff.Request, *handoff.Attempts) error { return nil }
	earlier := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { // It speaks package peer's protocol.
		conn, err := websocket.Accept(w, r, nil)
		if err == nil {
			_, _, _ = conn.Read(r.Context())
		}
	})
	full := node("secret", serve)
	full.MaxServed = 0
	tests := []struct {
		name string
		at   netip.AddrPort
	}{
		{"no box there", netip.MustParseAddrPort("127.0.0.1:1")},
		{"a wrong credential", listen(t, node("another", serve).Handler())},
		{"no credential yet", listen(t, node("", serve).Handler())},
		{"an earlier release", listen(t, earlier)},
		{"as many as it can serve", listen(t, full.Handler())},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if _, err := node("secret", nil).Do(context.Background(), tt.at, request()); !errors.Is(err, handoff.ErrNotSent) {
				t.Errorf("got %v", err)
			}
		})
	}
}

// TestEndsAtOtherBox has the request end at the other box when its caller leaves, and when the box
// that handed it on is gone.
func TestEndsAtOtherBox(t *testing.T) {
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprint("answer begun: ", begun), func(t *testing.T) {
			running, ended := make(chan struct{}), make(chan struct{})
			n, at := pair(t, func(ctx context.Context, w http.ResponseWriter, _ *handoff.Request, _ *handoff.Attempts) error {
				if begun {
					_, _ = io.WriteString(w, "first")
					_ = http.NewResponseController(w).Flush()
				}
				close(running)
				<-ctx.Done()
				close(ended)
				return ctx.Err()
			})
			ctx, leave := context.WithCancel(context.Background())
			go func() {
				if answer, err := n.Do(ctx, at, request()); err == nil {
					defer answer.Close()
					_, _ = io.ReadAll(answer)
				}
			}()
			await(t, running)
			leave()
			await(t, ended)
		})
	}
}

// TestSilentBox has the other box send nothing any more: the request ends long before its deadline.
// One that is merely slow is waited for.
func TestSilentBox(t *testing.T) {
	tests := []struct {
		name   string
		silent bool
	}{{"silent", true}, {"slow", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			running := make(chan struct{})
			other := node("secret", func(_ context.Context, w http.ResponseWriter, _ *handoff.Request, _ *handoff.Attempts) error {
				close(running)
				<-time.After(2500 * time.Millisecond)
				_, err := io.WriteString(w, "late")
				return err
			})
			link := loopback.New(t, listen(t, other.Handler()))
			n := node("secret", nil)
			failed := make(chan error, 1)
			go func() {
				answer, err := n.Do(context.Background(), link.Address, request())
				if err == nil {
					answer.Close()
				}
				failed <- err
			}()
			await(t, running)
			if tt.silent {
				link.Silence(func(string) bool { return true })
			}
			select {
			case err := <-failed:
				if (err != nil) != tt.silent || errors.Is(err, handoff.ErrNotSent) {
					t.Errorf("got %v", err)
				}
			case <-time.After(waitLimit):
				t.Error("still waiting")
			}
		})
	}
}

// TestSlowCaller has a caller read nothing for longer than the other box is checked: the answer is
// complete nevertheless, and the other box holds little of it meanwhile.
func TestSlowCaller(t *testing.T) {
	const size = 32 << 20
	var written atomic.Int64
	n, at := pair(t, func(_ context.Context, w http.ResponseWriter, _ *handoff.Request, _ *handoff.Attempts) error {
		for range size / (64 << 10) {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return err
			}
			written.Add(64 << 10)
		}
		return nil
	})
	answer, err := n.Do(context.Background(), at, request())
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Close()
	<-time.After(2 * time.Second)
	if written.Load() > size/2 {
		t.Errorf("%d of %d bytes were written to a caller who reads nothing", written.Load(), size)
	}
	if got, err := io.Copy(io.Discard, answer); err != nil || got != size {
		t.Errorf("got %d bytes, %v", got, err)
	}
}

func await(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(waitLimit):
		t.Fatal("not in time")
	}
}

// TestDrain waits for the request that is being served, and for no unused connection.
func TestDrain(t *testing.T) {
	running, end := make(chan struct{}), make(chan struct{})
	other := node("secret", func(_ context.Context, w http.ResponseWriter, _ *handoff.Request, _ *handoff.Attempts) error {
		close(running)
		<-end
		_, err := io.WriteString(w, "ok")
		return err
	})
	n, at := node("secret", nil), listen(t, other.Handler())
	answered := make(chan error, 1)
	go func() {
		answer, err := n.Do(context.Background(), at, request())
		if err == nil {
			defer answer.Close()
			_, err = io.ReadAll(answer)
		}
		answered <- err
	}()
	await(t, running)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	other.Drain(ctx)
	if ctx.Err() == nil {
		t.Error("it did not wait for the request")
	}
	close(end)
	other.Drain(t.Context())
	if err := <-answered; err != nil {
		t.Error(err)
	}
}
