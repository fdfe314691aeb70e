// Package fingerprint identifies the work that a request asks for. Each attempt of a
// caller has its own ID; attempts for the same work have the same fingerprint, on any box
// and at any time.
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

// Sum is the fingerprint of a request. It is collision-resistant, so no client account
// can have another's requests mistaken for its own.
type Sum [16]byte

// Of returns the fingerprint of a client account's request. Headers are not included:
// callers that repeat a request may vary them.
func Of(account, method, host, path string, body []byte) Sum {
	h := sha256.New()
	for _, text := range []string{account, method, host, path} {
		write(h, []byte(text))
	}
	write(h, body)
	var whole [sha256.Size]byte
	return Sum(h.Sum(whole[:0])[:len(Sum{})])
}

// OfPart returns the fingerprint of a part of a client account's prompts to a model.
func OfPart(account, model, part string) Sum {
	h := sha256.New()
	for _, text := range []string{"part", account, model, part} {
		write(h, []byte(text))
	}
	var whole [sha256.Size]byte
	return Sum(h.Sum(whole[:0])[:len(Sum{})])
}

// write adds a field after its length, so that no two lists of fields have the same
// encoding.
func write(h hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = h.Write(length[:]) // Writing to a hash never fails.
	_, _ = h.Write(field)
}

// String returns the sum in hexadecimal.
func (s Sum) String() string { return hex.EncodeToString(s[:]) }

// Parse parses the result of String, and reports whether the text is valid.
func Parse(text string) (Sum, bool) {
	var s Sum
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(s) {
		return s, false
	}
	return Sum(raw), true
}
