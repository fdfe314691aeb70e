// Package directory tracks which engine or store holds which cached prompt parts, by
// their own reports and by what was ordered of them. Entries of another epoch, or of a
// disconnected source, do not count.
//
//	d := directory.New()
//	d.Connected("engine-3", epoch)
//	d.Add("engine-3", directory.KeyOf(scope, "5c1e07a2"), 800)
//	n := d.LeadingParts("engine-3", keys, now) // how many leading parts it holds
//
// It holds one map entry, about 40 bytes, for each part that a source reports, so it is
// bounded by the sources' own memory.
package directory

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a part of a prompt in one scope: another weight version, or another
// isolated account, gives another key.
type Key uint64

// KeyOf returns the key of a part.
func KeyOf(scope, part string) Key {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(scope) // Writing to a hash never fails.
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(part)
	return Key(h.Sum64())
}

// Directory is not safe for concurrent use.
type Directory struct {
	sources map[string]*source
}

// source is one target or store.
type source struct {
	epoch uint64
	// cached holds tokens by part, as the source reported.
	cached map[Key]int
	// expected holds parts that were sent there for prefill or storage and that the source
	// has not reported yet.
	expected map[Key]expectation
	// tokens is the sum of cached and expected, in whole blocks.
	tokens int
	// disconnected is set while the source is unreachable, known once it was connected.
	disconnected, known bool
}

// expectation is a part that is being sent, and until when it counts.
type expectation struct {
	until  time.Time
	tokens int
}

// block is the allocation unit of the engines' memory, in tokens.
const block = 16

// blocks rounds tokens up to whole blocks.
func blocks(tokens int) int { return (tokens + block - 1) / block * block }

// New returns an empty directory.
func New() *Directory { return &Directory{sources: make(map[string]*source)} }

func (d *Directory) of(name string) *source {
	s := d.sources[name]
	if s == nil {
		s = &source{cached: make(map[Key]int), expected: make(map[Key]expectation)}
		d.sources[name] = s
	}
	return s
}

// Connected records that a source is connected, in the given epoch. Its parts of another
// epoch are dropped; Connected reports whether there was another epoch.
func (d *Directory) Connected(name string, epoch uint64) bool {
	s := d.of(name)
	s.disconnected = false
	restarted := s.known && s.epoch != epoch
	if s.epoch != epoch {
		*s = source{epoch: epoch, cached: make(map[Key]int), expected: make(map[Key]expectation)}
	}
	s.known = true
	return restarted
}

// Clear drops a source's cached parts, before it reports all of them again.
func (d *Directory) Clear(name string) {
	s := d.of(name)
	for key := range s.cached {
		s.tokens -= blocks(s.cached[key])
	}
	s.cached = make(map[Key]int)
}

// Disconnected records that a source is unreachable. Its entries count again once it is
// connected in the same epoch.
func (d *Directory) Disconnected(name string) {
	if s := d.sources[name]; s != nil {
		s.disconnected = true
	}
}

// IsConnected reports whether a source is connected.
func (d *Directory) IsConnected(name string) bool {
	s := d.sources[name]
	return s != nil && s.known && !s.disconnected
}

// Forget removes a source.
func (d *Directory) Forget(name string) { delete(d.sources, name) }

// Add records that a source holds a whole part.
func (d *Directory) Add(name string, key Key, tokens int) {
	s := d.of(name)
	s.settle(key)
	s.tokens += blocks(tokens) - blocks(s.cached[key])
	s.cached[key] = tokens
}

// settle ends the expectation of a part.
func (s *source) settle(key Key) {
	if p, expected := s.expected[key]; expected {
		s.tokens -= blocks(p.tokens)
		delete(s.expected, key)
	}
}

// Remove records that a source dropped a part.
func (d *Directory) Remove(name string, key Key) {
	s := d.of(name)
	s.tokens -= blocks(s.cached[key])
	delete(s.cached, key)
	s.settle(key)
}

// Expect records that a source was sent a part and will probably hold it.
func (d *Directory) Expect(name string, key Key, tokens int, until time.Time) {
	s := d.of(name)
	if _, held := s.cached[key]; held {
		return
	}
	s.settle(key)
	s.expected[key] = expectation{until, tokens}
	s.tokens += blocks(tokens)
}

// Has reports whether a connected source reported that it holds a whole part.
func (d *Directory) Has(name string, key Key) bool {
	s := d.sources[name]
	if s == nil || s.disconnected {
		return false
	}
	_, held := s.cached[key]
	return held
}

// HasOrExpects reports whether a source holds a part or is about to.
func (d *Directory) HasOrExpects(name string, key Key, now time.Time) bool {
	if d.Has(name, key) {
		return true
	}
	s := d.sources[name]
	if s == nil || s.disconnected {
		return false
	}
	p, sent := s.expected[key]
	return sent && now.Before(p.until)
}

// LeadingParts returns how many leading parts a source holds or is about to. Engines use
// a part only together with all parts before it.
func (d *Directory) LeadingParts(name string, keys []Key, now time.Time) int {
	for i, key := range keys {
		if !d.HasOrExpects(name, key, now) {
			return i
		}
	}
	return len(keys)
}

// Tokens returns how many tokens a source holds or is about to, in whole blocks.
func (d *Directory) Tokens(name string) int {
	s := d.sources[name]
	if s == nil {
		return 0
	}
	return s.tokens
}

// Len returns the number of a source's entries.
func (d *Directory) Len(name string) int {
	s := d.sources[name]
	if s == nil {
		return 0
	}
	return len(s.cached)
}

// Expire drops expectations whose time has passed. Call it about once a second.
func (d *Directory) Expire(now time.Time) {
	for _, s := range d.sources {
		for key, p := range s.expected {
			if !now.Before(p.until) {
				s.settle(key)
			}
		}
	}
}
