package exchange_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"github.com/thymewind/thymewind/exchange"
	"github.com/thymewind/thymewind/internal/standin/broken"
)

// TestEarlyAnswersWithoutLength has targets answer without a length while the body of the request is being written,
// and end the connection in various ways. It guards against an answer that a reset cut off being taken
// for a whole one, and against whole ones being taken for cut off.
func TestEarlyAnswersWithoutLength(t *testing.T) {
	tests := []struct {
		name  string
		end   func(conn *net.TCPConn) error
		whole bool
	}{
		{"reset", func(conn *net.TCPConn) error { return errors.Join(conn.SetLinger(0), conn.Close()) }, false},
		{"closed for sending", func(conn *net.TCPConn) error { return conn.CloseWrite() }, true},
		{"closed for sending, then reset", func(conn *net.TCPConn) error {
			return errors.Join(conn.CloseWrite(), conn.SetLinger(0), conn.Close())
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range 20 { // Which of a read and a write learns of a reset varies.
				begun := make(chan struct{})
				at := acceptOne(t, func(conn *net.TCPConn) {
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						t.Error(err)
					}
					_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
					<-begun
					if err := errors.Join(err, tt.end(conn)); err != nil {
						t.Error(err)
					}
				})
				answer, err := newClient().Do(context.Background(), at, &exchange.Request{Method: "POST", Path: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 16<<20)})
				if err != nil {
					t.Fatal(err)
				}
				close(begun)
				body, err := io.ReadAll(answer)
				answer.Close()
				if string(body) != "part" || (err == nil) != tt.whole {
					t.Errorf("read %q, %v", body, err)
				}
			}
		})
	}
}

// acceptOne serves one connection.
func acceptOne(t *testing.T, serve func(conn *net.TCPConn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer func() { _ = l.Close() }()
		conn, err := l.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		serve(conn.(*net.TCPConn))
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestLegalAnswers guards against unusual answers being rejected.
func TestLegalAnswers(t *testing.T) {
	for _, a := range broken.Legal {
		t.Run(a.Name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !a.Early {
					_, _ = io.Copy(io.Discard, r.Body) // The answer is the same without it.
				}
				a.Send(w, "")
			}))
			defer s.Close()
			body := []byte("x")
			if !a.Early {
				body = make([]byte, 1<<20)
			}
			_, got, err := ask(newClient(), netip.MustParseAddrPort(s.Listener.Addr().String()), &exchange.Request{Method: "POST", Path: "/", Host: "h", Body: body})
			if err != nil || got != broken.Text {
				t.Errorf("got %q, %v", got, err)
			}
		})
	}
}

// TestTransferCodingOfHTTP10 has a target answer in HTTP/1.0 with a transfer coding, which that version
// does not have. It guards against the chunks with their sizes being taken for the body.
func TestTransferCodingOfHTTP10(t *testing.T) {
	at := acceptOne(t, func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			t.Error(err)
		}
		if _, err := io.WriteString(conn, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"); err != nil {
			t.Error(err)
		}
	})
	status, body, err := ask(newClient(), at, &exchange.Request{Method: "GET", Path: "/", Host: "h"})
	if err == nil {
		t.Errorf("got %d with body %q", status, body)
	}
}
