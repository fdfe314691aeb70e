package loopback

import "net"

// Cut is a cut of the connections from some ports, which a process uses.
type Cut struct {
	// From reports whether a connection comes from the process.
	From func(port int) bool
	// Silent discards all bytes; otherwise open connections are reset and new ones refused.
	Silent bool
}

// SetCut cuts the connections of one process off; nil ends that. Connections that were silenced stay
// so, as bytes were lost on them.
func (p *Proxy) SetCut(cut *Cut) {
	p.cut.Store(cut)
	if cut == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if cut.From(portOf(l.down)) {
			l.cutOff(cut)
		}
	}
}

// cutOff cuts an open connection off.
func (l *link) cutOff(cut *Cut) {
	if cut.Silent {
		l.silenced.Store(true)
		return
	}
	reset(l.down)
	reset(l.up)
}

// isCut reports whether a new connection is cut off, and how.
func (p *Proxy) isCut(conn net.Conn) (*Cut, bool) {
	cut := p.cut.Load()
	return cut, cut != nil && cut.From(portOf(conn))
}

func portOf(conn net.Conn) int {
	if at, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return at.Port
	}
	return 0
}
