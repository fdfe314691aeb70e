// Package fingerprint names the work that a request asks for. Each try of a caller's
// has an ID of its own; tries that ask for the same have the same fingerprint, at
// whatever box and whenever they come.
//
//	sum := fingerprint.Of("cafe", "POST", "shop.example", "/ask/7", body)
//	log.Info("request", "fingerprint", sum)
package fingerprint

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Sum is the fingerprint of a request. Nobody finds another request with the same
// one, so no client account can have another's requests taken for its own.
type Sum [16]byte

// Of returns the fingerprint of what a client account asks for. Headers don't count:
// callers who repeat a request may vary them.
func Of(account, method, host, path string, body []byte) Sum {
	h := sha256.New()
	for _, text := range []string{account, method, host, path} {
		write(h, []byte(text))
	}
	write(h, body)
	var whole [sha256.Size]byte
	return Sum(h.Sum(whole[:0])[:len(Sum{})])
}

// write adds a field behind its length, so that no two lists of fields are written
// alike.
func write(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = h.Write(length[:]) // A hash takes all that it is given.
	_, _ = h.Write(field)
}

// String returns the sum in hexadecimal digits.
func (s Sum) String() string { return hex.EncodeToString(s[:]) }

// Parse reads what String returns, and says whether it is that.
func Parse(text string) (Sum, bool) {
	var s Sum
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(s) {
		return s, false
	}
	return Sum(raw), true
}
