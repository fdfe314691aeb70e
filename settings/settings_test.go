package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/thymewind/thymewind/settings"
)

const good = `name: entry-1
domain: zone-a
callers: 127.0.0.1:8080
operators: 127.0.0.1:9080
peers: 127.0.0.1:7080
platform: http://127.0.0.1:7000
token_keys: [a-token-key-of-16-bytes]
peer_credential: a-peer-credential
operator_credentials:
  - name: ana
    sha256: "` + "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef" + `"
`

func TestParse(t *testing.T) {
	tests := []struct {
		name, from, to string
		// want holds parts of the expected findings; none if the settings are valid.
		want []string
	}{
		{"good", "", "", nil},
		{"unknown field", "domain: zone-a", "domain: zone-a\nzone: b", []string{"test.yaml:3:1: zone: unknown field"}},
		{"duplicate field", "domain: zone-a", "domain: zone-a\ndomain: zone-b", []string{"domain"}},
		{"address without port", "127.0.0.1:8080", "127.0.0.1", []string{"test.yaml:3:"}},
		{"host name", "127.0.0.1:8080", "localhost:8080", []string{"test.yaml:3:"}},
		{"port 0", "127.0.0.1:8080", "127.0.0.1:0", []string{"callers"}},
		{"duplicate address", "127.0.0.1:9080", "127.0.0.1:8080", []string{"has the address of callers"}},
		{"peers on the unspecified address", "127.0.0.1:7080", "0.0.0.0:7080", []string{"peers can reach"}},
		{"platform", "http://127.0.0.1:7000", "127.0.0.1:7000", []string{"platform"}},
		{"several findings", "name: entry-1\ndomain: zone-a", "log_level: loud", []string{"name: must be set", "domain: must be set", "test.yaml:1:12: log_level"}},
		{"timing out of bounds", "domain: zone-a", "domain: zone-a\ntiming: {tick: 1h, lease: 0s}", []string{"timing.tick", "timing.lease"}},
		{"zero limits", "domain: zone-a", "domain: zone-a\nlimits: {body_bytes: 0, records: -1}", []string{"limits.body_bytes", "limits.records"}},
		{"type", "domain: zone-a", "domain: [zone-a]", []string{"test.yaml:2:"}},
		{"short secrets", "a-peer-credential", "short", []string{"peer_credential: is shorter"}},
		{"incomplete key pair", "domain: zone-a", "domain: zone-a\ntls: {callers: {key: k.pem}}", []string{"tls.callers: needs both"}},
		{"not YAML", "name: entry-1", "name: [", []string{"test.yaml"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := settings.Parse("test.yaml", []byte(strings.Replace(good, tt.from, tt.to, 1)))
			if (err != nil) != (tt.want != nil) {
				t.Fatalf("Parse = %v", err)
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("findings %q lack %q", err, want)
				}
			}
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/local/entry-*.yaml")
	if err != nil || len(files) == 0 {
		t.Fatal("no example settings found", err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Parse(file, data); err != nil {
			t.Error(err)
		}
	}
}

// FuzzParse checks that no settings file crashes the parser.
func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	for _, seed := range []string{"", "a: [", "- 1\n- 2", "name: &x\n  y: *x", "timing:\n  tick: -1s", "tls: 7", "? [a]\n: b", "name: !!int x", "---\n---\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = settings.Parse("fuzz.yaml", data)
	})
}
