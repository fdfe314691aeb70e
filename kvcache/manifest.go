// Package kvcache holds what is known of KV cache kept on store boxes: the
// manifests that make pieces usable, and the checks before their use.
//
// A piece is written first and its manifest last; a manifest is used only if
// Check finds it to belong to the very prompt, client account and weight
// version:
//
//	run, err := store.Find(ctx, address, keys)
//	usable := kept.Usable(run, scope, keys)
package kvcache

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/gravitational/trace"
	"github.com/zeebo/blake3"
)

// Piece is one stored block of KV cache.
type Piece struct {
	// Digest is the BLAKE3 hash of the stored bytes, in hexadecimal.
	Digest string `json:"digest"`
	Bytes  int    `json:"bytes"`
	Tokens int    `json:"tokens"`
}

// Manifest makes one stored piece usable: it says of which prefix it is the
// last piece. It is written only after the piece has been written whole. The
// KV cache of a prompt is the run of manifests from its first boundary on.
type Manifest struct {
	// Key is the prefix key at the piece's end, in hexadecimal.
	Key string `json:"key"`
	// Scope is the cache scope of client account and weight version.
	Scope string `json:"scope"`
	// Depth is how many pieces come before this one.
	Depth int   `json:"depth"`
	Piece Piece `json:"piece"`
	// Sum binds the fields above; see Seal.
	Sum string `json:"sum"`
	// Tier is TierMemory or TierDisk, where the piece is now.
	Tier int `json:"tier,omitempty"`
	// Used is when the manifest was last asked for, by the store box's clock.
	Used time.Time `json:"used,omitzero"`
	// Hits counts how often the manifest was asked for.
	Hits int `json:"hits,omitempty"`
}

// The tiers of a store box.
const (
	TierMemory = iota
	TierDisk
	Tiers
)

// Found is what a store box holds of a prompt.
type Found struct {
	// Run are the manifests from the first boundary on.
	Run []Manifest `json:"manifests"`
	// Links are what the store box says of the links to its tiers.
	Links [Tiers]Link `json:"links"`
}

// Link is the link to one tier of a store box.
type Link struct {
	// Queue is the bytes that wait to be moved.
	Queue int `json:"queue"`
	// Rate is the bytes moved a second, as the store box was set up.
	Rate float64 `json:"rate"`
}

// Size returns the tokens that a run of manifests covers and its bytes.
func Size(run []Manifest) (tokens, bytes int) {
	for _, m := range run {
		tokens += m.Piece.Tokens
		bytes += m.Piece.Bytes
	}
	return tokens, bytes
}

// Seal returns the manifest with its Sum set.
func Seal(m Manifest) Manifest {
	m.Sum = sum(m)
	return m
}

// Check says whether the manifest may be used for the prefix key in scope, as
// the piece at depth.
func Check(m Manifest, scope, key string, depth int) error {
	switch {
	case m.Scope != scope:
		return trace.AccessDenied("the manifest is of another client account or weight version")
	case m.Key != key || m.Depth != depth:
		return trace.CompareFailed("the manifest is of another prefix")
	case m.Piece.Bytes <= 0 || m.Piece.Tokens <= 0:
		return trace.CompareFailed("the manifest's piece is empty")
	case m.Sum != sum(m):
		return trace.CompareFailed("the manifest is damaged")
	}
	return nil
}

// Usable returns the beginning of a run that passes Check for each of the
// prompt's keys, the shortest prefix first.
func Usable(run []Manifest, scope string, keys []string) []Manifest {
	for i, m := range run {
		if i >= len(keys) || Check(m, scope, keys[i], i) != nil {
			return run[:i]
		}
	}
	return run
}

// Digest names a piece by its bytes.
func Digest(data []byte) string {
	h := blake3.Sum256(data)
	return hex.EncodeToString(h[:])
}

func sum(m Manifest) string {
	h := blake3.New()
	field := func(text string) {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(text)
	}
	field(m.Key)
	field(m.Scope)
	field(m.Piece.Digest)
	var counts [24]byte
	binary.LittleEndian.PutUint64(counts[:8], uint64(m.Depth))
	binary.LittleEndian.PutUint64(counts[8:16], uint64(m.Piece.Bytes))
	binary.LittleEndian.PutUint64(counts[16:], uint64(m.Piece.Tokens))
	_, _ = h.Write(counts[:])
	return hex.EncodeToString(h.Sum(nil))
}
