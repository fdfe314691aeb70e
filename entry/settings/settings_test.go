package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/thymewind/thymewind/entry/settings"
)

const good = `name: "entry-1"
domain: "a"
callers: "127.0.0.1:8080"
ready: "127.0.0.1:8081"
store:
  address: "127.0.0.1:7000"
bounds:
  stop: 8s
  revoked_within: 5000ms
  retry_share: 0.2
`

func TestParse(t *testing.T) {
	tests := []struct {
		name, from, to string
		// want are parts of the findings; none means that the settings are good.
		want []string
	}{
		{"good", "", "", nil},
		{"unknown field", "domain:", "zone:", []string{"s.yaml:2:1: zone: unknown field", "domain: must be set"}},
		{"address without port", "127.0.0.1:8080", "127.0.0.1", []string{"s.yaml:3:"}},
		{"the same address twice", "127.0.0.1:8081", "127.0.0.1:8080", []string{"has the address of callers"}},
		{"no time unit", "5000ms", "5000", []string{"s.yaml:9:"}},
		{"stop too short", "stop: 8s", "stop: 1ms", []string{"s.yaml:8:9: bounds.stop"}},
		{"heads of no length", "bounds:", "reads: {head_bytes: 0, call_bytes: 1, answer_bytes: -1}\nbounds:", []string{"reads.head_bytes", "reads.call_bytes", "reads.answer_bytes"}},
		{"negative share", "0.2", "-1", []string{"retry_share"}},
		{"mechanism switched off", "bounds:", "without: [saves, hurry]\nbounds:", nil},
		{"unknown mechanism", "bounds:", "without: [magic]\nbounds:", []string{"without"}},
		{"several findings", "name: \"entry-1\"", "log_level: loud", []string{"name: must be set", "s.yaml:1:12: log_level"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, err := settings.Parse("s.yaml", []byte(strings.Replace(good, tt.from, tt.to, 1)))
			if len(tt.want) == 0 {
				if err != nil || s.Bounds.RevokedWithin != 5*time.Second || s.Bounds.Stop != 8*time.Second {
					t.Fatalf("got %+v, %v", s, err)
				}
				return
			}
			if err == nil {
				t.Fatal("no finding")
			}
			for _, part := range tt.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("%q is not among the findings:\n%v", part, err)
				}
			}
		})
	}
}
