// Package resume signs and checks the tokens with which a caller resumes an interrupted
// stream at any box. The boxes share no state for it: everything needed is in the token.
//
//	s := resume.Signer{Keys: [][]byte{key}}
//	text, err := s.Sign(resume.Token{Account: "menu-app", Request: "r1"})
//	token, err := s.Check(text, "menu-app", now)
package resume

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
)

// Token identifies a stream that can be resumed.
type Token struct {
	Account string         `cbor:"1,keyasint"`
	Request string         `cbor:"2,keyasint"`
	Target  netip.AddrPort `cbor:"3,keyasint"`
	Attempt int            `cbor:"4,keyasint"`
	Version string         `cbor:"5,keyasint"`
	Scope   string         `cbor:"6,keyasint"`
	Model   string         `cbor:"7,keyasint"`
	// Chat is set if the caller requested a chat completion.
	Chat bool `cbor:"8,keyasint"`
	// Until is when the engine may have dropped the run.
	Until time.Time `cbor:"9,keyasint"`
}

// Signer makes and checks tokens. Set Keys before first use; it is safe for
// concurrent use.
type Signer struct {
	// Keys are all accepted; the first one signs.
	Keys [][]byte
}

// Sign returns the token as text for a header.
func (s *Signer) Sign(t Token) (string, error) {
	body, err := cbor.Marshal(t)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return base64.RawURLEncoding.EncodeToString(append(mac(s.Keys[0], body), body...)), nil
}

// Check returns the token if it is authentic, not expired at now and belongs to the
// account. Every failure is the same trace.AccessDenied, so that it reveals nothing.
func (s *Signer) Check(text, account string, now time.Time) (Token, error) {
	denied := trace.AccessDenied("the resume token is not good")
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) < sha256.Size {
		return Token{}, denied
	}
	sum, body := data[:sha256.Size], data[sha256.Size:]
	genuine := false
	for _, key := range s.Keys {
		genuine = hmac.Equal(sum, mac(key, body)) || genuine
	}
	var t Token
	if !genuine || cbor.Unmarshal(body, &t) != nil {
		return Token{}, denied
	}
	if t.Account != account || now.After(t.Until) {
		return Token{}, denied
	}
	return t, nil
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write(body)
	return h.Sum(nil)
}
