// Package kept holds what is known of KV cache kept on store boxes: the
// manifest that makes a set of pieces usable, and the checks before its use.
//
// Pieces are written first and the manifest last; a manifest is used only if
// Check finds it to belong to the very prompt, client account and weight
// version:
//
//	if err := kept.Check(m, scope, key); err != nil { recompute() }
package kept

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

// Manifest lists the pieces that together hold the KV cache of one prefix. It
// is written only after every piece has been written whole.
type Manifest struct {
	// Key is the prefix key at the boundary, in hexadecimal.
	Key string `json:"key"`
	// Scope is the cache scope of client account and weight version.
	Scope  string  `json:"scope"`
	Pieces []Piece `json:"pieces"`
	// Sum binds all other fields; see Seal.
	Sum string `json:"sum"`
	// Used is when the manifest was last asked for, by the store box's clock.
	// It is not bound by Sum.
	Used time.Time `json:"used,omitzero"`
	// Hits counts how often the manifest was asked for.
	Hits int `json:"hits,omitempty"`
}

// Tokens counts the prompt tokens that the pieces cover.
func (m Manifest) Tokens() int {
	n := 0
	for _, p := range m.Pieces {
		n += p.Tokens
	}
	return n
}

// Bytes counts the stored bytes.
func (m Manifest) Bytes() int {
	n := 0
	for _, p := range m.Pieces {
		n += p.Bytes
	}
	return n
}

// Seal returns the manifest with its Sum set.
func Seal(m Manifest) Manifest {
	m.Sum = sum(m)
	return m
}

// Check says whether the manifest may be used for the prefix key in scope.
func Check(m Manifest, scope, key string) error {
	switch {
	case m.Scope != scope:
		return trace.AccessDenied("the manifest is of another client account or weight version")
	case m.Key != key:
		return trace.CompareFailed("the manifest is of another prefix")
	case len(m.Pieces) == 0:
		return trace.CompareFailed("the manifest lists no pieces")
	case m.Sum != sum(m):
		return trace.CompareFailed("the manifest is damaged")
	}
	return nil
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
	for _, p := range m.Pieces {
		field(p.Digest)
		var counts [16]byte
		binary.LittleEndian.PutUint64(counts[:8], uint64(p.Bytes))
		binary.LittleEndian.PutUint64(counts[8:], uint64(p.Tokens))
		_, _ = h.Write(counts[:])
	}
	return hex.EncodeToString(h.Sum(nil))
}
