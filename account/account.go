// Package account describes a client account: its API keys and its limits in the
// shared pools.
package account

import (
	"crypto/sha256"
	"encoding/hex"
)

// Account is one client account as the operators configured it.
type Account struct {
	// Name is unique and never reused for another client.
	Name string `json:"name"`
	// KeyHashes holds the HashKey of each valid API key. The keys themselves are not
	// stored.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the account's relative share of an overloaded pool. It is at least 1.
	Weight int `json:"weight"`
	// Concurrency bounds the account's requests in flight on all boxes together; zero
	// means no bound of its own.
	Concurrency int `json:"concurrency,omitempty"`
	// TokensPerMinute limits the rate of the account's prompt and answer tokens on
	// all boxes together; zero means no limit. The limit is approximate.
	TokensPerMinute int `json:"tokens_per_minute,omitempty"`
	// Pools names the pools the account may use; empty means all.
	Pools []string `json:"pools,omitempty"`
}

// HashKey returns the form in which the configuration holds an API key: its SHA-256.
// That needs no salt, as the keys are long and random.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
