// Package broken has servers in trouble send answers that break off or break the protocol.
//
//	for _, a := range broken.Answers {
//		a.Send(w, "X-Request-Id: r1\r\n") // in an http.Handler
//	}
package broken

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Answer is one such answer. Its connection ends after it.
type Answer struct {
	Name string
	// Bytes are sent; Fields in it stands for the fields of an answer that belongs to the request.
	Bytes string
	// Early says that it comes before the request's body was read.
	Early bool
	// Resets says that the connection is reset after it, not closed.
	Resets bool
}

// Fields stands for an answer's fields in Bytes.
const Fields = "{fields}"

// Text is the body of the answers that are whole but for what is wrong with them. It is JSON, so that a
// caller has no other reason to reject it.
const Text = part + ` "of it"}`

// part is what comes of it before a reset.
const part = `{"part":`

const (
	statusLine = "HTTP/1.1 200 OK\r\n"
	length     = "Content-Length: 17\r\n\r\n"
	whole      = statusLine + Fields + length + Text
)

// Answers are the ways in which an answer may be broken.
var Answers = []Answer{
	{Name: "reset in the upload", Bytes: statusLine + Fields + "\r\n" + part, Early: true, Resets: true},
	{Name: "event stream reset in the upload", Bytes: statusLine + Fields + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", Early: true, Resets: true},
	{Name: "reset after the upload", Bytes: statusLine + Fields + "\r\n" + part, Resets: true},
	{Name: "status 000", Bytes: "HTTP/1.1 000 Unknown\r\n" + Fields + length + Text},
	{Name: "status 000 before an answer", Bytes: "HTTP/1.1 000 Unknown\r\n" + Fields + "\r\n" + whole},
	{Name: "status 099", Bytes: "HTTP/1.1 099 Unknown\r\n" + Fields + "\r\n" + whole},
	{Name: "status with a sign", Bytes: "HTTP/1.1 +20 OK\r\n" + Fields + "\r\n" + whole},
	{Name: "status 101 without a request for it", Bytes: "HTTP/1.1 101 Switching Protocols\r\n" + Fields + "\r\n" + Text},
	{Name: "status 600", Bytes: "HTTP/1.1 600 Unknown\r\n" + Fields + length + Text},
	{Name: "another version of the protocol", Bytes: "HTTP/2.0 200 OK\r\n" + Fields + length + Text},
	{Name: "blank in a field's name", Bytes: statusLine + Fields + "X-Bad Name: x\r\n" + length + Text},
	{Name: "blank before a field's colon", Bytes: statusLine + Fields + "Content-Length : 4\r\n\r\n" + Text},
	{Name: "blank before the colon of the transfer coding", Bytes: statusLine + Fields + "Transfer-Encoding : chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"},
	{Name: "blank in a name of an informational head", Bytes: "HTTP/1.1 103 Early Hints\r\nX-Bad Name: x\r\n\r\n" + whole},
	{Name: "tab in a field's name", Bytes: statusLine + Fields + "X-Bad\tName: x\r\n" + length + Text},
	{Name: "control byte in a field's name", Bytes: statusLine + Fields + "X-\x01Bad: x\r\n" + length + Text},
	{Name: "zero byte in a field's name", Bytes: statusLine + Fields + "X-\x00Bad: x\r\n" + length + Text},
	{Name: "zero byte in a field's value", Bytes: statusLine + Fields + "X-Bad: x\x00y\r\n" + length + Text},
	{Name: "carriage return in a field's value", Bytes: statusLine + Fields + "X-Bad: x\rX-Other: y\r\n" + length + Text},
}

// Legal are answers that are whole although they are unusual; the body of each is Text.
var Legal = []Answer{
	{Name: "a length", Bytes: whole},
	{Name: "a length, in the upload", Bytes: whole, Early: true},
	{Name: "no length, closed in order", Bytes: statusLine + Fields + "\r\n" + Text},
	{Name: "no length, in HTTP/1.0", Bytes: "HTTP/1.0 200 OK\r\n" + Fields + "\r\n" + Text},
	{Name: "chunks", Bytes: statusLine + Fields + "Transfer-Encoding: chunked\r\n\r\n11\r\n" + Text + "\r\n0\r\n\r\n"},
	{Name: "chunks with a trailer", Bytes: statusLine + Fields + "Transfer-Encoding: chunked\r\n\r\n11\r\n" + Text + "\r\n0\r\nX-Sum: 1\r\n\r\n"},
	{Name: "an informational head before it", Bytes: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole},
}

// Named returns the answer of a name.
func Named(name string) (a Answer, ok bool) {
	i := slices.IndexFunc(Answers, func(a Answer) bool { return a.Name == name })
	if i < 0 {
		return Answer{}, false
	}
	return Answers[i], true
}

// readTime is how long the bytes that were sent have to be read before the connection is reset.
const readTime = 20 * time.Millisecond

// Send sends the answer to a request of which w is the writer, and ends the connection.
func (a Answer) Send(w http.ResponseWriter, fields string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // The connection has ended.
	}
	defer func() { _ = conn.Close() }() // Its caller may have closed it.
	if _, err := io.WriteString(conn, strings.ReplaceAll(a.Bytes, Fields, fields)); err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && a.Resets {
		<-time.After(readTime)
		_ = tcp.SetLinger(0) // If it can't be set, the connection is closed.
	}
}
