package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// key is the context key of a connection.
type key struct{}

// withConn returns a context with a connection.
func withConn(ctx context.Context, c *conn) context.Context {
	return context.WithValue(ctx, key{}, c)
}

// handler follows the bodies of requests: a request is served, and its connection safe, once its body
// has been read to the end. A request whose connection has ended for another one is not served.
func (g *Gate) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, _ := r.Context().Value(key{}).(*conn)
		switch {
		case c == nil:
		case r.Body == nil || r.Body == http.NoBody:
			if !c.move(served) {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusRequestTimeout)
				return
			}
		default:
			c.inBody.Store(true)
			// The server reads a part of a body that its handler has left, without a deadline of its own.
			setReadTimeout(w, g.Limits.BodyTimeout)
			r.Body = &trackedBody{ReadCloser: r.Body, conn: c, connection: http.NewResponseController(w)}
		}
		next.ServeHTTP(w, r)
	})
}

// setReadTimeout bounds how long the rest of a request may take. Only real connections support it.
func setReadTimeout(w http.ResponseWriter, timeout time.Duration) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
}

// trackedBody is a request's body.
type trackedBody struct {
	io.ReadCloser
	conn       *conn
	connection *http.ResponseController
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// The connection of a request that ended as its last bytes came can't bring it an answer.
		if !b.conn.move(served) {
			return n, os.ErrDeadlineExceeded
		}
		_ = b.connection.SetReadDeadline(time.Time{}) // The request may take longer than its body.
	}
	return n, err
}
