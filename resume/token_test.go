package resume_test

import (
	"testing"
	"time"

	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/resume"
)

func TestCheck(t *testing.T) {
	now := time.Unix(1000, 0)
	signer := resume.Signer{Keys: [][]byte{[]byte("new key"), []byte("old key")}}
	old := resume.Signer{Keys: [][]byte{[]byte("old key")}}
	stranger := resume.Signer{Keys: [][]byte{[]byte("stranger")}}
	token := resume.Token{Account: "a", Request: "r", Until: now.Add(time.Minute)}
	tests := []struct {
		name    string
		signer  resume.Signer
		account string
		at      time.Time
		ok      bool
	}{
		{"own", signer, "a", now, true},
		{"signed with an older accepted key", old, "a", now, true},
		{"another account", signer, "b", now, false},
		{"another deployment", stranger, "a", now, false},
		{"expired", signer, "a", now.Add(2 * time.Minute), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			text, err := tt.signer.Sign(token)
			if err != nil {
				t.Fatal(err)
			}
			got, err := signer.Check(text, tt.account, tt.at)
			if (err == nil) != tt.ok {
				t.Errorf("Check = %v, want ok %v", err, tt.ok)
			}
			if tt.ok && got.Request != "r" {
				t.Errorf("got %+v", got)
			}
		})
	}
}

// TestChangedTokensAreRefused changes one character at a time.
func TestChangedTokensAreRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	signer := resume.Signer{Keys: [][]byte{[]byte("key")}}
	text, err := signer.Sign(resume.Token{Account: "a", Request: "r", Until: now})
	if err != nil {
		t.Fatal(err)
	}
	proptest.Holds(t, prop.ForAll(func(at int, with rune) bool {
		changed := []byte(text)
		if changed[at] == byte(with) || at == len(text)-1 { // The last character has unused bits.
			return true
		}
		changed[at] = byte(with)
		_, err := signer.Check(string(changed), "a", now)
		return err != nil
	}, gen.IntRange(0, len(text)-1), gen.AlphaNumChar()))
}
