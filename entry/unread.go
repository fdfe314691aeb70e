package entry

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/thymewind/thymewind/deliver"
	"github.com/thymewind/thymewind/heldbytes"
	"github.com/thymewind/thymewind/routing"
)

const (
	// unreadTimeout is how long a caller may leave its receive window closed while an answer
	// waits for it. Readers of streams pause for up to 0.4 s, and a machine may be paused for
	// 2 s; a cut network closes no window and does not count. It is below tcpUserTimeout, so
	// that such an end is counted and the kernel's is not what ends it.
	unreadTimeout = 5 * time.Second
	// minProgress is how many bytes a caller must take within unreadTimeout. A caller that
	// reads a few bytes from time to time would hold its answer's memory for ever; the
	// smallest streams of the platform have this many bytes in some tens of events.
	minProgress = 4 << 10
	// maxUnsent is how many unsent bytes the kernel takes for a connection. Without a bound
	// it held 2.4 MB for each caller that did not read. In-flight bytes are not bounded by it,
	// so it does not slow down callers far away.
	maxUnsent = 16 << 10
)

// callerConns watches the connections of callers. Set held before first use.
type callerConns struct {
	held *heldbytes.Ledger
	// refusedAt is when a request was last refused for want of memory, refused how many were
	// since the last line that said so. shortLogged belongs to the loop.
	refusedAt   atomic.Pointer[time.Time]
	refused     atomic.Int64
	shortLogged bool

	mu  sync.Mutex
	all map[*callerConn]struct{}
}

// watchedListener wraps the connections that it accepts.
type watchedListener struct {
	net.Listener
	conns *callerConns
}

// watch returns a listener whose connections are watched.
func (c *callerConns) watch(l net.Listener) net.Listener { return watchedListener{l, c} }

// Accept implements net.Listener.
func (l watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	return l.conns.add(tcp), nil
}

// SyscallConn implements syscall.Conn.
func (l watchedListener) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := l.Listener.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

func (c *callerConns) add(tcp *net.TCPConn) *callerConn {
	conn := &callerConn{Conn: tcp, tcp: tcp, conns: c}
	if raw, err := tcp.SyscallConn(); err == nil {
		// If the option can't be set, the kernel's own buffer applies.
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent) })
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = make(map[*callerConn]struct{})
	}
	c.all[conn] = struct{}{}
	return conn
}

func (c *callerConns) remove(conn *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, conn)
	conn.account.Close()
	conn.account = nil
}

// callerConn is a caller's connection. A write costs it two atomic additions; everything else is
// up to check, which only looks closer at connections whose write is pending.
type callerConn struct {
	net.Conn
	tcp   *net.TCPConn
	conns *callerConns
	// writes is odd while a write is pending.
	writes atomic.Uint64

	// The other fields are guarded by the mutex of conns. account counts what the kernel holds
	// for the caller; it is nil while no write is pending.
	account *heldbytes.Account
	// seen is the value of writes at the last check.
	seen uint64
	// acked is how many bytes the caller had taken when its progress was last measured, and
	// unreadFor for how long its window has been closed since then.
	acked     uint64
	unreadFor time.Duration
	// ended says that it was ended as the caller did not read; it is not guarded.
	ended atomic.Bool
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(1)
	n, err := c.Conn.Write(b)
	if err != nil && c.ended.Load() {
		err = fmt.Errorf("%w: %w", deliver.ErrUnread, err)
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom, by which the HTTP server passes answers on unbuffered.
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.conns.remove(c)
	return c.Conn.Close()
}

// CloseWrite lets the HTTP server end a connection without a reset.
func (c *callerConn) CloseWrite() error { return c.tcp.CloseWrite() }

// SetLinger sets what the kernel does with unsent bytes when the connection is closed.
func (c *callerConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// check counts what the kernel holds for callers whose writes are pending, and ends the connections
// of those that have not read for unreadTimeout. It returns how many it ended. The time since the
// last check is passed in; more than two intervals of it don't count, as this process may have
// been paused.
func (c *callerConns) check(passed time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := 0
	for conn := range c.all {
		writes := conn.writes.Load()
		if writes%2 == 0 {
			conn.account.Close()
			conn.account, conn.unreadFor, conn.seen = nil, 0, writes
			continue
		}
		if conn.account == nil {
			conn.account = c.held.Open()
		}
		if conn.measure(min(passed, 2*reapInterval)) {
			conn.end()
			ended++
		}
	}
	return ended
}

// measure counts what the kernel holds, and returns whether the caller has not read for
// unreadTimeout.
func (c *callerConn) measure(passed time.Duration) bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	var info *unix.TCPInfo
	held := 0
	// Control does not wait for the pending write.
	_ = raw.Control(func(fd uintptr) {
		held, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	c.account.Set(int64(held))
	if info == nil || c.ended.Load() {
		return false
	}
	if info.Bytes_acked-c.acked >= minProgress || c.seen%2 == 0 {
		c.acked, c.unreadFor, c.seen = info.Bytes_acked, 0, c.writes.Load()|1
		return false
	}
	// Everything sent has arrived and more waits, so the caller's window is closed. If nothing waits,
	// the write is pending only because this process has not run.
	if info.Unacked == 0 && held > 0 {
		c.unreadFor += passed
	}
	return c.unreadFor >= unreadTimeout
}

// end resets the connection when it is closed, so that the kernel keeps nothing of the answer, and
// fails the pending write.
func (c *callerConn) end() {
	c.ended.Store(true)
	_ = c.tcp.SetLinger(0)                      // Otherwise the kernel keeps what is unsent for some time.
	_ = c.tcp.SetWriteDeadline(time.Unix(1, 0)) // A connection that is closed already needs none.
}

// endUnread ends the answers that callers don't read, and counts what is held.
func (d *Daemon) endUnread(now time.Time, t *tables) []effect {
	passed := now.Sub(t.due.unreadChecked)
	if passed < reapInterval {
		return nil
	}
	t.due.unreadChecked = now
	if ended := d.callers.check(passed); ended > 0 {
		d.metrics.unread.Add(float64(ended))
		d.Log.Warn("answers ended as their callers did not read them", "connections", ended, "after", unreadTimeout, "held_bytes", d.held.Held(), "limit", d.held.Limit)
	}
	d.metrics.held.Set(float64(d.held.Held()))
	d.logMemory(now)
	return nil
}

// reportClosed logs the clients' connections that were closed for want of room.
func (d *Daemon) reportClosed(now time.Time, _ *tables) []effect {
	d.gate.Report(now, d.Log)
	return nil
}

// heldSizes are the labels of the sizes of bodies.
var heldSizes = [...]string{heldbytes.Small: "small", heldbytes.Medium: "medium", heldbytes.Large: "large"}

// countMemoryRefused counts a request refused for want of memory.
func (d *Daemon) countMemoryRefused(job *deliver.Job, bytes int64) {
	priority := routing.Priority(job.Route, job.Account)
	d.metrics.memoryRefused.WithLabelValues(heldSizes[d.held.Size(bytes)], strconv.Itoa(priority)).Inc()
	now := d.now()
	d.callers.refusedAt.Store(&now)
	d.callers.refused.Add(1)
}

// memoryQuiet is how long no request may be refused for want of memory for that to count as over.
const memoryQuiet = 2 * time.Second

// logMemory logs when requests begin to be refused for want of memory, and when that is over.
func (d *Daemon) logMemory(now time.Time) {
	at := d.callers.refusedAt.Load()
	short := at != nil && now.Sub(*at) < memoryQuiet
	if short == d.callers.shortLogged {
		return
	}
	d.callers.shortLogged = short
	fields := []any{"short", short, "held_bytes", d.held.Held(), "limit", d.held.Limit}
	if !short {
		fields = append(fields, "refused", d.callers.refused.Swap(0))
	}
	d.Log.Warn("memory for callers", fields...)
}
