package entry

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/heldbytes"
	"github.com/thymewind/thymewind/routing"
)

// watchedPair returns both ends of a watched connection.
func watchedPair(t testing.TB, conns *callerConns) (box *callerConn, caller *net.TCPConn) {
	t.Helper()
	l, err := listenTCP("127.0.0.1:0", time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	l = conns.watch(l)
	t.Cleanup(func() { _ = l.Close() })
	// With a small buffer the window opens for the little that is read, too.
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	conn, err := dialer.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted.(*callerConn), conn.(*net.TCPConn)
}

// TestCheckUnread guards against writes to a caller that does not read going on for ever, against
// healthy callers being ended, and against bytes that stay counted. The time between the checks is
// made up; a check each 20 ms stands for one each 200 ms.
func TestCheckUnread(t *testing.T) {
	const checks = 150 // 30 s
	tests := []struct {
		name string
		// read reads at the caller, between two checks.
		read func(caller *net.TCPConn, i int)
		// passed is the time that the checks are told.
		passed time.Duration
		ends   bool
	}{
		{"reads nothing", func(*net.TCPConn, int) {}, reapInterval, true},
		{"reads a byte now and then", func(c *net.TCPConn, _ int) { readSome(c, 1) }, reapInterval, true},
		{"reads 3,000 bytes in 5 s", func(c *net.TCPConn, _ int) { readSome(c, 120) }, reapInterval, true},
		{"reads slowly", func(c *net.TCPConn, _ int) { readSome(c, 100<<10) }, reapInterval, false},
		{"pauses for 4 s", func(c *net.TCPConn, i int) {
			if i%20 == 0 {
				readSome(c, 8<<20)
			}
		}, reapInterval, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			conns := &callerConns{held: &heldbytes.Ledger{}}
			box, caller := watchedPair(t, conns)
			var failed atomic.Pointer[error]
			done := make(chan struct{})
			go func() {
				defer close(done)
				for piece := make([]byte, 64<<10); ; {
					if _, err := box.Write(piece); err != nil {
						failed.Store(&err)
						return
					}
				}
			}()
			ended, most := 0, int64(0)
			for i := 0; i < checks && failed.Load() == nil; i++ {
				tt.read(caller, i)
				time.Sleep(20 * time.Millisecond)
				ended += conns.check(tt.passed)
				most = max(most, conns.held.Held())
			}
			if (ended == 1) != tt.ends {
				t.Errorf("ended %d times", ended)
			}
			if tt.ends && most == 0 {
				t.Error("nothing was counted while the write waited")
			}
			if err := failed.Load(); tt.ends && (err == nil || !errors.Is(*err, os.ErrDeadlineExceeded)) {
				t.Errorf("the write failed with %v", err)
			}
			_ = box.Close()
			<-done
			conns.check(reapInterval)
			if held := conns.held.Held(); held != 0 {
				t.Errorf("%d bytes stay counted", held)
			}
		})
	}
}

// readSome reads up to n bytes of what has arrived.
func readSome(c *net.TCPConn, n int64) {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, _ = io.CopyN(io.Discard, c, n) // What has not arrived yet is read next time.
}

// TestPausedBoxEndsNobody guards against a pause of this process counting as time in which a caller
// did not read.
func TestPausedBoxEndsNobody(t *testing.T) {
	conns := &callerConns{held: &heldbytes.Ledger{}}
	box, _ := watchedPair(t, conns)
	go func() { _, _ = box.Write(make([]byte, 16<<20)) }()
	time.Sleep(50 * time.Millisecond)
	for range 5 {
		if n := conns.check(time.Minute); n > 0 {
			t.Fatal("ended after a pause of this process")
		}
	}
}

// TestUnscheduledWriteIsNotUnread guards against a write that is pending only because this process did
// not run counting as time in which its caller did not read: nothing waits in the kernel then.
func TestUnscheduledWriteIsNotUnread(t *testing.T) {
	conns := &callerConns{held: &heldbytes.Ledger{}}
	box, _ := watchedPair(t, conns)
	box.writes.Add(1) // A write that has not reached the kernel.
	for range 2 * int(unreadTimeout/reapInterval) {
		if n := conns.check(reapInterval); n > 0 {
			t.Fatal("ended although everything written had arrived")
		}
	}
}

// TestUnsentBound guards against the kernel holding megabytes for a caller that does not read.
func TestUnsentBound(t *testing.T) {
	conns := &callerConns{held: &heldbytes.Ledger{}}
	box, _ := watchedPair(t, conns)
	go func() {
		for piece := make([]byte, 64<<10); ; {
			if _, err := box.Write(piece); err != nil {
				return
			}
		}
	}()
	time.Sleep(100 * time.Millisecond)
	conns.check(reapInterval)
	conns.check(reapInterval)
	if held := conns.held.Held(); held <= 0 || held > 8*maxUnsent {
		t.Errorf("the kernel holds %d bytes", held)
	}
}

// BenchmarkCallerWrite compares writes of an event to a plain connection with those to a watched
// one.
func BenchmarkCallerWrite(b *testing.B) {
	for _, watched := range []bool{false, true} {
		name := "plain"
		if watched {
			name = "watched"
		}
		b.Run(name, func(b *testing.B) {
			box, caller := watchedPair(b, &callerConns{held: &heldbytes.Ledger{}})
			go func() { _, _ = io.Copy(io.Discard, caller) }()
			var w io.Writer = box
			if !watched {
				w = box.tcp
			}
			event := make([]byte, 100)
			for b.Loop() {
				if _, err := w.Write(event); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkCheck is a check of 2,000 connections without a pending write.
func BenchmarkCheck(b *testing.B) {
	conns := &callerConns{held: &heldbytes.Ledger{}, all: make(map[*callerConn]struct{})}
	for range 2000 {
		conns.all[&callerConn{conns: conns}] = struct{}{}
	}
	for b.Loop() {
		conns.check(reapInterval)
	}
}

// TestSlowCallersTeachNothing guards against callers that hold their answers up making a service
// look congested or engines late: healthy callers were refused for that.
func TestSlowCallersTeachNothing(t *testing.T) {
	for _, slow := range []bool{false, true} {
		d := boxWithThreeDomains()
		plain := &deliver.Job{Call: &deliver.Call{ID: "r"}, Route: &routing.Route{Goal: 150 * time.Millisecond}, Pool: &routing.Pool{Name: "orders"}}
		now := start
		for range 20 {
			place, err := d.place(now, &d.tables, deliver.PlacementRequest{Job: plain, Attempted: []string{"i-c"}})
			if err != nil {
				t.Fatal(err)
			}
			now = now.Add(7 * time.Second)
			d.update(now, answerBegan{place})
			d.update(now, attemptEnded{deliver.AttemptResult{Place: place, Job: plain, Began: true, SlowCaller: slow}})
		}
		if mean := d.tables.congestion("orders").Mean(); (mean > time.Second) == slow {
			t.Errorf("slow callers: %v, the service's answers take %v", slow, mean)
		}
		e := withMemoryUsed(0)
		for range 100 {
			e.tables.fleet.Target("a").Sent(start, 0, 0)
			e.update(start, attemptEnded{deliver.AttemptResult{Place: deliver.Placement{Target: "a"}, Job: job("long", 0), Began: true, Completed: true, Late: true, SlowCaller: slow}})
		}
		if late := e.tables.lateness("models").LateShare(); (late > 0.5) == slow {
			t.Errorf("slow callers: %v, %v of the engines' answers are late", slow, late)
		}
	}
}
