// Package heldbytes counts the bytes that a box holds for callers and targets, by connection and in
// all, and decides which requests are refused while memory fills.
//
//	ledger := heldbytes.Ledger{Limit: heldbytes.LimitOf(memory)}
//	account := ledger.Open()
//	defer account.Close()
//	if !account.Admit(bodyLength, priority) { // refuse the request before its body is read
//	}
//
// It answers callers that send long bodies slowly or leave their answers unread. Without a bound,
// 500 of them at a box with 128 MB took 152 MB of the process and 1,168 MB of the kernel's socket
// buffers, and the box is killed at its limit.
package heldbytes

import "sync/atomic"

// LimitShare is the share of a box's memory that may be held. The Go runtime's memory limit is
// 0.6 of it, and a body of unknown length takes up to 1.5 times what is counted while its buffer
// grows: 0.25 * 1.5 leaves room for connections (package intake) under that limit.
const LimitShare = 0.25

// A body is large if fewer than maxLarge of its size fit in the limit, and small if more than
// minSmall do. A box has some hundreds of requests at once, so that small bodies alone rarely
// fill the limit.
const (
	maxLarge = 256
	minSmall = 2048
)

// Sizes of bodies.
const (
	Small = iota
	Medium
	Large
)

// shares are the shares of the limit up to which bodies are admitted, by size and by priority.
// Answers' buffers get the rest up to bufferShare. What the kernel holds for callers that don't
// read is counted but can't be refused: 16 KiB for each of 500 callers are 0.24 of the limit at a
// box of 128 MB, which still leaves room for small requests. With shares of 0.65, 0.85 and 1, small
// requests were refused for 5 s there.
var shares = [3][priorities]float64{
	Small:  {1, 0.95, 0.9},
	Medium: {0.6, 0.55, 0.5},
	Large:  {0.45, 0.4, 0.35},
}

// turnAfter is how many large bodies of a priority are refused before one may exceed the bound. They
// are admitted up to less than half of the limit, and smaller bodies and answers may hold more than
// that for as long as their load lasts.
const turnAfter = 8

// bufferShare is the share of the limit up to which answers get more than their least buffers.
const bufferShare = 0.65

// priorities is how many priorities are distinguished; lower ones count as the last.
const priorities = 3

// LimitOf returns the limit in bytes for a box with this much memory.
func LimitOf(memory int64) int64 { return int64(LimitShare * float64(memory)) }

// Ledger counts what all connections hold. Set the exported fields before first use. It is safe
// for concurrent use, and never blocks.
type Ledger struct {
	// Limit is the bound in bytes; zero means none.
	Limit int64

	held atomic.Int64
	// exceeding is the account that may exceed the bound; nil if none does.
	exceeding atomic.Pointer[Account]
	// exceedingBody is the account whose body may exceed the bound; nil if none does.
	exceedingBody atomic.Pointer[Account]
	// refused counts the large bodies refused since one last exceeded the bound, by priority.
	refused [priorities]atomic.Int64
}

// Held returns the bytes held in all.
func (l *Ledger) Held() int64 { return l.held.Load() }

// Size classifies a body's length as Small, Medium or Large.
func (l *Ledger) Size(bytes int64) int {
	switch {
	case l.Limit <= 0 || bytes*minSmall <= l.Limit:
		return Small
	case bytes*maxLarge <= l.Limit:
		return Medium
	}
	return Large
}

// Bound returns the bytes up to which a body of this length and priority, 0 first, is admitted.
func (l *Ledger) Bound(bytes int64, priority int) int64 {
	return int64(shares[l.Size(bytes)][index(priority)] * float64(l.Limit))
}

// index returns the index of a priority.
func index(priority int) int { return min(max(priority, 0), priorities-1) }

// Open returns the account of one connection, which holds nothing yet.
func (l *Ledger) Open() *Account { return &Account{ledger: l} }

// take adds bytes unless more than bound would be held then.
func (l *Ledger) take(bytes, bound int64) bool {
	if held := l.held.Add(bytes); bytes > 0 && l.Limit > 0 && held > bound {
		l.held.Add(-bytes)
		return false
	}
	return true
}

// Account counts what one connection holds. All its methods may be called on a nil account, which
// admits everything and counts nothing, and concurrently.
type Account struct {
	ledger *Ledger
	held   atomic.Int64
}

// Held returns the bytes that the connection holds.
func (a *Account) Held() int64 {
	if a == nil {
		return 0
	}
	return a.held.Load()
}

// Admit adds the bytes of a request's body, or returns false if the request is to be refused. Large
// bodies are refused first, and among bodies of a size those of the lowest priority. A body may use
// the whole limit while nothing else is held, and one large body at a time may exceed the bound after
// turnAfter refusals, so that none is refused for ever under constant load. No body may be longer
// than the limit.
func (a *Account) Admit(bytes int64, priority int) bool {
	return a.TryAdmit(bytes, priority) || a.takeTurn(a.held.Load()+bytes, bytes, priority)
}

// TryAdmit is Admit for a body that is asked for again: it is no refusal, and no body exceeds the bound.
func (a *Account) TryAdmit(bytes int64, priority int) bool {
	if a == nil {
		return true
	}
	own := a.held.Load()
	bound := a.ledger.Bound(own+bytes, priority)
	if a.ledger.Held() == own {
		bound = a.ledger.Limit
	}
	return a.add(bytes, bound)
}

// takeTurn adds bytes of a large body of the given total beyond the bound, or counts a refusal and
// returns false.
func (a *Account) takeTurn(total, bytes int64, priority int) bool {
	l := a.ledger
	if l.Size(total) != Large || total > l.Limit {
		return false
	}
	if l.exceedingBody.Load() != a {
		refused := &l.refused[index(priority)]
		if refused.Add(1) <= turnAfter || !l.exceedingBody.CompareAndSwap(nil, a) {
			return false
		}
		refused.Store(0)
	}
	l.held.Add(bytes)
	a.held.Add(bytes)
	return true
}

// Hold adds bytes of an answer's buffer, or returns false if there is no room for them.
func (a *Account) Hold(bytes int64) bool {
	return a == nil || a.add(bytes, int64(bufferShare*float64(a.ledger.Limit)))
}

// Exceed adds bytes of an answer's buffer whether there is room for them or not, or returns false if
// another account does so. One account may until it is closed: it needs no other to release
// memory first, so answers that wait for memory never all wait for each other.
func (a *Account) Exceed(bytes int64) bool {
	if a == nil {
		return true
	}
	if !a.ledger.exceeding.CompareAndSwap(nil, a) && a.ledger.exceeding.Load() != a {
		return false
	}
	a.ledger.held.Add(bytes)
	a.held.Add(bytes)
	return true
}

func (a *Account) add(bytes, bound int64) bool {
	if !a.ledger.take(bytes, bound) {
		return false
	}
	a.held.Add(bytes)
	return true
}

// Set replaces what the connection holds by bytes that it holds already, whether there is room for
// them or not.
func (a *Account) Set(bytes int64) {
	if a != nil {
		a.ledger.held.Add(bytes - a.held.Swap(bytes))
	}
}

// Close releases everything that the connection holds.
func (a *Account) Close() {
	a.Set(0)
	if a != nil {
		a.ledger.exceeding.CompareAndSwap(a, nil)
		a.ledger.exceedingBody.CompareAndSwap(a, nil)
	}
}
