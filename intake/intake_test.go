package intake_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/heldbytes"
	"github.com/thymewind/thymewind/intake"
)

// server is a guarded server on loopback.
type server struct {
	gate   *intake.Gate
	ledger *heldbytes.Ledger
	at     string
	// read are the bodies that were read, held is closed to let the handler of /held go on.
	read chan error
	held chan struct{}
}

// serve runs a server that reads bodies unless the path is /unread, counts them at /counted, and answers
// /held only later.
func serve(t *testing.T, limits intake.Limits) *server {
	t.Helper()
	s := &server{ledger: &heldbytes.Ledger{Limit: 1 << 20}, read: make(chan error, 100), held: make(chan struct{})}
	s.gate = &intake.Gate{Limits: limits, Ledger: s.ledger, Now: time.Now}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.at = l.Addr().String()
	h := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/unread":
		case "/counted":
			_, account, err := s.gate.ReadBody(w, r, 1<<20, 1, time.Minute)
			account.Close()
			s.read <- err
		default:
			_, err := io.Copy(io.Discard, r.Body)
			s.read <- err
		}
		if r.URL.Path == "/held" {
			<-s.held
		}
	})}
	go func() { _ = h.Serve(s.gate.Guard(h, l, intake.Callers)) }()
	t.Cleanup(func() { _ = h.Close() })
	return s
}

// open opens a connection and sends the beginning of a request.
func (s *server) open(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.at)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

// serves reports whether a request on a new connection is answered.
func (s *server) serves(text string) bool {
	conn, err := net.Dial("tcp", s.at)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	return err == nil && status(conn) == http.StatusOK
}

// status reads an answer; zero says that the connection was closed without one.
func status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	t.Fatalf("not in time: %s", what)
}

const (
	whole     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	heldWhole = "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
)

// part is a request whose body is not whole.
func part(sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n%s", strings.Repeat("x", sent))
}

// TestPlaces guards against connections that are closed for others out of order: requests that arrive
// slowly go first, then idle connections, and those being served never.
func TestPlaces(t *testing.T) {
	tests := []struct {
		name string
		// open are the requests of the connections that are open, in order.
		open []string
		// slowAfter is the limit's.
		slowAfter time.Duration
		// closed is the connection that is closed for a new one, or -1 if none is.
		closed int
		want   intake.Counts
	}{
		{"all are being served", []string{heldWhole, heldWhole}, time.Nanosecond, -1, intake.Counts{Refused: 1}},
		{"one is idle", []string{heldWhole, whole}, time.Nanosecond, 1, intake.Counts{EndedIdle: 1}},
		{"one says nothing", []string{"", heldWhole}, time.Nanosecond, 0, intake.Counts{EndedSlow: 1}},
		{"in the middle of a head", []string{heldWhole, "GET / HTTP/1.1\r\nHo"}, time.Nanosecond, 1, intake.Counts{EndedSlow: 1}},
		{"in the middle of a body", []string{part(100), heldWhole}, time.Nanosecond, 0, intake.Counts{EndedSlow: 1}},
		{"the slower of two bodies", []string{part(50000), part(1)}, time.Nanosecond, 1, intake.Counts{EndedSlow: 1}},
		{"a slow body before an idle connection", []string{whole, part(50000)}, time.Nanosecond, 1, intake.Counts{EndedSlow: 1}},
		{"young bodies stay", []string{part(1), part(1)}, time.Hour, -1, intake.Counts{Refused: 1}},
		{"an idle connection goes before young bodies", []string{part(1), whole}, time.Hour, 1, intake.Counts{EndedIdle: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, intake.Limits{Connections: len(tt.open), SlowAfter: tt.slowAfter, BodyTimeout: time.Minute})
			defer close(s.held)
			var conns []net.Conn
			for i, text := range tt.open {
				conn := s.open(t, text)
				conns = append(conns, conn)
				eventually(t, "it is accepted", func() bool { return s.gate.Counts().Open == int64(i+1) })
				switch text {
				case whole:
					if got := status(conn); got != http.StatusOK {
						t.Fatalf("got %d", got)
					}
					<-s.read
				case heldWhole:
					<-s.read
				}
			}
			<-time.After(50 * time.Millisecond) // What was sent is read, and answered connections are idle.
			if served := s.serves(whole); served != (tt.closed >= 0) {
				t.Errorf("the new connection is served: %v", served)
			}
			got := s.gate.Counts()
			got.Open = 0
			if got != tt.want {
				t.Errorf("counts %+v, want %+v", got, tt.want)
			}
			for i, conn := range conns {
				_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				_, err := conn.Read(make([]byte, 1))
				if closed := !isTimeout(err); closed != (i == tt.closed) {
					t.Errorf("connection %d: closed is %v (%v)", i, closed, err)
				}
			}
		})
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// TestUnreadBody guards against a body that its handler leaves unread holding its connection for as
// long as the client likes.
func TestUnreadBody(t *testing.T) {
	s := serve(t, intake.Limits{BodyTimeout: 50 * time.Millisecond})
	conn := s.open(t, strings.Replace(part(1), "POST /", "POST /unread", 1))
	if got := status(conn); got != http.StatusOK {
		t.Errorf("got %d", got)
	}
	eventually(t, "the connection is closed", func() bool { return s.gate.Counts().Open == 0 })
}

// TestLateAnswer guards against a body's deadline that ends the request after the body has come.
func TestLateAnswer(t *testing.T) {
	s := serve(t, intake.Limits{BodyTimeout: 50 * time.Millisecond})
	conn := s.open(t, "POST /held HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
	if err := <-s.read; err != nil {
		t.Fatal(err)
	}
	<-time.After(100 * time.Millisecond)
	close(s.held)
	if got := status(conn); got != http.StatusOK {
		t.Errorf("got %d", got)
	}
}

// TestHeads guards against heads that take memory without a bound, and against their memory staying
// counted after their requests.
func TestHeads(t *testing.T) {
	head := "GET /held HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 30<<10) + "\r\n"
	s := serve(t, intake.Limits{BodyTimeout: time.Minute})
	conn := s.open(t, head+"\r\n")
	<-s.read
	if held := s.ledger.Held(); held < 24<<10 || held > 32<<10 {
		t.Errorf("%d bytes are counted", held)
	}
	close(s.held)
	if got := status(conn); got != http.StatusOK {
		t.Errorf("got %d", got)
	}
	eventually(t, "the head is not counted any more", func() bool { return s.ledger.Held() == 0 })
	s.ledger.Open().Set(1 << 20)
	if got := status(s.open(t, head)); got != 0 {
		t.Errorf("a head without memory got %d", got)
	}
	if got := status(s.open(t, whole)); got != http.StatusOK {
		t.Errorf("a short head got %d", got)
	}
}

// TestAdmit guards against memory that a slow body keeps from others, and against bodies being ended
// that hold none.
func TestAdmit(t *testing.T) {
	tests := []struct {
		name string
		// holds says that the slow body holds the memory.
		holds, want bool
	}{
		{"held by a slow body", true, true},
		{"held by something else", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := serve(t, intake.Limits{SlowAfter: time.Nanosecond, BodyTimeout: time.Minute})
			path, own := "/unread", int64(0)
			if tt.holds {
				path, own = "/counted", 100000
			}
			s.open(t, strings.Replace(part(1), "POST /", "POST "+path, 1))
			eventually(t, "the body is counted", func() bool { return s.ledger.Held() == own && s.gate.Counts().Open == 1 })
			s.ledger.Open().Set(s.ledger.Limit - own)
			if got := s.gate.Admit(t.Context(), s.ledger.Open(), 100, 0); got != tt.want {
				t.Errorf("Admit = %v, want %v", got, tt.want)
			}
			if tt.holds && !isTimeout(<-s.read) {
				t.Error("the body was not ended")
			}
		})
	}
}

// TestTLS guards against connections whose states are not followed below TLS, and against handshakes that
// never end keeping others out.
func TestTLS(t *testing.T) {
	s := &server{ledger: &heldbytes.Ledger{}}
	s.gate = &intake.Gate{Limits: intake.Limits{Connections: 1, SlowAfter: time.Nanosecond, BodyTimeout: time.Minute}, Ledger: s.ledger, Now: time.Now}
	h := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	h.Listener = s.gate.Guard(h.Config, h.Listener, intake.Callers)
	h.StartTLS()
	t.Cleanup(h.Close)
	s.at = h.Listener.Addr().String()
	s.open(t, "\x16\x03\x01\x02\x00") // The beginning of a handshake.
	eventually(t, "it is accepted", func() bool { return s.gate.Counts().Open == 1 })
	for _, want := range []intake.Counts{{EndedSlow: 1}, {EndedSlow: 1, EndedIdle: 1}} {
		client := &http.Client{Transport: h.Client().Transport.(*http.Transport).Clone()}
		response, err := client.Get(h.URL)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		got := s.gate.Counts()
		got.Open = 0
		if got != want {
			t.Errorf("counts %+v, want %+v", got, want)
		}
		<-time.After(50 * time.Millisecond) // The connection is idle then.
	}
}

// TestDrain guards against a stop that waits for requests whose clients send no more, and against one that
// ends those that have arrived.
func TestDrain(t *testing.T) {
	s := serve(t, intake.Limits{SlowAfter: time.Millisecond, BodyTimeout: time.Minute})
	arrived := s.open(t, heldWhole)
	if err := <-s.read; err != nil {
		t.Fatal(err)
	}
	s.open(t, part(1))
	s.open(t, "GET / HT")
	eventually(t, "all are accepted", func() bool { return s.gate.Counts().Open == 3 })
	go s.gate.Drain(t.Context())
	if err := <-s.read; !isTimeout(err) {
		t.Errorf("the body ended with %v", err)
	}
	eventually(t, "the others are closed", func() bool { return s.gate.Counts().Open == 1 })
	close(s.held)
	if got := status(arrived); got != http.StatusOK {
		t.Errorf("the request that had arrived got %d", got)
	}
}

// TestFor guards against limits that a box's memory or descriptors don't bear, and against those of
// settings being replaced.
func TestFor(t *testing.T) {
	tests := []struct {
		name        string
		set         intake.Limits
		memory      int64
		descriptors int
		// want are the connections of callers, boxes and operators.
		want [3]int
	}{
		{"unknown box", intake.Limits{}, 0, 0, [3]int{0, 0, 0}},
		{"by descriptors", intake.Limits{}, 64 << 20, 256, [3]int{128, 64, 16}},
		{"by memory", intake.Limits{}, 112 << 20, 4100, [3]int{448, 448, 56}},
		{"large", intake.Limits{}, 536 << 20, 8192, [3]int{2144, 2048, 268}},
		{"tiny", intake.Limits{}, 1 << 20, 10, [3]int{8, 8, 8}},
		{"set", intake.Limits{Connections: 3000, PeerConnections: 1, OperatorConnections: 2}, 64 << 20, 256, [3]int{3000, 1, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := tt.set.For(tt.memory, tt.descriptors)
			if [3]int{got.Connections, got.PeerConnections, got.OperatorConnections} != tt.want {
				t.Errorf("got %+v, want %v", got, tt.want)
			}
		})
	}
}
