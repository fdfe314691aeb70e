// Package kvcache describes KV cache stored on store boxes: the manifests that make
// pieces usable, the checks before their use, and the client.
//
// A piece is written first and its manifest last; a manifest is used only if Check
// confirms that it belongs to the very prompt, client account and weight version:
//
//	found, err := client.Find(ctx, address, keys)
//	usable := kvcache.Usable(found.Run, scope, keys)
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

// Manifest makes one stored piece usable: it names the prefix of which that is the last
// piece. It is written only after the whole piece. The KV cache of a prompt is the run of
// manifests from its first boundary on.
type Manifest struct {
	// Key is the prefix key at the piece's end, in hexadecimal.
	Key string `json:"key"`
	// Scope is the cache scope of client account and weight version.
	Scope string `json:"scope"`
	// Depth is how many pieces come before this one.
	Depth int   `json:"depth"`
	Piece Piece `json:"piece"`
	// Sum is a checksum of the fields above; see Seal.
	Sum string `json:"sum"`
	// Tier is TierMemory or TierDisk, where the piece is stored now.
	Tier int `json:"tier,omitempty"`
	// Used is when the manifest was last requested, by the store box's clock.
	Used time.Time `json:"used,omitzero"`
	// Hits counts the requests for the manifest.
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
	// Links are the links to the store box's tiers, as it reports them.
	Links [Tiers]Link `json:"links"`
}

// Link is the link to one tier of a store box.
type Link struct {
	// Queue is the bytes that wait for transfer.
	Queue int `json:"queue"`
	// Rate is the configured bytes a second.
	Rate float64 `json:"rate"`
}

// Size returns the tokens and bytes of a run of manifests.
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

// Check returns an error unless the manifest may be used for the prefix key in scope, as
// the piece at depth.
func Check(m Manifest, scope, key string, depth int) error {
	switch {
	case m.Scope != scope:
		return trace.AccessDenied("the manifest belongs to another client account or weight version")
	case m.Key != key || m.Depth != depth:
		return trace.CompareFailed("the manifest belongs to another prefix")
	case m.Piece.Bytes <= 0 || m.Piece.Tokens <= 0:
		return trace.CompareFailed("the manifest's piece has %d bytes and %d tokens", m.Piece.Bytes, m.Piece.Tokens)
	case m.Sum != sum(m):
		return trace.CompareFailed("the manifest's checksum does not match")
	}
	return nil
}

// Usable returns the leading part of a run that passes Check for the prompt's keys, the
// shortest prefix first.
func Usable(run []Manifest, scope string, keys []string) []Manifest {
	for i, m := range run {
		if i >= len(keys) || Check(m, scope, keys[i], i) != nil {
			return run[:i]
		}
	}
	return run
}

// Digest returns the digest of a piece's bytes.
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
