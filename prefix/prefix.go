// Package prefix computes the keys of a prompt's prefixes from its bytes, without a
// tokenizer, so that every box uses the same key for the same cached piece.
//
//	chain := prefix.Chain(prefix.Scope("menu-app", "v7"), prompt, 8192)
//	home := chain[0] // ranks the targets
package prefix

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// Key identifies one prefix of a prompt within a client account and a weight version.
// Two keys are equal only if account, version and bytes are.
type Key [32]byte

// String returns the key in hexadecimal, as store boxes and records show it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Rank returns the part of the key that enters rendezvous hashing.
func (k Key) Rank() uint64 { return binary.LittleEndian.Uint64(k[:8]) }

// Scope returns the seed of all chains of a client account and a weight version. The
// account's length is hashed too, so that no two pairs share a scope.
func Scope(account, version string) Key {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(account)))
	h := blake3.New()
	_, _ = h.Write(size[:])
	_, _ = h.WriteString(account)
	_, _ = h.WriteString(version)
	var key Key
	h.Sum(key[:0])
	return key
}

// Chain returns a key for each complete piece of the prompt: key i covers the first
// (i+1)*pieceBytes bytes. The bytes after the last boundary have no key.
func Chain(scope Key, prompt []byte, pieceBytes int) []Key {
	keys := make([]Key, 0, len(prompt)/pieceBytes)
	previous := scope
	for end := pieceBytes; end <= len(prompt); end += pieceBytes {
		h := blake3.New()
		_, _ = h.Write(previous[:])
		_, _ = h.Write(prompt[end-pieceBytes : end])
		h.Sum(previous[:0])
		keys = append(keys, previous)
	}
	return keys
}

// Home returns the key for the rendezvous hashing of a prompt: that of its first
// piece, or of the complete prompt if it is shorter than a piece. An empty prompt has
// the scope.
func Home(scope Key, prompt []byte, pieceBytes int) Key {
	if len(prompt) < pieceBytes {
		pieceBytes = max(len(prompt), 1)
	}
	keys := Chain(scope, prompt[:min(pieceBytes, len(prompt))], pieceBytes)
	if len(keys) == 0 {
		return scope
	}
	return keys[0]
}
