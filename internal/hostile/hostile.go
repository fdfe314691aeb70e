// Package hostile sends request bodies as clients do that keep to no limit: many at once, piece by
// piece, just short of their end, or without end.
//
//	crowd := hostile.Crowd{Dial: dial, Clients: 400, Limit: 256 << 10}
//	crowd.Send(ctx, hostile.Bodies()[0]) // returns once nobody sends any more
//	defer crowd.Close()
//
// The connections stay open until Close, whatever the server answers.
package hostile

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// completeOneIn is in how many clients one sends its body to the end; the others stop short.
	completeOneIn = 8
	// piecePause is the pause between two pieces of a body that is sent piece by piece.
	piecePause = 20 * time.Millisecond
	// farOver is by how many times a body exceeds the limit that is far over it.
	farOver = 64
	// bufferBytes is how much is written at once.
	bufferBytes = 32 << 10
)

// Body is a kind of body.
type Body struct {
	Name string
	// Chunk is the length of a chunk; zero declares the length instead.
	Chunk int
	// Pieces is in how many pieces the body is sent, with a pause after each; one is at once.
	Pieces int
	// Complete says that all clients send to the end.
	Complete bool
	// Over says that the body is far over the limit.
	Over bool
	// HeadBytes is how much of a head without end is sent in place of a body; zero for none.
	HeadBytes int
}

// Bodies returns all kinds.
func Bodies() []Body {
	const tiny, large = 4, 64 << 10
	return []Body{
		{Name: "whole at once", Pieces: 1, Complete: true},
		{Name: "at once, short of the end", Pieces: 1},
		{Name: "piece by piece, to the end", Pieces: 32, Complete: true},
		{Name: "piece by piece, short of the end", Pieces: 32},
		{Name: "large chunks, short of the end", Pieces: 1, Chunk: large},
		{Name: "large chunks, piece by piece", Pieces: 8, Chunk: large},
		{Name: "tiny chunks, short of the end", Pieces: 1, Chunk: tiny},
		{Name: "tiny chunks, piece by piece", Pieces: 32, Chunk: tiny},
		{Name: "far over the limit, announced", Pieces: 1, Over: true},
		{Name: "far over the limit, in chunks", Pieces: 1, Chunk: large, Over: true},
	}
}

// Completes reports whether a client sends its body to the end where most stop short.
func Completes(client int) bool { return client%completeOneIn == 0 }

// Heads returns heads that never end, which take the place of a body.
func Heads() []Body {
	return []Body{
		{Name: "head without end, at once", Pieces: 1, HeadBytes: 12 << 10},
		{Name: "head without end, piece by piece", Pieces: 32, HeadBytes: 12 << 10},
	}
}

// Crowd is many clients of one server. Set the exported fields before Send.
type Crowd struct {
	Dial func(ctx context.Context) (net.Conn, error)
	// Clients is how many connections are opened, each for one request.
	Clients int
	// Limit is the server's limit of a body, in bytes.
	Limit int64
	// Head returns the request line and the headers of a client, each line ended, without the
	// body's length.
	Head func(client int) string
	// Prefix and Suffix are the ends of a body. Both are part of its length.
	Prefix, Suffix string

	mu    sync.Mutex
	conns []net.Conn
}

// Send has every client send a request, and returns when all have sent what they send or were
// refused. Errors are what such clients expect, so none is returned.
func (c *Crowd) Send(ctx context.Context, b Body) {
	var clients sync.WaitGroup
	for i := range c.Clients {
		clients.Go(func() {
			conn, err := c.Dial(ctx)
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			c.request(ctx, conn, b, i)
		})
	}
	clients.Wait()
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.conns = nil
}

// request sends one request, until the server closes the connection.
func (c *Crowd) request(ctx context.Context, conn net.Conn, b Body, client int) {
	if b.HeadBytes > 0 {
		c.head(ctx, conn, b, client)
		return
	}
	length := c.Limit
	if b.Over {
		length *= farOver
	}
	framing := fmt.Sprintf("Content-Length: %d\r\n\r\n", length)
	if b.Chunk > 0 {
		framing = "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(conn, c.Head(client)+framing); err != nil {
		return
	}
	complete := b.Complete || Completes(client)
	body := c.body(length, complete)
	for range b.Pieces {
		if c.piece(conn, io.LimitReader(body, (length+int64(b.Pieces)-1)/int64(b.Pieces)), b.Chunk) != nil {
			return
		}
		if b.Pieces > 1 && pause(ctx) != nil {
			return
		}
	}
	if b.Chunk > 0 && complete {
		_, _ = io.WriteString(conn, "0\r\n\r\n") // The server may have closed the connection.
	}
}

// head sends a head without end.
func (c *Crowd) head(ctx context.Context, conn net.Conn, b Body, client int) {
	if _, err := io.WriteString(conn, c.Head(client)+"X-Long: "); err != nil {
		return
	}
	for range b.Pieces {
		if c.piece(conn, io.LimitReader(fill{}, int64(b.HeadBytes/b.Pieces)), 0) != nil || b.Pieces > 1 && pause(ctx) != nil {
			return
		}
	}
}

// body returns a body of a length, or all of it but the last byte.
func (c *Crowd) body(length int64, complete bool) io.Reader {
	filler := length - int64(len(c.Prefix)+len(c.Suffix))
	body := io.MultiReader(bytes.NewReader([]byte(c.Prefix)), io.LimitReader(fill{}, filler), bytes.NewReader([]byte(c.Suffix)))
	if complete {
		return body
	}
	return io.LimitReader(body, length-1)
}

// piece writes a piece of a body, in chunks unless their length is zero.
func (c *Crowd) piece(conn net.Conn, piece io.Reader, chunk int) error {
	if chunk == 0 {
		_, err := io.Copy(conn, piece)
		return err
	}
	buffered := &bytes.Buffer{}
	data := make([]byte, chunk)
	for {
		n, err := io.ReadFull(piece, data)
		if n > 0 {
			_, _ = fmt.Fprintf(buffered, "%x\r\n%s\r\n", n, data[:n])
		}
		if err != nil || buffered.Len() >= bufferBytes {
			if _, failed := buffered.WriteTo(conn); failed != nil {
				return failed
			}
		}
		if err != nil {
			return nil
		}
	}
}

// fill is a reader of the same letter without end.
type fill struct{}

// Read implements io.Reader.
func (fill) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// pause waits between two pieces.
func pause(ctx context.Context) error {
	select {
	case <-time.After(piecePause):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
