//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/thymewind/thymewind/boottime"
	"github.com/thymewind/thymewind/platform/headers"
)

// replica is a stand-in for one replica of a service or of a model. It serves one request at a time
// on a connection and runs each in no time.
type replica struct {
	id, service, zone string
	// model is empty at a plain service.
	model   string
	address string
	world   *world
	// loadFor is how long an order takes to load weights.
	loadFor time.Duration
	// serve answers a request of a caller; nil answers all with serveWhole.
	serve func(c *exchange)
	// healthProbe answers a health probe; nil answers that it is healthy.
	healthProbe func(c *exchange)

	mu      sync.Mutex
	version int64
	// taken counts the orders that were carried out, busy is set while one is.
	taken uint64
	busy  bool
	// told is what reports say: the state as of reportAge ago.
	told reported
}

// reported is the state that a report tells.
type reported struct {
	version int64
	taken   uint64
	busy    bool
}

// reportAge is how old the state in a report is; the pages say some hundred ms.
const reportAge = 250 * time.Millisecond

// lateBy is how long after its arrival an unanswered order is carried out, if its condition still
// holds: the most that the bench has.
const lateBy = 12 * time.Second

// closeAfter is when it closes the channel of an unanswered order.
const closeAfter = 700 * time.Millisecond

// exchange is one request at a replica, on its connection.
type exchange struct {
	replica *replica
	conn    net.Conn
	request *http.Request
	body    string
	// surplus, if set, is sent on the connection in the place of the next answer due.
	surplus *string
}

// write sends an answer.
func (c *exchange) write(status int, header map[string]string, body string) {
	c.send(encode(status, header, body))
}

func (c *exchange) send(text string) { _, _ = io.WriteString(c.conn, text) } // A caller that left needs no answer.

func encode(status int, header map[string]string, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

func (c *exchange) requestID() string { return c.request.Header.Get(headers.RequestID) }

func (r *replica) start() error {
	l, err := net.Listen("tcp", r.world.host()+":0")
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	r.told = reported{version: r.version}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serveConnection(conn)
		}
	}()
	r.writeEntry()
	return nil
}

// serveConnection serves the requests of a connection one after another.
func (r *replica) serveConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	surplus := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c := &exchange{replica: r, conn: conn, request: request, body: string(body), surplus: &surplus}
		if surplus != "" {
			r.world.note("replica %s sends its answer to the health probe again, in the place of the answer to %s %q", r.id, request.RequestURI, c.requestID())
			c.send(surplus)
			surplus = ""
		}
		if !r.dispatch(c) {
			return
		}
	}
}

// dispatch answers one request. It returns false if the connection ends.
func (r *replica) dispatch(c *exchange) bool {
	path, _, _ := strings.Cut(c.request.RequestURI, "?")
	switch path {
	case "/v1/report":
		c.write(http.StatusOK, jsonBody, r.report())
	case "/v1/order":
		return r.order(c)
	case "/health":
		r.health(c)
	default:
		switch {
		case strings.HasPrefix(path, "/v1/"):
			r.cacheNews(c)
		case r.serve != nil:
			r.serve(c)
		default:
			r.serveWhole(c)
		}
	}
	return true
}

// cacheNews answers a call for the news or the list of cached parts: it has none.
func (r *replica) cacheNews(c *exchange) {
	hold, _ := strconv.Atoi(c.request.Header.Get(headers.WaitMS)) // Zero does not wait.
	time.Sleep(time.Duration(hold) * time.Millisecond)
	c.write(http.StatusOK, jsonBody, fmt.Sprintf(`{"epoch":1,"next_token":0,"lost":false,"events":[],"held":[],"clock_ms":%d}`, boottime.Since(r.world.began).Milliseconds()))
}

var jsonBody = map[string]string{"Content-Type": "application/json"}

func (r *replica) health(c *exchange) {
	if r.healthProbe != nil {
		r.healthProbe(c)
		return
	}
	c.write(http.StatusOK, map[string]string{headers.InstanceID: r.id}, "")
}

// refusal returns the status with which a request is turned away, or zero.
func (r *replica) refusal(c *exchange) (int, map[string]string) {
	header := map[string]string{headers.RequestID: c.requestID(), headers.InstanceID: r.id}
	if want := c.request.Header.Get(headers.ExpectInstance); want != "" && want != r.id {
		return http.StatusMisdirectedRequest, header
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if want := c.request.Header.Get(headers.ExpectVersion); r.model != "" && want != "" && want != strconv.FormatInt(r.version, 10) {
		header[headers.WeightVersion] = strconv.FormatInt(r.version, 10)
		return http.StatusMisdirectedRequest, header
	}
	if r.busy {
		header[headers.NotExecuted] = "1"
		return http.StatusServiceUnavailable, header
	}
	return 0, nil
}

// serveWhole runs a request and answers it with a body or, at a model, a short stream.
func (r *replica) serveWhole(c *exchange) {
	if status, header := r.refusal(c); status != 0 {
		r.world.note("replica %s turned %s away with %d", r.id, c.requestID(), status)
		c.write(status, header, "")
		return
	}
	r.world.ran(r.id, c.requestID())
	c.send(r.answer(c.requestID()))
}

// answer returns the whole answer to a request that ran.
func (r *replica) answer(request string) string {
	header := map[string]string{headers.RequestID: request, headers.InstanceID: r.id, headers.Seal: "seal." + request}
	if r.model == "" {
		return encode(http.StatusOK, header, "done "+request)
	}
	header["Content-Type"] = "text/event-stream"
	return encode(http.StatusOK, header, fmt.Sprintf("id: 1\ndata: %s-1\n\nid: 2\ndata: %s-2\n\n", request, request))
}

func (r *replica) report() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"stage": "both", "models": r.models(r.told.version), "busy": r.told.busy, "seq_no": r.told.taken, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0,
	})
	if err != nil {
		panic(err) // The map always encodes.
	}
	return string(data)
}

func (r *replica) models(version int64) []map[string]any {
	if r.model == "" {
		return []map[string]any{}
	}
	return []map[string]any{{"name": r.model, "version": version, "adapters": []string{}}}
}

// writeEntry writes the replica's entry in the list.
func (r *replica) writeEntry() {
	r.mu.Lock()
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 128, "state": "ready",
		"cold_remaining_ms": 0, "stage": "both", "models": r.models(r.version), "seq_no": r.taken,
	}
	r.mu.Unlock()
	r.world.store.Put("servers", r.id, entry)
}

// order takes an order, or leaves it unanswered and carries it out late.
func (r *replica) order(c *exchange) bool {
	var o struct {
		Version  int64  `json:"version"`
		Expected uint64 `json:"expected"`
		Holder   string `json:"holder"`
		Fence    uint64 `json:"fence"`
	}
	if err := json.Unmarshal([]byte(c.body), &o); err != nil || o.Holder == "" {
		c.write(http.StatusBadRequest, nil, "")
		return true
	}
	if want := c.request.Header.Get(headers.ExpectInstance); want != "" && want != r.id {
		c.write(http.StatusMisdirectedRequest, map[string]string{headers.InstanceID: r.id}, "")
		return true
	}
	late := r.world.leavesUnanswered(r.id)
	r.world.orderArrived(r.id, o.Holder, o.Fence, o.Version, late)
	if late {
		time.AfterFunc(lateBy, func() { r.carryOut(o.Version, o.Expected) })
		ended := time.AfterFunc(closeAfter, func() { _ = c.conn.Close() })
		_, _ = io.Copy(io.Discard, c.conn) // Until then, or until the caller gives up.
		ended.Stop()
		return false
	}
	c.write(r.carryOut(o.Version, o.Expected), nil, "")
	return true
}

// carryOut carries an order out unless its condition fails, and returns the status.
func (r *replica) carryOut(version int64, expected uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.busy || expected != r.taken:
		return http.StatusConflict
	case r.version >= version:
		return http.StatusOK
	}
	r.taken++
	r.busy = true
	r.tellLater()
	time.AfterFunc(r.loadFor, func() {
		r.mu.Lock()
		r.busy, r.version = false, version
		r.tellLater()
		r.mu.Unlock()
		r.writeEntry()
	})
	return http.StatusAccepted
}

// tellLater has reports tell the present state after reportAge. The lock must be held.
func (r *replica) tellLater() {
	now := reported{r.version, r.taken, r.busy}
	time.AfterFunc(reportAge, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.told = now
	})
}

func (r *replica) hasVersion(version int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version >= version
}
