// Package loopback is a link on the loopback device whose faults tests choose:
// it delays, resets or swallows bytes, or silences just some open connections
// while new ones work.
//
//	p := loopback.New(t, server)
//	client.Dial(p.At)
//	p.Set(loopback.Silences)
//	p.Hush(func(sent string) bool { return strings.Contains(sent, "/held") })
package loopback

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// The ways a proxy treats bytes.
const (
	Passes = iota
	// Delays holds each chunk for some time.
	Delays
	// Resets ends connections and takes no new ones.
	Resets
	// Silences swallows what goes either way, OneWay what comes back.
	Silences
	OneWay
	// Modes is how many there are.
	Modes
)

// defaultDelay is what Delays holds a chunk for until SetDelay says otherwise.
const defaultDelay = 60 * time.Millisecond

// Proxy is a loopback link whose faults are chosen from outside.
type Proxy struct {
	// At is where it listens.
	At       netip.AddrPort
	upstream atomic.Pointer[string]
	mode     atomic.Int32
	delay    atomic.Int64
	accepted atomic.Int64

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through the proxy.
type link struct {
	down, up net.Conn
	// silenced says that it carries nothing any more.
	silenced atomic.Bool
	// gap says that bytes were swallowed: those behind them never arrive, as no
	// network leaves a gap.
	gap atomic.Bool
	// sent is what the connecting side sent last.
	sent atomic.Pointer[string]
}

// New starts a proxy before an address, until the test ends.
func New(t testing.TB, upstream netip.AddrPort) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{At: netip.MustParseAddrPort(l.Addr().String()), links: make(map[*link]bool)}
	p.Lead(upstream)
	p.SetDelay(defaultDelay)
	t.Cleanup(func() { _ = l.Close(); p.resetAll() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			go p.forward(conn)
		}
	}()
	return p
}

// Set changes the mode. Resetting also ends what is open.
func (p *Proxy) Set(mode int) {
	p.mode.Store(int32(mode))
	if mode == Resets {
		p.resetAll()
	}
}

// Lead ends what is open and leads new connections to another address.
func (p *Proxy) Lead(upstream netip.AddrPort) {
	to := upstream.String()
	p.upstream.Store(&to)
	p.resetAll()
}

// SetDelay changes what Delays holds a chunk for.
func (p *Proxy) SetDelay(length time.Duration) { p.delay.Store(int64(length)) }

// Hush silences the open connections that match, by what the connecting side
// sent last on them, for good and without a reset. New ones work. It returns how
// many it silenced.
func (p *Proxy) Hush(match func(sent string) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for l := range p.links {
		sent := ""
		if last := l.sent.Load(); last != nil {
			sent = *last
		}
		if !l.silenced.Load() && match(sent) {
			l.silenced.Store(true)
			n++
		}
	}
	return n
}

// Came is how many connections came so far.
func (p *Proxy) Came() int { return int(p.accepted.Load()) }

func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		reset(l.down)
		reset(l.up)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // The close then resets.
	}
	_ = conn.Close()
}

func (p *Proxy) track(l *link, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.links[l] = true
		return
	}
	delete(p.links, l)
}

func (p *Proxy) forward(down net.Conn) {
	if p.mode.Load() == Resets {
		reset(down)
		return
	}
	up, err := net.Dial("tcp", *p.upstream.Load())
	if err != nil {
		reset(down)
		return
	}
	l := &link{down: down, up: up}
	p.track(l, true)
	defer p.track(l, false)
	var both sync.WaitGroup
	both.Go(func() { p.copy(l, up, down, false) })
	both.Go(func() { p.copy(l, down, up, true) })
	both.Wait()
}

// copy moves bytes one way; back says that they come from upstream.
func (p *Proxy) copy(l *link, to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		mode := p.mode.Load()
		if mode == Delays {
			<-time.After(time.Duration(p.delay.Load()))
		}
		if n > 0 && !back {
			sent := string(buffer[:n])
			l.sent.Store(&sent)
		}
		swallowed := l.silenced.Load() || mode == Silences || (mode == OneWay && back)
		if n > 0 && swallowed {
			l.gap.Store(true)
		}
		if n > 0 && !swallowed {
			if l.gap.Load() {
				reset(to)
				reset(from)
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err == nil {
			continue
		}
		p.end(l, to, from, err)
		return
	}
}

// end passes the end of a connection on. On a silenced one neither side hears of
// the other's end; its own is over once both have ended.
func (p *Proxy) end(l *link, to, from net.Conn, err error) {
	if l.silenced.Load() {
		_ = from.Close()
		return
	}
	// A clean end must not stand for a lost one: bytes may have been swallowed.
	if errors.Is(err, io.EOF) && p.mode.Load() == Passes && !l.gap.Load() {
		_ = to.Close()
	} else {
		reset(to)
	}
	_ = from.Close()
}
