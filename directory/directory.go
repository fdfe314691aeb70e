// Package directory knows which target or store keeps which parts of prompts,
// from what they tell and from what was ordered of them. An entry of another
// epoch, or of a source that fell silent, counts for nothing.
//
//	d := directory.New()
//	d.Begin("engine-3", epoch)
//	d.Add("engine-3", directory.Of(scope, "5c1e07a2"), 800)
//	n := d.Run("engine-3", keys) // how many leading parts it keeps
//
// It holds one map entry, about 40 bytes, for each part that a source says it
// keeps, so it is bounded by the sources' own memory.
package directory

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names a part of a prompt under one scope: another weight version, or
// another walled account, gives another key.
type Key uint64

// KeyOf returns the key of a part.
func KeyOf(scope, part string) Key {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(scope) // A hash never fails to take bytes.
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(part)
	return Key(h.Sum64())
}

// Directory is not safe for concurrent use.
type Directory struct {
	sources map[string]*source
}

// source is what one target or store keeps.
type source struct {
	epoch uint64
	// kept holds tokens by part, as the source told.
	kept map[Key]int
	// expected holds parts that were sent there to be read or saved and that
	// the source has not told of yet.
	expected map[Key]promise
	// tokens sums up kept and expected, in whole blocks.
	tokens int
	// silent is set while the source can't be heard, begun once it was heard.
	silent, begun bool
}

// promise is a part that is on its way, and until when that counts.
type promise struct {
	until  time.Time
	tokens int
}

// block is what memory goes by, in tokens.
const block = 16

// blocks rounds tokens up to whole blocks.
func blocks(tokens int) int { return (tokens + block - 1) / block * block }

// New returns an empty directory.
func New() *Directory { return &Directory{sources: make(map[string]*source)} }

func (d *Directory) of(name string) *source {
	s := d.sources[name]
	if s == nil {
		s = &source{kept: make(map[Key]int), expected: make(map[Key]promise)}
		d.sources[name] = s
	}
	return s
}

// Connected notes that a source is heard, in the epoch given. What it kept in
// another epoch is gone; Begin says whether there was another one.
func (d *Directory) Connected(name string, epoch uint64) bool {
	s := d.of(name)
	s.silent = false
	restarted := s.begun && s.epoch != epoch
	if s.epoch != epoch {
		*s = source{epoch: epoch, kept: make(map[Key]int), expected: make(map[Key]promise)}
	}
	s.begun = true
	return restarted
}

// Clear drops what a source keeps, before all of it is told anew.
func (d *Directory) Clear(name string) {
	s := d.of(name)
	for key := range s.kept {
		s.tokens -= blocks(s.kept[key])
	}
	s.kept = make(map[Key]int)
}

// Disconnected notes that a source can't be heard. Its entries count again once it
// is heard in the same epoch.
func (d *Directory) Disconnected(name string) {
	if s := d.sources[name]; s != nil {
		s.silent = true
	}
}

// IsConnected says whether a source can be heard.
func (d *Directory) IsConnected(name string) bool {
	s := d.sources[name]
	return s != nil && s.begun && !s.silent
}

// Forget drops a source.
func (d *Directory) Forget(name string) { delete(d.sources, name) }

// Add notes that a source keeps a part whole.
func (d *Directory) Add(name string, key Key, tokens int) {
	s := d.of(name)
	s.fulfil(key)
	s.tokens += blocks(tokens) - blocks(s.kept[key])
	s.kept[key] = tokens
}

// fulfil ends the expectation of a part.
func (s *source) fulfil(key Key) {
	if p, expected := s.expected[key]; expected {
		s.tokens -= blocks(p.tokens)
		delete(s.expected, key)
	}
}

// Remove notes that a source dropped a part.
func (d *Directory) Remove(name string, key Key) {
	s := d.of(name)
	s.tokens -= blocks(s.kept[key])
	delete(s.kept, key)
	s.fulfil(key)
}

// Expect notes that a source was sent a part and will probably keep it.
func (d *Directory) Expect(name string, key Key, tokens int, until time.Time) {
	s := d.of(name)
	if _, kept := s.kept[key]; kept {
		return
	}
	s.fulfil(key)
	s.expected[key] = promise{until, tokens}
	s.tokens += blocks(tokens)
}

// Has says whether a source told that it keeps a part whole.
func (d *Directory) Has(name string, key Key) bool {
	s := d.sources[name]
	if s == nil || s.silent {
		return false
	}
	_, kept := s.kept[key]
	return kept
}

// HasOrExpects says whether a source keeps a part or is about to.
func (d *Directory) HasOrExpects(name string, key Key, now time.Time) bool {
	if d.Has(name, key) {
		return true
	}
	s := d.sources[name]
	if s == nil || s.silent {
		return false
	}
	p, sent := s.expected[key]
	return sent && now.Before(p.until)
}

// LeadingParts counts the leading parts that a source keeps or is about to. Engines use
// a part only together with all parts before it.
func (d *Directory) LeadingParts(name string, keys []Key, now time.Time) int {
	for i, key := range keys {
		if !d.HasOrExpects(name, key, now) {
			return i
		}
	}
	return len(keys)
}

// Tokens returns how many tokens a source keeps or was sent to keep.
func (d *Directory) Tokens(name string) int {
	s := d.sources[name]
	if s == nil {
		return 0
	}
	return s.tokens
}

// Len counts the entries of a source.
func (d *Directory) Len(name string) int {
	s := d.sources[name]
	if s == nil {
		return 0
	}
	return len(s.kept)
}

// Expire drops expectations whose time is over. Call it about once a second.
func (d *Directory) Expire(now time.Time) {
	for _, s := range d.sources {
		for key, p := range s.expected {
			if !now.Before(p.until) {
				s.fulfil(key)
			}
		}
	}
}
