package handoff_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"github.com/thymewind/thymewind/handoff"
)

// countedConn counts the bytes that are read.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// TestOverlongAnswer has the other box send a message without end, as the head of an answer or after it.
// It guards against such bytes filling the memory of the box that handed the request on.
func TestOverlongAnswer(t *testing.T) {
	// The bound of a message is 2 MiB.
	const mostRead = 3 << 20
	head, err := cbor.Marshal(map[int]any{2: map[int]any{1: http.StatusOK}})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name  string
		heads [][]byte
	}{{"a head", nil}, {"a part of the body", [][]byte{head}}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ended := make(chan struct{})
			at := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{"thymewind-handoff"}})
				if err != nil {
					t.Error(err)
					return
				}
				defer func() { _ = ws.CloseNow() }()
				ctx := context.Background()
				if _, _, err = ws.Read(ctx); err != nil {
					t.Error(err)
					return
				}
				for _, message := range tt.heads {
					if err = ws.Write(ctx, websocket.MessageBinary, message); err != nil {
						t.Error(err)
					}
				}
				message, err := ws.Writer(ctx, websocket.MessageBinary)
				for piece := make([]byte, 64<<10); err == nil; {
					_, err = message.Write(piece)
				}
				close(ended)
			}))
			n, read := node("secret", nil), &atomic.Int64{}
			n.HTTP = &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countedConn{conn, read}, err
			}}}
			ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
			defer cancel()
			answer, err := n.Do(ctx, at, request())
			if err == nil {
				_, err = io.Copy(io.Discard, answer)
				answer.Close()
			}
			if err == nil || errors.Is(err, handoff.ErrNotSent) || ctx.Err() != nil {
				t.Errorf("the answer ended with %v, %v", err, ctx.Err())
			}
			await(t, ended)
			if got := read.Load(); got > mostRead {
				t.Errorf("%d bytes were read", got)
			}
		})
	}
}
