package exchange_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/exchange"
	"github.com/thymewind/thymewind/readlimit"
)

// answering serves each request with some text.
func answering(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	x := serve(t, func(_ int, conn *net.TCPConn, next func() *http.Request) {
		for next() != nil {
			_, _ = io.WriteString(conn, text)
		}
	})
	return x.at
}

// TestOverlongAnswers checks which answers are too long, that this is reported with the bytes that came
// or were stated, and that no more than the bound was read.
func TestOverlongAnswers(t *testing.T) {
	const maxHead, maxBody, maxWhole = 4000, 3000, 2000
	answer := func(fields, body string) string { return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body }
	field := func(bytes int) string { return "X-Long: " + strings.Repeat("x", bytes) + "\r\n" }
	sized := func(bytes int) string {
		return answer(fmt.Sprintf("Content-Length: %d\r\n", bytes), strings.Repeat("x", bytes))
	}
	chunked := func(bytes int) string {
		return answer("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", bytes, strings.Repeat("x", bytes)))
	}
	tests := []struct {
		name, text string
		// whole reads with ReadAll.
		whole    bool
		overlong bool
		part     string
	}{
		{"a short head", answer("Content-Length: 0\r\n", ""), false, false, ""},
		{"a long head", answer(field(maxHead-100)+"Content-Length: 0\r\n", ""), false, false, ""},
		{"a head that is too long", answer(field(maxHead)+"Content-Length: 0\r\n", ""), false, true, exchange.PartHead},
		{"a line without an end", strings.Repeat("x", 2*maxHead), false, true, exchange.PartHead},
		{"informational answers", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 200), false, true, exchange.PartHead},
		{"a body", sized(maxBody), false, false, ""},
		{"a body that is too long", sized(maxBody + 1), false, true, exchange.PartBody},
		{"chunks", chunked(maxBody), false, false, ""},
		{"chunks that are too long", chunked(maxBody + 1), false, true, exchange.PartBody},
		{"a whole body", sized(maxWhole), true, false, ""},
		{"a whole body that is too long", sized(maxWhole + 1), true, true, exchange.PartBody},
		{"whole chunks", chunked(maxWhole), true, false, ""},
		{"whole chunks that are too long", chunked(maxWhole + 1), true, true, exchange.PartBody},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reported := ""
			c := newClient()
			c.MaxHead, c.MaxBody, c.MaxWhole, c.ReadBudget.Bytes = maxHead, maxBody, maxWhole, 1<<20
			c.OnOverlong = func(_ netip.AddrPort, part string, bytes int64) {
				if least := map[string]int64{exchange.PartHead: maxHead, exchange.PartBody: maxWhole + 1}[part]; bytes < least {
					t.Errorf("%d bytes of the %s are reported", bytes, part)
				}
				reported = part
			}
			answer, err := c.Do(context.Background(), answering(t, tt.text), &exchange.Request{Method: "GET", Path: "/", Host: "h", Header: http.Header{}})
			if err == nil {
				if tt.whole {
					_, err = answer.ReadAll()
				} else {
					_, err = io.Copy(io.Discard, answer)
				}
				answer.Close()
			}
			if overlong := errors.Is(err, readlimit.ErrOverlong); overlong != tt.overlong || !overlong && err != nil {
				t.Errorf("%v, want too long: %v", err, tt.overlong)
			}
			if errors.Is(err, exchange.ErrNotSent) {
				t.Error("the request counts as not sent")
			}
			if reported != tt.part {
				t.Errorf("reported %q, want %q", reported, tt.part)
			}
			if taken := c.ReadBudget.Taken(); taken != 0 {
				t.Errorf("%d bytes of the budget are still taken", taken)
			}
		})
	}
}

// TestReadBudget checks that long heads and whole bodies share the budget until their exchanges end.
func TestReadBudget(t *testing.T) {
	const body, budget = 3000, 5000
	c := newClient()
	c.ReadBudget.Bytes = budget
	at := answering(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("x", body)))
	read := func() (*exchange.Answer, error) {
		answer, err := c.Do(context.Background(), at, &exchange.Request{Method: "GET", Path: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		_, err = answer.ReadAll()
		return answer, err
	}
	first, err := read()
	if err != nil {
		t.Fatal(err)
	}
	second, err := read()
	if !errors.Is(err, readlimit.ErrBudget) {
		t.Errorf("a second body within the budget of one: %v", err)
	}
	second.Close()
	first.Close()
	third, err := read()
	if err != nil {
		t.Errorf("after the first exchange: %v", err)
	}
	third.Close()
}

// TestSurplusAtRest has a target go on sending after a whole answer. It guards against such bytes
// filling the kernel's buffers for as long as the connection would be kept.
func TestSurplusAtRest(t *testing.T) {
	closed := make(chan struct{})
	x := serve(t, func(_ int, conn *net.TCPConn, next func() *http.Request) {
		next()
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		for err == nil {
			<-time.After(time.Millisecond)
			_, err = io.WriteString(conn, "surplus")
		}
		close(closed)
	})
	c := newClient()
	if _, _, err := ask(c, x.at, &exchange.Request{Method: "GET", Path: "/", Host: "h"}); err != nil {
		t.Fatal(err)
	}
	for end := time.After(10 * time.Second); ; {
		c.Sweep(boottime.Now())
		select {
		case <-closed:
			return
		case <-time.After(10 * time.Millisecond):
		case <-end:
			t.Fatal("the connection is still open")
		}
	}
}
