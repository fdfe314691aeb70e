// Package loopback provides a TCP proxy on the loopback device with faults for tests. It
// delays, resets or discards bytes, or silences some open connections while new ones work.
//
//	p := loopback.New(t, server)
//	client.Dial(p.Address)
//	p.Set(loopback.Discards)
//	p.Silence(func(sent string) bool { return strings.Contains(sent, "/held") })
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

// The modes of a proxy.
const (
	// Passes forwards all bytes.
	Passes = iota
	// Delays delays each chunk.
	Delays
	// Resets resets open connections and new ones.
	Resets
	// Discards discards the bytes of both directions.
	Discards
	// DiscardsReplies discards the bytes from upstream.
	DiscardsReplies
	// NumModes is the number of modes.
	NumModes
)

// defaultDelay is the delay of a chunk in mode Delays unless SetDelay changes it.
const defaultDelay = 60 * time.Millisecond

// Proxy forwards connections to an upstream address, with the faults of its mode.
type Proxy struct {
	// Address is the address that it listens on.
	Address  netip.AddrPort
	upstream atomic.Pointer[string]
	mode     atomic.Int32
	delay    atomic.Int64
	accepted atomic.Int64
	cut      atomic.Pointer[Cut]

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through the proxy.
type link struct {
	down, up net.Conn
	// silenced is set once the connection carries no more bytes.
	silenced atomic.Bool
	// gap is set once bytes were discarded. No later bytes may pass then, as TCP never
	// delivers a stream with a gap.
	gap atomic.Bool
	// sent is the last chunk that the connecting side sent.
	sent atomic.Pointer[string]
}

// New starts a proxy for an upstream address. It runs until the test ends.
func New(t testing.TB, upstream netip.AddrPort) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{Address: netip.MustParseAddrPort(l.Addr().String()), links: make(map[*link]bool)}
	p.SetUpstream(upstream)
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

// Set changes the mode. Resets also resets the open connections.
func (p *Proxy) Set(mode int) {
	p.mode.Store(int32(mode))
	if mode == Resets {
		p.resetAll()
	}
}

// SetUpstream resets the open connections and forwards new ones to another address.
func (p *Proxy) SetUpstream(upstream netip.AddrPort) {
	to := upstream.String()
	p.upstream.Store(&to)
	p.resetAll()
}

// SetDelay changes the delay of a chunk in mode Delays.
func (p *Proxy) SetDelay(length time.Duration) { p.delay.Store(int64(length)) }

// Silence silences the matching open connections for good and without a reset. It matches
// the last chunk that the connecting side sent. New connections work. It returns how
// many it silenced.
func (p *Proxy) Silence(match func(sent string) bool) int {
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

// Accepted returns how many connections were accepted so far.
func (p *Proxy) Accepted() int { return int(p.accepted.Load()) }

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
		_ = tcp.SetLinger(0) // Close then sends a reset.
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
	cut, isCut := p.isCut(down)
	if p.mode.Load() == Resets || isCut && !cut.Silent {
		reset(down)
		return
	}
	up, err := net.Dial("tcp", *p.upstream.Load())
	if err != nil {
		reset(down)
		return
	}
	l := &link{down: down, up: up}
	l.silenced.Store(isCut)
	p.track(l, true)
	defer p.track(l, false)
	var both sync.WaitGroup
	both.Go(func() { p.copy(l, up, down, false) })
	both.Go(func() { p.copy(l, down, up, true) })
	both.Wait()
}

// copy forwards the bytes of one direction. back is set for the direction from upstream.
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
		discard := l.silenced.Load() || mode == Discards || (mode == DiscardsReplies && back)
		if n > 0 && discard {
			l.gap.Store(true)
		}
		if n > 0 && !discard {
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

// end forwards the end of one direction. On a silenced connection neither side learns
// that the other has closed; each side's part is closed when that side closes.
func (p *Proxy) end(l *link, to, from net.Conn, err error) {
	if l.silenced.Load() {
		_ = from.Close()
		return
	}
	// A clean close must not hide lost bytes, so it is forwarded only if none can have
	// been discarded.
	if errors.Is(err, io.EOF) && p.mode.Load() == Passes && !l.gap.Load() {
		_ = to.Close()
	} else {
		reset(to)
	}
	_ = from.Close()
}
