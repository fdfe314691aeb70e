package hostile_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/thymewind/thymewind/platform/headers"
	"github.com/thymewind/thymewind/platform/standin"
)

// The stop of a thymefront process, as its settings have it, and when requests come after its begin: one
// before the platform has noticed it, the others late.
const (
	stopTime   = 6 * time.Second
	noticeTime = 1500 * time.Millisecond
	earlyTime  = 500 * time.Millisecond
	lateTime   = 4 * time.Second
)

// lateRequest is a request of which the head comes early in a stop.
type lateRequest struct {
	name, path, timeout string
	// hangs says that its target runs it and never answers.
	hangs bool
	// endsAt is when its last byte comes after the begin of the stop.
	endsAt time.Duration
	// runs says whether a target runs it, and statuses are those that it may be answered with.
	runs     bool
	statuses []int
}

// TestLateInStop stops a process with SIGTERM. It guards against requests that come late in the stop
// being passed on and cut off with the process, and against any request being cut off without an answer.
func TestLateInStop(t *testing.T) {
	// A target that a request hangs at may be taken out; there are more of them than such requests.
	s, replicas := startTreated(t, 8, func(r *http.Request) int {
		if strings.HasPrefix(r.Header.Get(headers.RequestID), "hangs") {
			return standin.Hangs
		}
		return standin.Answers
	})
	b := startFront(t, build(t, "thymefront"), s, fmt.Sprintf("bounds: {stop: %v, notice: %v}", stopTime, noticeTime))
	tests := []lateRequest{
		{"early, answered", "/unsafe/x", "60000", false, earlyTime, true, []int{http.StatusOK}},
		{"early, no answer", "/unsafe/x", "60000", true, earlyTime, true, []int{http.StatusGatewayTimeout}},
		{"early, no answer, repeatable", "/safe/x", "60000", true, earlyTime, true, []int{http.StatusGatewayTimeout}},
		{"late, may outlast the process", "/unsafe/x", "60000", true, lateTime, false, []int{http.StatusServiceUnavailable}},
		{"late, may outlast the process, repeatable", "/safe/x", "60000", true, lateTime, false, []int{http.StatusServiceUnavailable}},
		{"late, due before the process ends", "/unsafe/x", fmt.Sprint((lateTime + 500*time.Millisecond).Milliseconds()), false, lateTime, true, []int{http.StatusOK}},
		{"late, due before the process ends, no answer", "/unsafe/x", fmt.Sprint((lateTime + 500*time.Millisecond).Milliseconds()), true, lateTime, true, []int{http.StatusGatewayTimeout}},
	}
	began := time.Now()
	if err := b.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	t.Run("requests", func(t *testing.T) {
		for i, tt := range tests {
			t.Run(tt.name, func(t *testing.T) {
				t.Parallel()
				id := fmt.Sprintf("answers-%d", i)
				if tt.hangs {
					id = fmt.Sprintf("hangs-%d", i)
				}
				status, err := tt.send(b, id, began)
				if err != nil {
					t.Errorf("its connection ended without an answer: %v", err)
				}
				matches := false
				for _, want := range tt.statuses {
					matches = matches || status == want
				}
				if !matches {
					t.Errorf("status %d, want one of %v", status, tt.statuses)
				}
				ran := false
				for _, r := range replicas {
					for _, run := range r.Runs() {
						ran = ran || run.ID == id
					}
				}
				if ran != tt.runs {
					t.Errorf("it ran: %v", ran)
				}
			})
		}
	})
	select {
	case <-b.exited:
	case <-time.After(time.Until(began.Add(stopTime))):
		t.Errorf("the process has not ended after %v", stopTime)
	}
}

// send sends all of the request but its last byte soon after the begin of a stop, the last byte when it
// is due, and returns the status of the answer.
func (r lateRequest) send(b *frontBox, id string, began time.Time) (status int, err error) {
	pause(earlyTime / 2)
	conn, err := net.Dial("tcp", b.callers.String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(began.Add(2 * stopTime)); err != nil {
		return 0, err
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: good-key\r\n%s: %s\r\nContent-Length: 2\r\n\r\nx", r.path, headers.RequestID, id, headers.APIKey, headers.DeadlineMS, r.timeout)
	if _, err := io.WriteString(conn, head); err != nil {
		return 0, err
	}
	pause(time.Until(began.Add(r.endsAt)))
	if _, err := io.WriteString(conn, "x"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}
