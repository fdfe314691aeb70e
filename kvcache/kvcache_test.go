package kvcache_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/zeebo/blake3"

	"github.com/thymewind/thymewind/internal/fake"
	"github.com/thymewind/thymewind/internal/proptest"
	"github.com/thymewind/thymewind/internal/standin/fault"
	"github.com/thymewind/thymewind/internal/standin/store"
	"github.com/thymewind/thymewind/kvcache"
	"github.com/thymewind/thymewind/prefix"
)

const pieceBytes = 64

var at = netip.MustParseAddrPort("10.0.0.1:7200")

// Faults between the client and a store box.
const (
	fine = iota
	fails
	truncates
	flips
	crosses
	restarts
	faultKinds
)

// transport carries calls to a store box in this process.
type transport struct {
	script fake.Script
	box    http.Handler
	// last is the latest answer with manifests, which may be returned for another request.
	last []byte
}

func newBox() http.Handler {
	box := store.Store{Fault: &fault.Switch{}, MemoryBytes: 4 << 10, DiskBytes: 4 << 10, MemoryRate: 1e6, DiskRate: 1e5}
	return box.Handler()
}

// RoundTrip implements http.RoundTripper.
func (w *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	kind := int(w.script.Draw())
	switch kind {
	case fails:
		return nil, errors.New("connection reset")
	case restarts:
		w.box = newBox()
	}
	recorder := httptest.NewRecorder()
	w.box.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	switch {
	case kind == truncates && len(body) > 1:
		body = body[:len(body)/2]
	case kind == flips && len(body) > 0:
		body = bytes.Clone(body)
		body[len(body)/2] ^= 1
	case kind == crosses && w.last != nil && strings.HasSuffix(r.URL.Path, "/find"):
		body = w.last
	}
	if strings.HasSuffix(r.URL.Path, "/find") && strings.Contains(recorder.Body.String(), "digest") {
		w.last = bytes.Clone(recorder.Body.Bytes())
	}
	answer := recorder.Result()
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return answer, nil
}

// cache returns the KV cache of a piece.
func cache(key string) []byte {
	sum := blake3.Sum256([]byte(key))
	return bytes.Repeat(sum[:], 8)
}

// safeguards are replaced one by one in the tests that show that each is needed.
type safeguards struct {
	usable func(run []kvcache.Manifest, scope string, keys []string) []kvcache.Manifest
	piece  func(client *kvcache.Client, p kvcache.Piece) ([]byte, error)
}

var inForce = safeguards{
	usable: kvcache.Usable,
	piece: func(client *kvcache.Client, p kvcache.Piece) ([]byte, error) {
		return client.Piece(context.Background(), at, p)
	},
}

// prompt is one of a few prompts of one of two accounts and two versions.
type prompt struct {
	scope prefix.Key
	keys  []string
}

func promptOf(n int) prompt {
	texts := []string{strings.Repeat("menu ", 60), strings.Repeat("menu ", 40) + strings.Repeat("address ", 20)}
	accounts := []string{"menu-app", "rider-app"}
	versions := []string{"v1", "v2"}
	p := prompt{scope: prefix.Scope(accounts[n%2], versions[n/2%2])}
	for _, key := range prefix.Chain(p.scope, []byte(texts[n/4%2]), pieceBytes) {
		p.keys = append(p.keys, key.String())
	}
	return p
}

// write stores a prompt's cache: the pieces first, then the manifests. The writer dies
// after a number of pieces.
func write(client *kvcache.Client, p prompt, dies int) {
	ctx := context.Background()
	var run []kvcache.Manifest
	for i, key := range p.keys {
		if i == dies || client.PutPiece(ctx, at, cache(key)) != nil {
			return
		}
		piece := kvcache.Piece{Digest: kvcache.Digest(cache(key)), Bytes: len(cache(key)), Tokens: pieceBytes / 4}
		run = append(run, kvcache.Seal(kvcache.Manifest{Key: key, Scope: p.scope.String(), Depth: i, Piece: piece}))
	}
	_ = client.Put(ctx, at, run)
}

// read imports a prompt's cache and reports whether all of it was its own.
func (c safeguards) read(client *kvcache.Client, p prompt) bool {
	found, err := client.Find(context.Background(), at, p.keys)
	if err != nil {
		return true
	}
	for i, m := range c.usable(found.Run, p.scope.String(), p.keys) {
		data, err := c.piece(client, m.Piece)
		if err != nil {
			return true
		}
		if i >= len(p.keys) || !bytes.Equal(data, cache(p.keys[i])) {
			return false
		}
	}
	return true
}

// onlyOwnWholePieces writes, drops and reads prompts through faults: no prompt may get
// bytes that are not its own and complete.
func onlyOwnWholePieces(t *testing.T, c safeguards) gopter.Prop {
	return prop.ForAll(func(faults, steps []int) bool {
		ok := true
		synctest.Test(t, func(*testing.T) {
			w := &transport{script: fake.Script{Kinds: faults}, box: newBox()}
			client := &kvcache.Client{HTTP: &http.Client{Transport: w}}
			for i, step := range steps {
				p := promptOf(step)
				switch i % 4 {
				case 0, 1:
					write(client, p, step%7+1)
				case 2:
					ok = ok && c.read(client, p)
				case 3:
					_ = client.Drop(context.Background(), at, p.keys[step%len(p.keys)])
					time.Sleep(time.Duration(step) * 10 * time.Second)
				}
				ok = ok && c.read(client, promptOf(step+1))
			}
		})
		return ok
	}, gen.SliceOfN(19, gen.IntRange(0, faultKinds-1)), gen.SliceOfN(24, gen.IntRange(0, 7)))
}

func TestOnlyOwnWholePieces(t *testing.T) { proptest.Holds(t, onlyOwnWholePieces(t, inForce)) }

func TestOnlyOwnWholePiecesNeedsTheManifestCheck(t *testing.T) {
	removed := inForce
	removed.usable = func(run []kvcache.Manifest, _ string, _ []string) []kvcache.Manifest { return run }
	proptest.Violated(t, onlyOwnWholePieces(t, removed))
}

func TestOnlyOwnWholePiecesNeedsTheDigest(t *testing.T) {
	removed := inForce
	removed.piece = func(client *kvcache.Client, p kvcache.Piece) ([]byte, error) {
		response, err := client.HTTP.Get("http://" + at.String() + "/v1/pieces/" + p.Digest)
		if err != nil {
			return nil, err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return nil, errors.New("gone")
		}
		return io.ReadAll(response.Body)
	}
	proptest.Violated(t, onlyOwnWholePieces(t, removed))
}

func TestCheck(t *testing.T) {
	good := kvcache.Seal(kvcache.Manifest{Key: "k", Scope: "s", Depth: 1, Piece: kvcache.Piece{Digest: "d", Bytes: 1, Tokens: 1}})
	tests := []struct {
		name   string
		change func(*kvcache.Manifest)
		ok     bool
	}{
		{"unchanged", func(*kvcache.Manifest) {}, true},
		{"requested meanwhile", func(m *kvcache.Manifest) { m.Hits = 9 }, true},
		{"another scope", func(m *kvcache.Manifest) { m.Scope = "other" }, false},
		{"another depth", func(m *kvcache.Manifest) { m.Depth = 0 }, false},
		{"another piece", func(m *kvcache.Manifest) { m.Piece.Digest = "e" }, false},
		{"more tokens", func(m *kvcache.Manifest) { m.Piece.Tokens = 2 }, false},
		{"no bytes", func(m *kvcache.Manifest) { m.Piece.Bytes = 0; *m = kvcache.Seal(*m) }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := good
			tt.change(&m)
			if err := kvcache.Check(m, "s", "k", 1); (err == nil) != tt.ok {
				t.Errorf("Check = %v, want ok %v", err, tt.ok)
			}
		})
	}
}
