// Package prefix names the prefixes of a prompt without a tokenizer, so that
// every box computes the same name for the same kept cache.
//
//	chain := prefix.Chain(prefix.Scope("menu-app", "v7"), prompt, 8192)
//	home := chain[0] // ranks the targets
package prefix

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// Key names one prefix of one prompt within one client account and one weight
// version. Two keys are equal only if account, version and bytes are.
type Key [32]byte

// String returns the key in hexadecimal, as store boxes and records show it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Rank returns a number to rank targets by.
func (k Key) Rank() uint64 { return binary.LittleEndian.Uint64(k[:8]) }

// Scope returns the seed of all chains of one client account and one weight
// version. Lengths are hashed too, so that no two pairs share a scope.
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

// Chain returns a key for each whole piece of the prompt: key i covers the
// first (i+1)*pieceBytes bytes. The rest behind the last boundary has no key.
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

// Home returns the key that ranks targets for a prompt: its first piece, or the
// scope with the whole prompt when it is shorter than a piece.
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
