package document_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/document"
)

// TestChecks checks the finding that each check adds, if any.
func TestChecks(t *testing.T) {
	at := netip.MustParseAddrPort("10.0.0.1:80")
	tests := []struct {
		name  string
		check func(d *document.Document)
		want  string
	}{
		{"set", func(d *document.Document) { d.CheckSet("name", "x") }, ""},
		{"not set", func(d *document.Document) { d.CheckSet("name", "") }, "must be set"},
		{"allowed", func(d *document.Document) { d.CheckOneOf("level", "b", "a", "b") }, ""},
		{"not allowed", func(d *document.Document) { d.CheckOneOf("level", "c", "a", "b") }, `"c" is none of a, b`},
		{"least", func(d *document.Document) { d.CheckWithin("stop", time.Second, time.Second, time.Hour) }, ""},
		{"too little", func(d *document.Document) { d.CheckWithin("stop", 0, time.Second, time.Hour) }, "0s is not within 1s and 1h0m0s"},
		{"too much", func(d *document.Document) { d.CheckWithin("stop", 2*time.Hour, 0, time.Hour) }, "not within"},
		{"no address", func(d *document.Document) { d.CheckListeners(document.Listener{Path: "ready"}) }, "IP number and a port"},
		{"no port", func(d *document.Document) {
			d.CheckListeners(document.Listener{Path: "ready", At: netip.MustParseAddrPort("10.0.0.1:0")})
		}, "IP number and a port"},
		{"optional and absent", func(d *document.Document) {
			d.CheckListeners(document.Listener{Path: "metrics", Optional: true}, document.Listener{Path: "peers", Optional: true})
		}, ""},
		{"duplicate address", func(d *document.Document) {
			d.CheckListeners(document.Listener{Path: "ready", At: at}, document.Listener{Path: "metrics", At: at, Optional: true})
		}, "has the address of ready"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := document.Document{Name: "f.yaml"}
			tt.check(&d)
			err := d.Err()
			if tt.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("finding %v, want %q", err, tt.want)
			}
		})
	}
}
