// Package account describes a client account: who calls, and how much of the
// shared pools it may use.
package account

import (
	"crypto/sha256"
	"encoding/hex"
)

// Account is one client account as the operators configured it.
type Account struct {
	// Name is unique and never reused for another client.
	Name string `json:"name"`
	// KeyHashes are HashKey of each API key in force; the keys themselves are
	// kept nowhere.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the account's share when pools are crowded. It is at least 1.
	Weight int `json:"weight"`
	// Concurrency bounds the account's requests under way over all boxes; zero
	// means no bound of its own.
	Concurrency int `json:"concurrency,omitempty"`
	// TokensPerMinute throttles the account's prompt and answer tokens over
	// all boxes; zero means no throttle. The throttle is approximate.
	TokensPerMinute int `json:"tokens_per_minute,omitempty"`
	// Pools names the pools the account may use; empty means all.
	Pools []string `json:"pools,omitempty"`
}

// HashKey returns the form of an API key that configuration holds: the SHA-256
// of a key that is itself random and long.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
